// Package dispatch decides what a target does next: which requests it takes,
// in which order they start, and which adapters it loads for them.
//
// A Dispatcher is the only authority over its target. It is a pure decider: its
// methods take the present time and return what to do; the caller does it and
// reports back. It is not safe for concurrent use.
//
// # Usage
//
//	d := dispatch.New(dispatch.Limits{Slots: 8, Adapters: 8, Queue: 64})
//	if reason := d.Submit(now, req); reason != outcome.NoReason {
//		// tell the sender: not run
//	}
//	for _, a := range d.Next(now) {
//		// start a.Request, load a.Adapter, ...
//	}
package dispatch
