// Package agent is the program targetd: the process beside each target, and
// the only way to it.
//
// One event loop owns everything that must be exactly right about the target.
// Peer sessions, engine calls and timers post events to it; the loop passes
// them to the deciders of package dispatch and carries out what these return.
//
//	entryd ── peer session ──> event loop ──> dispatch.Dispatcher
//	   ^                          │
//	   └──── answer <── runner <──┘ (one goroutine a running request)
//
// # Usage
//
//	a := agent.New(agent.Options{...})
//	go a.Run(ctx)
//	a.Drain()
package agent
