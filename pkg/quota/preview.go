package quota

import (
	"maps"
	"slices"
	"time"
)

// Preview is what Add and Decide would answer to a request.
type Preview struct {
	Balance  float64
	Decided  bool // if not, the request would wait for credit
	Decision Decision
}

// Preview returns what Add and Decide would answer to a request now. The account does not
// change.
func (a *Account) Preview(now time.Time, w Waiter) Preview {
	trial := *a
	trial.waiting = slices.Clone(a.waiting)
	trial.byUrgency = maps.Clone(a.byUrgency)
	for urgency, m := range trial.byUrgency {
		changed := *m
		trial.byUrgency[urgency] = &changed
	}
	p := Preview{Balance: trial.Balance(now)}
	trial.Add(now, w)
	for _, d := range trial.Decide(now) {
		if d.ID == w.ID {
			p.Decided, p.Decision = true, d
		}
	}
	return p
}
