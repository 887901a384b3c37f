// Package agent implements targetd, the sidecar process of a target. All
// requests to the target pass through it: it admits, queues and runs them,
// and loads and unloads the engine's adapters.
//
// A single event loop owns the state that must stay consistent: the
// dispatcher, the attempts and the peer sessions. Peer sessions, engine calls
// and timers post events to the loop. The loop applies them to a
// dispatch.Dispatcher and carries out the actions that it returns.
//
//	entryd ── peer session ──> event loop ──> dispatch.Dispatcher
//	   ^                          │
//	   └──── answer <── runner <──┘ (one goroutine per running request)
//
// # Usage
//
//	a := agent.New(agent.Options{...})
//	go a.Run(ctx)
//	a.Drain()
package agent
