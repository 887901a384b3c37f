package quarantine

import (
	"slices"
	"time"
)

// Times of the verdicts, by the clock of the target that crashed. Clocks that
// disagree move them by as much.
const (
	SuspectFor   = 10 * time.Minute // after a crash; also the most between two crashes that convict
	ConvictedFor = time.Hour        // after the later crash
)

// Crash is one crash of a target.
type Crash struct {
	Name     string // identity of the crash
	Target   string
	At       time.Time
	InFlight []Fingerprint
	Cleared  []Fingerprint // those of InFlight that have been answered since
}

// Verdict says how a request may run.
type Verdict uint8

// The verdicts.
const (
	Innocent  Verdict = iota
	Suspect           // was in flight at a crash
	Convicted         // was the only one in flight at two crashes
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

// List holds the known crashes. The zero List knows none. It is not safe for
// concurrent use.
type List struct {
	crashes []*Crash
	by      map[Fingerprint][]*Crash // uncleared
}

// Add records a crash, or adds to what is known of it. What was cleared stays so.
func (l *List) Add(c Crash) {
	for _, o := range l.crashes {
		if o.Name == c.Name {
			c.InFlight = append(slices.Clone(c.InFlight), o.InFlight...)
			c.Cleared = append(slices.Clone(c.Cleared), o.Cleared...)
		}
	}
	l.drop(func(o *Crash) bool { return o.Name == c.Name })
	l.crashes = append(l.crashes, &c)
	l.rebuild()
}

// Remove forgets the named crash.
func (l *List) Remove(name string) {
	l.drop(func(o *Crash) bool { return o.Name == name })
	l.rebuild()
}

// Expire forgets the crashes that no verdict hangs on any more.
func (l *List) Expire(now time.Time) {
	l.drop(func(o *Crash) bool { return now.Sub(o.At) >= ConvictedFor })
	l.rebuild()
}

// Clear records that a request was answered, and returns the names of the
// crashes that it was a suspect of.
func (l *List) Clear(f Fingerprint) []string {
	var names []string
	for _, c := range l.by[f] {
		c.Cleared = append(c.Cleared, f)
		names = append(names, c.Name)
	}
	delete(l.by, f)
	return names
}

// Empty reports whether no crash is known, so that all requests are innocent.
func (l *List) Empty() bool { return len(l.by) == 0 }

// Judge returns the verdict on a request.
func (l *List) Judge(now time.Time, f Fingerprint) Verdict {
	verdict := Innocent
	for _, c := range l.by[f] {
		if l.convicts(now, f, c) {
			return Convicted
		}
		if now.Sub(c.At) < SuspectFor {
			verdict = Suspect
		}
	}
	return verdict
}

// Targets returns the targets that crashed with the request in flight.
func (l *List) Targets(f Fingerprint) []string {
	var out []string
	for _, c := range l.by[f] {
		out = append(out, c.Target)
	}
	return out
}

// convicts reports whether f is the only request in flight at c that was in
// flight at another crash, and the later of both is not too long ago.
func (l *List) convicts(now time.Time, f Fingerprint, c *Crash) bool {
	latest, repeated := l.repeated(f, c)
	if !repeated || now.Sub(latest) >= ConvictedFor {
		return false
	}
	for _, other := range c.InFlight {
		if other == f {
			continue
		}
		if _, repeated := l.repeated(other, c); repeated {
			return false
		}
	}
	return true
}

// repeated reports whether f was in flight at c and at another crash near it,
// and the later time of both.
func (l *List) repeated(f Fingerprint, c *Crash) (time.Time, bool) {
	known := l.by[f]
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

func (l *List) drop(which func(*Crash) bool) {
	l.crashes = slices.DeleteFunc(l.crashes, which)
}

func (l *List) rebuild() {
	l.by = map[Fingerprint][]*Crash{}
	for _, c := range l.crashes {
		for _, f := range c.InFlight {
			if !slices.Contains(c.Cleared, f) && !slices.Contains(l.by[f], c) {
				l.by[f] = append(l.by[f], c)
			}
		}
	}
}
