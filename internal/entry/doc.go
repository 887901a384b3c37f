// Package entry implements entryd, the request router: it accepts callers'
// requests over HTTP, routes each to the targetd of a target, which runs it there,
// and relays the response.
//
// A request passes a chain of filters: identify authenticates the team, resolve
// determines the service and the adapter version from one configuration,
// quarantine rejects requests that crash targets, and limit bounds the requests
// in progress. The router at the end of the chain chooses a target from state
// that may be stale, so the targetd can refuse the request; the router then tries
// the next target. A link is the connection to one targetd, shared by all
// attempts that are sent to it.
//
//	caller ──> identify ──> resolve ──> quarantine ──> limit ──> router ──> link ──> targetd
//
// # Usage
//
//	e := entry.New(entry.Options{...})
//	e.Register(srv.Hertz)
package entry
