package confirmation

import (
	"testing"
	"time"
)

const second = time.Second

// TestAge guards against a configuration that is relied upon although the store has, or may
// have, a newer one.
func TestAge(t *testing.T) {
	list := func(sentAt time.Duration, history uint64, shown Shown) Response {
		return Response{SentAt: sentAt, List: true, History: history, Shown: shown}
	}
	watch := func(sentAt time.Duration, history uint64, shown Shown) Response {
		return Response{SentAt: sentAt, History: history, Shown: shown}
	}
	tests := []struct {
		name      string
		responses []Response
		sentAt    time.Duration // of the confirmation, negative for none
	}{
		{"no response", nil, -1},
		{"a watch without a list before", []Response{watch(1*second, 1, Unchanged)}, -1},
		{"a watch that brings the configuration without a list before", []Response{watch(1*second, 1, InForce)}, -1},
		{"a list of the configuration in force", []Response{list(1*second, 1, InForce)}, 1 * second},
		{"a list without a configuration", []Response{list(1*second, 1, Other)}, -1},
		{"a list that shows none after one that did", []Response{list(1*second, 1, InForce), list(2*second, 1, Other)}, 1 * second},
		{"a watch without a change", []Response{list(1*second, 1, InForce), watch(2*second, 1, Unchanged)}, 2 * second},
		{"a watch with a newer configuration", []Response{list(1*second, 1, InForce), watch(2*second, 1, InForce)}, 2 * second},
		{"a watch with one that can't be read", []Response{list(1*second, 1, InForce), watch(2*second, 1, Other)}, 1 * second},
		{"watches after one with a configuration that can't be read", []Response{
			list(1*second, 1, InForce), watch(2*second, 1, Other), watch(3*second, 1, Unchanged),
		}, 1 * second},
		{"a readable one after it", []Response{
			list(1*second, 1, InForce), watch(2*second, 1, Other), watch(3*second, 1, InForce),
		}, 3 * second},
		{"a watch in another history", []Response{list(1*second, 1, InForce), watch(2*second, 2, Unchanged)}, 1 * second},
		{"a watch in the former history after it", []Response{
			list(1*second, 1, InForce), watch(2*second, 2, Unchanged), watch(3*second, 1, Unchanged),
		}, 1 * second},
		{"a watch that states no history", []Response{list(1*second, 1, InForce), watch(2*second, 0, Unchanged)}, 1 * second},
		{"a store that never states one", []Response{list(1*second, 0, InForce), watch(2*second, 0, Unchanged)}, 2 * second},
		{"a store restored to an older configuration", []Response{
			list(1*second, 1, InForce), list(2*second, 2, Other), watch(3*second, 2, Unchanged), watch(4*second, 2, Other),
		}, 1 * second},
		{"a restored store to which it is written again", []Response{
			list(1*second, 1, InForce), list(2*second, 2, Other), watch(3*second, 2, InForce), watch(4*second, 2, Unchanged),
		}, 4 * second},
		{"a store restored to the same configuration", []Response{list(1*second, 1, InForce), list(2*second, 2, InForce)}, 2 * second},
		{"a response out of order", []Response{list(3*second, 1, InForce), list(1*second, 1, InForce)}, 3 * second},
		{"an earlier one that shows another configuration", []Response{
			list(3*second, 1, InForce), list(2*second, 1, Other), watch(4*second, 1, Unchanged),
		}, 4 * second},
		{"an earlier one of another history", []Response{
			list(3*second, 2, InForce), list(2*second, 1, InForce), watch(4*second, 1, Unchanged),
		}, 3 * second},
	}
	for _, test := range tests {
		var tracker Tracker
		for _, r := range test.responses {
			tracker.Observe(r)
		}
		now := 10 * second
		age, ok := tracker.Latest().Age(now)
		if ok != (test.sentAt >= 0) || (ok && age != now-test.sentAt) {
			t.Errorf("%s: age %s, %t", test.name, age, ok)
		}
	}
}

// TestWithin guards against a bound that is met at the bound itself, before the first
// confirmation, or by a response that arrives after the VM was suspended.
func TestWithin(t *testing.T) {
	var none Confirmation
	if none.Within(0, time.Hour) {
		t.Error("a process without a confirmation relies on its configuration")
	}
	var tracker Tracker
	tracker.Observe(Response{SentAt: 10 * second, List: true, Shown: InForce})
	for now, want := range map[time.Duration]bool{
		9 * second: true, 10 * second: true, 15*second - 1: true, 15 * second: false, time.Hour: false,
	} {
		if tracker.Latest().Within(now, 5*second) != want {
			t.Errorf("at %s: %t", now, !want)
		}
	}
	// The request of this response was sent before a suspension of an hour.
	tracker.Observe(Response{SentAt: 11 * second, Shown: Unchanged})
	if tracker.Latest().Within(time.Hour+11*second, 5*second) {
		t.Error("a late response counts from its arrival")
	}
}
