// Package gateway implements entryd for a platform where requests are sent directly
// to the targets. It accepts callers' requests, selects a target for each,
// relays the whole response, and reports to the caller whether a request
// without a response may have run.
//
// A request passes through a chain of steps: match a route, read the body,
// reject requests that crash targets, then make attempts until there is a final
// response. The state of the targets comes from the platform's store and from
// the targetd beside each engine.
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
