package loadbudget

import "time"

// Shape of the turns.
const (
	// turnLength is the time for which the same targets may have loads in flight:
	// four times the 250 ms that an adapter takes on the users' deployments, so
	// that little of a turn is lost at its end and none is long to wait for.
	turnLength = time.Second
	// endMargin is how many times as long as the last load the next one may take,
	// and still be done within the turn.
	endMargin = 2
	// silenceAfter is the time without a report to a granter after which a target
	// counts as cut off: three of the reports that a target without needs makes.
	silenceAfter = 3 * time.Second
)

// Turns are the times at which one of several targets may have a load in flight
// while nobody coordinates them. In each turn the next so many targets may, in a
// fixed order and by the time of day, so at no time have more than so many. A
// wrong clock costs the weight store some of its speed and nothing else.
type Turns struct {
	Position int // of the target in the order, from 0
	Targets  int
	AtOnce   int // targets that may have a load in flight
}

// Allows reports whether a load that starts now and takes so long is in flight
// only in the target's turns. One that takes longer than half a turn would find
// little time to start, so it may start whenever the target's first turn has
// come, and the bound holds for it on average only.
func (t Turns) Allows(now time.Time, takes time.Duration) bool {
	n := t.turn(now)
	if !t.has(n) {
		return false
	}
	if takes > turnLength/2 {
		return !t.has(n - 1)
	}
	return t.turn(now.Add(takes)) == n || t.has(n+1)
}

// Next returns the start of the target's next turn.
func (t Turns) Next(now time.Time) time.Time {
	n := t.turn(now) + 1
	for !t.has(n) {
		n++
	}
	return turnStart(n)
}

// has reports whether the n-th turn is one of the target's.
func (t Turns) has(n int64) bool {
	first := int(n * int64(t.AtOnce) % int64(t.Targets))
	return (t.Position-first+t.Targets)%t.Targets < t.AtOnce
}

// turn returns the number of the turn at a time of day.
func (t Turns) turn(now time.Time) int64 { return now.UnixNano() / int64(turnLength) }

// turnStart returns when the n-th turn starts.
func turnStart(n int64) time.Time { return time.Unix(0, n*int64(turnLength)) }
