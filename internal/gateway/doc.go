// Package gateway is the program entryd on a platform where requests go
// straight to the targets: it takes callers' requests, chooses a target for
// each, relays the whole answer, and says truthfully what became of a request
// that has none.
//
// A request passes a chain of filters: match the route, read the body, refuse
// what crashes targets, then attempts until there is a final answer. What the
// gateway knows of the targets comes from the platform's store and from the
// targetd beside each engine.
//
//	caller ──> match ──> read ──> quarantine ──> attempts ──> target
//	                                                ^
//	        store ──> follow ──> Fleet <── peer ── targetd
//
// # Usage
//
//	g := gateway.New(gateway.Options{...})
//	srv := &http.Server{Handler: g}
package gateway
