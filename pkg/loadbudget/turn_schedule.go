package loadbudget

import "time"

// Parameters of the turns.
const (
	// turnLength is the time for which the same targets may have loads in flight.
	// It is four times the 250 ms that the load of an adapter takes on the users'
	// deployments: long enough that little of a turn is unused at its end, and
	// short enough to wait for.
	turnLength = time.Second
	// durationMargin is the multiple of the last load's duration that must be left
	// in a turn for another load to start, so that a slower one still ends in it.
	durationMargin = 2
	// reportTimeout is the time since the last report to an allocator after which a
	// target counts as disconnected. It is three report intervals of a target
	// that needs no permits.
	reportTimeout = 3 * time.Second
)

// TurnSchedule is one target's part of a time-division schedule that limits the
// loads in flight without coordination. Time is divided into turns of
// turnLength by the clock. In each turn the next Concurrent targets in
// round-robin order may have a load in flight, so there are never more than
// Concurrent loads. Clock skew between targets lets more loads overlap, which only
// slows down the weight store.
type TurnSchedule struct {
	Position   int // of the target in the round-robin order, from 0
	Targets    int // number of targets in the round-robin order
	Concurrent int // targets that may have a load in flight in the same turn
}

// Allows reports whether a load that starts now and has the given duration is in
// flight only in the target's turns. A load of more than half a turn could rarely
// start under this rule. It may start at any time in the first of the target's
// consecutive turns, and the limit holds for such loads on average only.
func (t TurnSchedule) Allows(now time.Time, duration time.Duration) bool {
	n := t.turnAt(now)
	if !t.owns(n) {
		return false
	}
	if duration > turnLength/2 {
		return !t.owns(n - 1)
	}
	return t.turnAt(now.Add(duration)) == n || t.owns(n+1)
}

// Next returns the start of the target's next turn.
func (t TurnSchedule) Next(now time.Time) time.Time {
	n := t.turnAt(now) + 1
	for !t.owns(n) {
		n++
	}
	return turnStart(n)
}

// owns reports whether the n-th turn is one of the target's.
func (t TurnSchedule) owns(n int64) bool {
	first := int(n * int64(t.Concurrent) % int64(t.Targets))
	return (t.Position-first+t.Targets)%t.Targets < t.Concurrent
}

// turnAt returns the number of the turn at time now.
func (t TurnSchedule) turnAt(now time.Time) int64 { return now.UnixNano() / int64(turnLength) }

// turnStart returns the start of the n-th turn.
func turnStart(n int64) time.Time { return time.Unix(0, n*int64(turnLength)) }
