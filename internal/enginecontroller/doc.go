// Package enginecontroller implements the program targetd for platforms on
// which callers' requests go directly to the engines. It is the sole controller
// of the engine on its own VM: it alone sends orders to the engine, and it
// distributes the engine's state to all entryds.
//
// A single loop owns the planner. Peer connections post the demand of entryds to
// the loop, which reads the engine's report, sends changes to the entryds and
// executes the planner's next order. A Controller persists no state: after a
// restart it recovers everything from the engine's report and the entryds.
//
//	entryd ── demand ─> loop ── orders ──> engine
//	   ^                 │ ^                  │
//	   └──── state ──────┘ └───── report ─────┘
//
// # Usage
//
//	c := enginecontroller.New(enginecontroller.Options{Engine: engine, Self: self, Log: log})
//	go c.Run(ctx)
//	http.Handle(peer.Path, c)
package enginecontroller
