package quarantine

import (
	"slices"
	"time"
)

// Durations of the verdicts, measured from the time of a crash by the clock of the
// target that crashed. Clock skew shifts their end by as much.
const (
	SuspectFor   = 10 * time.Minute // after a crash; also the maximum time between two crashes that convict
	ConvictedFor = time.Hour        // after the later crash
)

// Crash is one crash of a target.
type Crash struct {
	Name     string // unique identifier of the crash
	Target   string
	At       time.Time // by the clock of the target
	InFlight []Fingerprint
	Cleared  []Fingerprint // those of InFlight that have been answered since
}

// Verdict is the classification of a request, which decides how it may run.
type Verdict uint8

// The verdicts.
const (
	Innocent  Verdict = iota // was in flight at no recent crash, or has been answered since
	Suspect                  // was in flight at a crash and has not been answered since
	Convicted                // is the only request in flight at one crash that was also in flight at another within SuspectFor
)

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	switch v {
	case Innocent:
		return "innocent"
	case Suspect:
		return "suspect"
	case Convicted:
		return "convicted"
	}
	return "unrecognised"
}

// List is the list of known crashes. The zero value is an empty list. It is not safe
// for concurrent use.
type List struct {
	crashes   []*Crash
	uncleared map[Fingerprint][]*Crash // crashes by request in flight, without cleared ones
}

// Add adds a crash to the list. If a crash of the same name is known, the two are
// merged; requests cleared in either stay cleared.
func (l *List) Add(c Crash) {
	for _, o := range l.crashes {
		if o.Name == c.Name {
			c.InFlight = append(slices.Clone(c.InFlight), o.InFlight...)
			c.Cleared = append(slices.Clone(c.Cleared), o.Cleared...)
		}
	}
	l.removeIf(func(o *Crash) bool { return o.Name == c.Name })
	l.crashes = append(l.crashes, &c)
	l.rebuildIndex()
}

// Remove removes the named crash.
func (l *List) Remove(name string) {
	l.removeIf(func(o *Crash) bool { return o.Name == name })
	l.rebuildIndex()
}

// Expire removes the crashes on which no verdict depends any more.
func (l *List) Expire(now time.Time) {
	l.removeIf(func(o *Crash) bool { return now.Sub(o.At) >= ConvictedFor })
	l.rebuildIndex()
}

// Clear records that a request was answered, and returns the names of the crashes of
// which it was a suspect.
func (l *List) Clear(f Fingerprint) []string {
	var names []string
	for _, c := range l.uncleared[f] {
		c.Cleared = append(c.Cleared, f)
		names = append(names, c.Name)
	}
	delete(l.uncleared, f)
	return names
}

// Empty reports whether every request in flight at a known crash has been answered
// since, so that all requests are innocent.
func (l *List) Empty() bool { return len(l.uncleared) == 0 }

// Classify returns the verdict on a request.
func (l *List) Classify(now time.Time, f Fingerprint) Verdict {
	verdict := Innocent
	for _, c := range l.uncleared[f] {
		if l.convicts(now, f, c) {
			return Convicted
		}
		if now.Sub(c.At) < SuspectFor {
			verdict = Suspect
		}
	}
	return verdict
}

// Targets returns the targets of the crashes of which the request is a suspect.
func (l *List) Targets(f Fingerprint) []string {
	var out []string
	for _, c := range l.uncleared[f] {
		out = append(out, c.Target)
	}
	return out
}

// convicts reports whether f is the only request in flight at c that was in flight
// at another crash, and the later of both is less than ConvictedFor ago.
func (l *List) convicts(now time.Time, f Fingerprint, c *Crash) bool {
	latest, repeated := l.repeatedNear(f, c)
	if !repeated || now.Sub(latest) >= ConvictedFor {
		return false
	}
	for _, other := range c.InFlight {
		if other == f {
			continue
		}
		if _, repeated := l.repeatedNear(other, c); repeated {
			return false
		}
	}
	return true
}

// repeatedNear reports whether f was in flight at c and at another crash within
// SuspectFor of it, and returns the later time of both.
func (l *List) repeatedNear(f Fingerprint, c *Crash) (time.Time, bool) {
	known := l.uncleared[f]
	if !slices.Contains(known, c) {
		return time.Time{}, false
	}
	var latest time.Time
	for _, o := range known {
		if o == c || o.At.Sub(c.At).Abs() > SuspectFor {
			continue
		}
		latest = later(latest, later(o.At, c.At))
	}
	return latest, !latest.IsZero()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// removeIf removes the crashes for which match holds, without updating the index.
func (l *List) removeIf(match func(*Crash) bool) {
	l.crashes = slices.DeleteFunc(l.crashes, match)
}

// rebuildIndex recomputes uncleared from crashes.
func (l *List) rebuildIndex() {
	l.uncleared = map[Fingerprint][]*Crash{}
	for _, c := range l.crashes {
		for _, f := range c.InFlight {
			if !slices.Contains(c.Cleared, f) && !slices.Contains(l.uncleared[f], c) {
				l.uncleared[f] = append(l.uncleared[f], c)
			}
		}
	}
}
