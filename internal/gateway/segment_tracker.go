package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/quarantine"
)

// maxExposedSegments bounds the segments in one crash report.
const maxExposedSegments = 512

// segmentRun is one attempt of a call as to the segments of its prompt.
type segmentRun struct {
	service  string
	segments []quarantine.Fingerprint
	sentAt   time.Time
	answered bool // the target has begun to answer and did not crash with that
	ended    bool
}

// segmentTracker identifies the prompt segments that crash targets. It is safe for
// concurrent use.
type segmentTracker struct {
	log       event.Log
	broadcast func(peer.Message) // to the targetds, which forward it to the other entryds

	mu         sync.Mutex
	list       quarantine.SegmentList
	unanswered map[quarantine.Fingerprint]int       // attempts in flight without an answer
	served     map[string][]time.Time               // last answers begun that are known, in the order of time, by service
	unstated   map[string][]time.Time               // those of this entryd that the others were not told of
	broken     map[string]*brokenRuns               // by incarnation of the target
	shared     map[quarantine.Fingerprint]time.Time // answers that the other entryds were told of
	reports    map[uint64]time.Time                 // when the reports of the other entryds were first received, by id
}

// brokenRuns are the attempts without an answer whose connections to a target broke.
type brokenRuns struct {
	service string
	first   time.Time
	last    time.Time
	sentAt  map[quarantine.Fingerprint]time.Time // last attempt with each segment that was not reported yet
}

func newSegmentTracker(broadcast func(peer.Message), log event.Log) *segmentTracker {
	return &segmentTracker{
		log:        log,
		broadcast:  broadcast,
		unanswered: map[quarantine.Fingerprint]int{},
		served:     map[string][]time.Time{},
		unstated:   map[string][]time.Time{},
		broken:     map[string]*brokenRuns{},
		shared:     map[quarantine.Fingerprint]time.Time{},
		reports:    map[uint64]time.Time{},
	}
}

// segmentFingerprints returns the fingerprints of the shared segments of a prompt.
func segmentFingerprints(service string, ids []string) []quarantine.Fingerprint {
	var out []quarantine.Fingerprint
	for _, id := range ids {
		out = append(out, quarantine.SegmentFingerprint(service, id))
	}
	return out
}

// verdict returns the most severe verdict on a call's segments. Those that are to run
// alone are suspects, the others that may run are innocent. The caller holds mu.
func (t *segmentTracker) verdict(now time.Time, c *call) quarantine.Verdict {
	verdict := quarantine.Innocent
	for _, s := range c.segments {
		switch {
		case t.list.Classify(now, s) == quarantine.Convicted:
			return quarantine.Convicted
		case t.unanswered[s] > 0 && t.list.Unproven(now, s):
			verdict = quarantine.Suspect
		}
	}
	return verdict
}

// classify returns the verdict on a call: convicted if a segment of its prompt crashes
// targets, and suspect if one may do so and another request with it has no answer yet.
func (t *segmentTracker) classify(now time.Time, c *call) quarantine.Verdict {
	if len(c.segments) == 0 {
		return quarantine.Innocent
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.list.Empty() {
		return quarantine.Innocent
	}
	return t.verdict(now, c)
}

// begin registers an attempt that is about to be sent, unless the verdict on the call
// forbids it. A suspect is sent nevertheless if it has waited.
func (t *segmentTracker) begin(now time.Time, c *call, waited bool) (*segmentRun, quarantine.Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict := quarantine.Innocent
	if !t.list.Empty() {
		verdict = t.verdict(now, c)
	}
	if verdict == quarantine.Convicted || (verdict == quarantine.Suspect && !waited) {
		return nil, verdict
	}
	for _, s := range c.segments {
		t.unanswered[s]++
	}
	return &segmentRun{service: c.service, segments: c.segments, sentAt: now}, quarantine.Innocent
}

// end ends an attempt.
func (t *segmentTracker) end(run *segmentRun) {
	if run == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !run.ended && !run.answered {
		t.forget(run)
	}
	run.ended = true
}

// forget removes an attempt from those without an answer. The caller holds mu.
func (t *segmentTracker) forget(run *segmentRun) {
	for _, s := range run.segments {
		if t.unanswered[s]--; t.unanswered[s] <= 0 {
			delete(t.unanswered, s)
		}
	}
}

// recordAnswer records that the target of an attempt has begun to answer and did not
// crash with that, which clears the attempt's segments.
func (t *segmentTracker) recordAnswer(now time.Time, run *segmentRun) {
	if run.answered {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	run.answered = true
	if !run.ended {
		t.forget(run)
	}
	t.recordServed(run.service, now)
	var cleared [][]byte
	for _, s := range run.segments {
		t.list.RecordWait(s, now.Sub(run.sentAt))
		if t.recordCleared(now, s) {
			t.log.Event(event.SegmentCleared).Stringer("segment", s).Str("service", run.service).Send()
			cleared = append(cleared, s[:])
		}
	}
	if len(cleared) > 0 {
		t.broadcast(peer.SegmentAnswers{Segments: cleared})
		if t.quiet(now, run.service) {
			return // the others count the answer already
		}
	}
	unstated := t.unstated[run.service]
	unstated = append(unstated, now)
	t.unstated[run.service] = unstated[max(0, len(unstated)-quarantine.MinServiceAnswers):]
}

// quietTime is the time within which a service that is not quiet begins
// quarantine.MinServiceAnswers answers.
const quietTime = 2 * time.Second

// quiet reports whether a service gets so few requests that each answer to others than
// those with a suspect segment is evidence. The caller holds mu.
func (t *segmentTracker) quiet(now time.Time, service string) bool {
	served := t.served[service]
	n := len(served)
	return n < quarantine.MinServiceAnswers || now.Sub(served[n-quarantine.MinServiceAnswers]) > quietTime
}

// copySpread is the time within which the copies of a report arrive that several targetds
// forward.
const copySpread = 100 * time.Millisecond

// recordBroken records that the connection to an incarnation of a target broke during
// an attempt.
func (t *segmentTracker) recordBroken(now time.Time, incarnation string, run *segmentRun) {
	if run == nil || run.answered || len(run.segments) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.broken[incarnation]
	if b == nil || now.Sub(b.last) > crashWindow {
		b = &brokenRuns{service: run.service, first: now, sentAt: map[quarantine.Fingerprint]time.Time{}}
		t.broken[incarnation] = b
	}
	b.last = now
	for _, s := range run.segments {
		if _, ok := b.sentAt[s]; (ok || len(b.sentAt) < maxExposedSegments) && run.sentAt.After(b.sentAt[s]) {
			b.sentAt[s] = run.sentAt
		}
	}
}

// reportCrash records the segments in flight at the crash of an incarnation, those of
// attempts that broke less than crashWindow before at, and broadcasts them to the other
// entryds.
func (t *segmentTracker) reportCrash(now, at time.Time, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.broken[incarnation]
	if b == nil || len(b.sentAt) == 0 || at.Sub(b.last) > crashWindow {
		return
	}
	m := peer.SegmentCrash{ID: rand.Uint64(), Engine: incarnation, Service: b.service, Age: now.Sub(b.first)}
	for _, at := range t.unstated[b.service] {
		m.Served = append(m.Served, now.Sub(at))
	}
	delete(t.unstated, b.service)
	for s, at := range b.sentAt {
		e := peer.ExposedSegment{Segment: s[:], Sent: now.Sub(at), Answered: peer.Unknown}
		if at := t.list.AnsweredAt(s); !at.IsZero() {
			e.Answered = now.Sub(at)
		}
		m.Segments = append(m.Segments, e)
	}
	clear(b.sentAt)
	t.add(now, m)
	t.broadcast(m)
}

// applyCrash applies a report of another entryd. If that entryd knows of no answer with
// a segment, it learns of those here, which tell a segment in use from one that never
// got an answer.
func (t *segmentTracker) applyCrash(now time.Time, m peer.SegmentCrash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.reports[m.ID]; !ok {
		t.reports[m.ID] = now
		for _, age := range m.Served {
			t.recordServed(m.Service, now.Add(-age))
		}
	}
	t.add(now, m)
	for _, e := range m.Segments {
		s, ok := fingerprintOf(e.Segment)
		if at := t.list.AnsweredAt(s); ok && e.Answered < 0 && !at.IsZero() && !t.shared[s].Equal(at) {
			t.shared[s] = at
			t.broadcast(peer.SegmentAnswers{Age: now.Sub(at), Segments: [][]byte{s[:]}})
		}
	}
}

// withdrawCrash removes the crash of an incarnation.
func (t *segmentTracker) withdrawCrash(incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.logConvicted(t.list.Remove(incarnation))
}

// applyAnswers applies a report of another entryd.
func (t *segmentTracker) applyAnswers(now time.Time, m peer.SegmentAnswers) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now.Add(-m.Age)
	counted := false
	for _, b := range m.Segments {
		if s, ok := fingerprintOf(b); ok {
			if service := t.list.Service(s); !counted && service != "" && t.quiet(now, service) && at.Sub(t.list.AnsweredAt(s)) > copySpread {
				t.recordServed(service, at)
				counted = true
			}
			t.recordCleared(at, s)
			if t.list.AnsweredAt(s).Equal(at) {
				t.shared[s] = at
			}
		}
	}
}

// fingerprintOf returns the fingerprint in a message, and false if it is malformed.
func fingerprintOf(b []byte) (f quarantine.Fingerprint, ok bool) {
	return f, copy(f[:], b) == len(f) && len(b) == len(f)
}

// add records a crash and logs which segments it makes suspects or convicts. The
// caller holds mu.
func (t *segmentTracker) add(now time.Time, m peer.SegmentCrash) {
	c := quarantine.SegmentCrash{Name: m.Engine, Service: m.Service, At: now.Add(-m.Age)}
	c.Served = t.servedBefore(m.Service, c.At)
	if len(c.Served) == quarantine.MinServiceAnswers {
		c.ServedAt = c.Served[0]
	}
	for _, e := range m.Segments {
		s, ok := fingerprintOf(e.Segment)
		if !ok {
			continue
		}
		c.Exposed = append(c.Exposed, quarantine.Exposure{Segment: s, SentAt: now.Add(-e.Sent)})
		if e.Answered >= 0 {
			t.recordCleared(now.Add(-e.Answered), s)
		}
	}
	suspected, convicted := t.list.Add(c)
	if names := t.suspects(now, suspected); len(names) > 0 {
		t.log.Event(event.SegmentsSuspected).Str("target", m.Engine).Str("service", m.Service).Strs("segments", names).Send()
	}
	t.logConvicted(convicted)
}

// reportRetention is how long a report is remembered: longer than targetds keep it for
// entryds that connect later.
const reportRetention = 2 * time.Hour

// maxServed bounds the known answers of a service: enough for the answers of all entryds
// around a crash.
const maxServed = 32 * quarantine.MinServiceAnswers

// recordServed records an answer of a service. The caller holds mu.
func (t *segmentTracker) recordServed(service string, at time.Time) {
	served := t.served[service]
	i, _ := slices.BinarySearchFunc(served, at, time.Time.Compare)
	served = slices.Insert(served, i, at)
	t.served[service] = served[max(0, len(served)-maxServed):]
}

// servedBefore returns when a service began its last answers before at that are known,
// quarantine.MinServiceAnswers at most. The caller holds mu.
func (t *segmentTracker) servedBefore(service string, at time.Time) []time.Time {
	served := t.served[service]
	n, _ := slices.BinarySearchFunc(served, at, time.Time.Compare)
	return slices.Clone(served[max(0, n-quarantine.MinServiceAnswers):n])
}

// recordCleared records an answer with a segment and reports whether it clears the
// segment of a crash. The caller holds mu.
func (t *segmentTracker) recordCleared(at time.Time, s quarantine.Fingerprint) bool {
	cleared, convicted := t.list.Answer(at, s)
	t.logConvicted(convicted)
	return cleared
}

// logConvicted logs the convictions of segments. The caller holds mu.
func (t *segmentTracker) logConvicted(segments []quarantine.Fingerprint) {
	for _, s := range segments {
		t.log.Event(event.SegmentConvicted).Stringer("segment", s).Int("crashes", t.list.Crashes(s)).Send()
	}
}

// maxLoggedSegments bounds the segments in one line of the log.
const maxLoggedSegments = 16

// suspects returns the names of those of the segments that have not been answered
// since. The caller holds mu.
func (t *segmentTracker) suspects(now time.Time, segments []quarantine.Fingerprint) []string {
	var names []string
	for _, s := range segments {
		if len(names) < maxLoggedSegments && t.list.Classify(now, s) != quarantine.Innocent {
			names = append(names, s.String())
		}
	}
	return names
}

// expire removes records that are too old to affect a decision.
func (t *segmentTracker) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list.Expire(now)
	for incarnation, b := range t.broken {
		if now.Sub(b.last) > breakRetention {
			delete(t.broken, incarnation)
		}
	}
	for id, at := range t.reports {
		if now.Sub(at) > reportRetention {
			delete(t.reports, id)
		}
	}
	for s, at := range t.shared {
		if now.Sub(at) > quarantine.SuspectFor {
			delete(t.shared, s)
		}
	}
	for service, served := range t.served {
		if now.Sub(served[len(served)-1]) > quarantine.SuspectFor {
			delete(t.served, service)
		}
	}
}
