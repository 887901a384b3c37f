package quarantine

import (
	"slices"
	"time"
)

// Conditions of a segment's conviction.
const (
	// minSegmentCrashes is the least number of crashes that convict a segment. At two
	// crashes, the chance that some rarely used segment was in flight at both is not
	// small when many engines fail at once.
	minSegmentCrashes = 3
	// minTiedCrashes is the number if another segment was in flight at the same ones.
	minTiedCrashes = 6
	// MinServiceAnswers is the number of answers that a service must begin between
	// two crashes: a segment in half of the requests is in none of so many answers by
	// a chance of 1 in 256. Fewer suffice between more crashes.
	MinServiceAnswers = 8
	// minOrders is the least number of orders in which the crashes under requests with
	// a segment and the answers to others may occur: that of two crashes and
	// MinServiceAnswers answers.
	minOrders = (MinServiceAnswers + 2) * (MinServiceAnswers + 1) / 2
	// maxWeighed bounds the crashes that are weighed for one segment.
	maxWeighed = 16
	// minRecurrences is the number of crashes that must occur each under a request
	// that was sent after the one before. Crashes at the same moment have a common
	// cause.
	minRecurrences = 1
	// minProvenRecurrences is the number for proven segments: those in use are all in
	// flight when targets fail together, and those of long prompts get their first
	// answer later than others after that.
	minProvenRecurrences = 3
	// coverMargin is the time within which crashes may have a common cause: that in
	// which targets that fail together are found dead.
	coverMargin = time.Second
	// provenFor is the time for which a segment that has been answered counts as
	// proven.
	provenFor = SuspectFor
	// maxCoincidences is the greatest number of sound segments that may be expected to
	// have been in flight at as many crashes by chance.
	maxCoincidences = 0.2
	// minKnown is the number of segments that a service is assumed to have at least, as
	// long as fewer are known.
	minKnown = 64
	// maxSegmentCrashes and maxProven bound the memory of a SegmentList.
	maxSegmentCrashes = 256
	maxProven         = 1 << 14
)

// Exposure states that a segment was in flight at a crash and that its request had
// no answer yet.
type Exposure struct {
	Segment Fingerprint
	SentAt  time.Time // of the last such request
}

// SegmentCrash is one crash of a target with the segments that were in flight.
type SegmentCrash struct {
	Name     string // unique identifier of the crash
	Service  string
	At       time.Time
	ServedAt time.Time   // since then, the service has begun MinServiceAnswers answers; zero if unknown
	Served   []time.Time // when the service began answers before, the last MinServiceAnswers at most
	Exposed  []Exposure
}

// SegmentList is the list of known crashes by prompt segment. The zero value is an
// empty list. It is not safe for concurrent use.
type SegmentList struct {
	crashes   []*SegmentCrash                 // in order of time
	uncleared map[Fingerprint][]*SegmentCrash // crashes by segment, in order of time, without those before its last answer
	answered  map[Fingerprint]time.Time       // last answer begun by segment
	waits     map[Fingerprint]*waits          // until answers began, by segment
	known     int                             // segments in flight or answered, at the last rebuild
	longest   time.Duration                   // mean wait of the segment with the longest one, at the last rebuild
	convicted map[Fingerprint]time.Time       // time of the last crash, by segment
}

// Add adds a crash to the list. If a crash of the same name is known, the two are
// merged. It returns the segments that were not known of the crash, and those that are
// convicted now.
func (l *SegmentList) Add(c SegmentCrash) (suspected, convicted []Fingerprint) {
	known := 0
	for _, o := range l.crashes {
		if o.Name == c.Name {
			known = len(o.Exposed)
			c = merged(*o, c)
		}
	}
	for _, e := range c.Exposed[known:] {
		suspected = append(suspected, e.Segment)
	}
	l.crashes = slices.DeleteFunc(l.crashes, func(o *SegmentCrash) bool { return o.Name == c.Name })
	l.crashes = append(l.crashes, &c)
	slices.SortStableFunc(l.crashes, func(a, b *SegmentCrash) int { return a.At.Compare(b.At) })
	if len(l.crashes) > maxSegmentCrashes {
		l.dropOldest()
	}
	return suspected, l.rebuild()
}

// merged returns the crash that two reports describe.
func merged(a, b SegmentCrash) SegmentCrash {
	if b.At.Before(a.At) {
		a.At = b.At
	}
	a.ServedAt = later(a.ServedAt, b.ServedAt)
	if len(b.Served) > len(a.Served) {
		a.Served = b.Served
	}
	a.Exposed = slices.Clone(a.Exposed)
	for _, e := range b.Exposed {
		i := slices.IndexFunc(a.Exposed, func(o Exposure) bool { return o.Segment == e.Segment })
		if i < 0 {
			a.Exposed = append(a.Exposed, e)
			continue
		}
		a.Exposed[i].SentAt = later(a.Exposed[i].SentAt, e.SentAt)
	}
	return a
}

// Remove removes the named crash, which was none. It returns the segments that are
// convicted now because there are fewer crashes under which they were not in flight.
func (l *SegmentList) Remove(name string) []Fingerprint {
	l.crashes = slices.DeleteFunc(l.crashes, func(c *SegmentCrash) bool { return c.Name == name })
	return l.rebuild()
}

// dropOldest removes the oldest crash that convicts no segment, or the oldest one.
func (l *SegmentList) dropOldest() {
	i := slices.IndexFunc(l.crashes, func(c *SegmentCrash) bool {
		return !slices.ContainsFunc(c.Exposed, func(e Exposure) bool { return !l.convicted[e.Segment].IsZero() })
	})
	i = max(i, 0)
	l.crashes = slices.Delete(l.crashes, i, i+1)
}

// Answer records that a target began an answer to a request with the segment and
// did not crash. It reports whether this clears the segment of a crash, and returns the
// segments that are convicted now because this one is no explanation any more.
func (l *SegmentList) Answer(at time.Time, s Fingerprint) (cleared bool, convicted []Fingerprint) {
	if l.answered == nil {
		l.answered = map[Fingerprint]time.Time{}
	}
	_, known := l.answered[s]
	if !known && len(l.answered) >= maxProven && len(l.uncleared[s]) == 0 {
		return false, nil
	}
	if !at.After(l.answered[s]) {
		return false, nil
	}
	l.answered[s] = at
	before := len(l.uncleared[s])
	if before == 0 {
		return false, nil
	}
	convicted = l.rebuild()
	return len(l.uncleared[s]) < before, convicted
}

// waits are the times until answers to requests with a segment began.
type waits struct {
	n   int
	sum time.Duration
}

func (w *waits) mean() time.Duration { return w.sum / time.Duration(w.n) }

// RecordWait records how long it took until a target began an answer to a request with
// the segment. A request that crashes its target does so no sooner.
func (l *SegmentList) RecordWait(s Fingerprint, d time.Duration) {
	if l.waits == nil {
		l.waits = map[Fingerprint]*waits{}
	}
	w := l.waits[s]
	if w == nil {
		if len(l.waits) >= maxProven {
			return
		}
		w = &waits{}
		l.waits[s] = w
	}
	w.n++
	w.sum += d
}

// usualWait returns the mean time until an answer to a request with the segment begins.
// If only other processes have seen one, it is the longest of all segments, zero if none
// is known.
func (l *SegmentList) usualWait(s Fingerprint) time.Duration {
	if w := l.waits[s]; w != nil {
		return w.mean()
	}
	return l.longest
}

// AnsweredAt returns the time of the last answer with the segment, zero if none is
// known.
func (l *SegmentList) AnsweredAt(s Fingerprint) time.Time { return l.answered[s] }

// Service returns the service of the crashes of which the segment is a suspect, empty if
// there are none.
func (l *SegmentList) Service(s Fingerprint) string {
	if known := l.uncleared[s]; len(known) > 0 {
		return known[0].Service
	}
	return ""
}

// Empty reports whether all segments are innocent.
func (l *SegmentList) Empty() bool { return len(l.uncleared) == 0 }

// Classify returns the verdict on a segment.
func (l *SegmentList) Classify(now time.Time, s Fingerprint) Verdict {
	known := l.uncleared[s]
	if len(known) == 0 {
		return Innocent
	}
	if at, ok := l.convicted[s]; ok && now.Sub(at) < ConvictedFor {
		return Convicted
	}
	if now.Sub(known[len(known)-1].At) < SuspectFor {
		return Suspect
	}
	return Innocent
}

// Unproven reports whether the segment is a suspect that had not been answered within
// provenFor before it became one. A service runs one request with it at a time.
func (l *SegmentList) Unproven(now time.Time, s Fingerprint) bool {
	if l.Classify(now, s) != Suspect {
		return false
	}
	return !l.provenAt(l.uncleared[s][0].At, s)
}

// Crashes returns the number of crashes of which the segment is a suspect.
func (l *SegmentList) Crashes(s Fingerprint) int { return len(l.uncleared[s]) }

// Expire removes the crashes and answers on which no verdict depends any more.
func (l *SegmentList) Expire(now time.Time) {
	l.crashes = slices.DeleteFunc(l.crashes, func(c *SegmentCrash) bool { return now.Sub(c.At) >= ConvictedFor })
	l.rebuild()
	for s, at := range l.answered {
		if now.Sub(at) > provenFor && len(l.uncleared[s]) == 0 {
			delete(l.answered, s)
			delete(l.waits, s)
		}
	}
}

// rebuild recomputes the index and the convictions, and returns the new ones.
func (l *SegmentList) rebuild() []Fingerprint {
	l.uncleared = map[Fingerprint][]*SegmentCrash{}
	for _, c := range l.crashes {
		for _, e := range c.Exposed {
			if c.At.After(l.answered[e.Segment]) {
				l.uncleared[e.Segment] = append(l.uncleared[e.Segment], c)
			}
		}
	}
	l.known = len(l.answered)
	for s := range l.uncleared {
		if _, ok := l.answered[s]; !ok {
			l.known++
		}
	}
	l.longest = 0
	for _, w := range l.waits {
		l.longest = max(l.longest, w.mean())
	}
	earlier := l.convicted
	l.convicted = map[Fingerprint]time.Time{}
	var added []Fingerprint
	for s, known := range l.uncleared {
		at, ok := l.conviction(s, known)
		if !ok {
			continue
		}
		l.convicted[s] = at
		if _, ok := earlier[s]; !ok {
			added = append(added, s)
		}
	}
	return added
}

// conviction returns the time of the last crash that convicts the segment. known are
// the crashes of which it is a suspect.
func (l *SegmentList) conviction(s Fingerprint, known []*SegmentCrash) (time.Time, bool) {
	known = known[max(0, len(known)-maxWeighed):]
	for last := len(known) - 1; last >= minSegmentCrashes-1; last-- {
		for first := last - minSegmentCrashes + 1; first >= 0; first-- {
			run := known[first : last+1]
			if run[len(run)-1].At.Sub(run[0].At) > SuspectFor {
				break
			}
			if l.recurs(s, run) && l.coversMost(run) && !l.hasRival(s, run) && l.coincidences(run) <= maxCoincidences {
				return run[len(run)-1].At, true
			}
		}
	}
	return time.Time{}, false
}

// recurs reports whether enough of the crashes occurred under a request with the
// segment that was sent after an earlier one of them, and the service answered other
// requests in between.
func (l *SegmentList) recurs(s Fingerprint, run []*SegmentCrash) bool {
	proven := l.provenAt(run[0].At, s)
	var wait time.Duration
	minAnswers := 0
	if proven {
		wait, minAnswers = l.usualWait(s), MinServiceAnswers
	}
	last, recurrences, answers := run[0].At, 0, 0
	for _, c := range run[1:] {
		sentAt, n := c.sentAt(s), c.servedSince(last)
		if c.At.Sub(sentAt) < wait {
			continue // the target crashed before it would have begun to answer
		}
		if n >= minAnswers && sentAt.After(last) {
			last = c.At
			recurrences++
			answers += n
		}
	}
	if proven {
		return recurrences >= minProvenRecurrences
	}
	return recurrences >= minRecurrences && orders(recurrences+1, answers) >= minOrders
}

// orders returns the number of orders in which crashes and answers may occur: by chance,
// each is as likely as the one in which a segment has all the crashes and no answer.
func orders(crashes, answers int) int {
	n := 1
	for i := 1; i <= answers && n < minOrders; i++ {
		n = n * (crashes + i) / i
	}
	return n
}

// servedSince returns the number of answers that the service began between t and the
// crash, MinServiceAnswers at most.
func (c *SegmentCrash) servedSince(t time.Time) int {
	if c.ServedAt.After(t) {
		return MinServiceAnswers
	}
	n := 0
	for _, at := range c.Served {
		if at.After(t) {
			n++
		}
	}
	return n
}

// provenAt reports whether the segment was answered within provenFor before a crash of
// which it is a suspect.
func (l *SegmentList) provenAt(at time.Time, s Fingerprint) bool {
	answered, ok := l.answered[s]
	return ok && at.Sub(answered) <= provenFor
}

// sentAt returns the time at which the last exposed request with the segment was
// sent.
func (c *SegmentCrash) sentAt(s Fingerprint) time.Time {
	for _, e := range c.Exposed {
		if e.Segment == s {
			return e.SentAt
		}
	}
	return time.Time{}
}

// coincidences returns the number of segments that are expected to be in flight at as
// many crashes as the given ones if they are no cause: each crash has its segments at
// random among the known ones.
func (l *SegmentList) coincidences(run []*SegmentCrash) float64 {
	total, known := l.crashesAround(run), float64(max(minKnown, l.known))
	expected := known
	for i, c := range run {
		expected *= min(1, float64(len(c.Exposed))/known)
		expected *= float64(total-i) / float64(i+1) // choices of as many among the crashes around
	}
	return expected
}

// coversMost reports whether the given crashes are more than half of the service's
// crashes around them.
func (l *SegmentList) coversMost(run []*SegmentCrash) bool {
	return 2*len(run) > l.crashesAround(run)
}

// crashesAround returns the number of the service's crashes from coverMargin before the
// first to coverMargin after the last of the given ones.
func (l *SegmentList) crashesAround(run []*SegmentCrash) int {
	from, to := run[0].At.Add(-coverMargin), run[len(run)-1].At.Add(coverMargin)
	total := 0
	for _, c := range l.crashes {
		if c.Service == run[0].Service && !c.At.Before(from) && !c.At.After(to) {
			total++
		}
	}
	return total
}

// hasRival reports whether another segment may as well have caused the crashes: it is
// a suspect of all of them, and either of more crashes than s or of as many, while
// there are few. A proven segment is no rival of one that never got an answer.
func (l *SegmentList) hasRival(s Fingerprint, run []*SegmentCrash) bool {
	for _, e := range run[0].Exposed {
		known := l.uncleared[e.Segment]
		if e.Segment == s || len(known) < len(l.uncleared[s]) || !containsAll(known, run) {
			continue
		}
		if l.provenAt(run[0].At, e.Segment) && !l.provenAt(run[0].At, s) {
			continue
		}
		if len(known) > len(l.uncleared[s]) || len(run) < minTiedCrashes {
			return true
		}
	}
	return false
}

func containsAll(all, some []*SegmentCrash) bool {
	for _, c := range some {
		if !slices.Contains(all, c) {
			return false
		}
	}
	return true
}
