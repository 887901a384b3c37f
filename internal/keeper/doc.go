// Package keeper is the program targetd on a platform where callers' requests
// go straight to the engines: it alone gives orders to the engine on its own
// VM, and tells all entries what the engine holds.
//
// One loop owns the planner. Peer connections post what entries need; the loop
// reads the engine's report, tells the entries what changed, and carries out
// the planner's next order. A keeper keeps nothing: after a restart the report
// and the entries tell it all.
//
//	entryd ── wants ──> loop ── orders ──> engine
//	   ^                 │ ^                  │
//	   └──── state ──────┘ └───── report ─────┘
//
// # Usage
//
//	k := keeper.New(keeper.Options{Engine: engine, Self: self, Log: log})
//	go k.Run(ctx)
//	http.Handle(peer.Path, k)
package keeper
