// Package entry is the program entryd: it takes callers' requests, decides
// where each goes, and relays the whole answer.
//
// A request passes a chain of filters: identify the team, resolve adapter and
// version against one configuration, limit what is in progress, route. What an
// entryd knows of a target is always old, so a route is a proposal: the targetd
// may refuse, and the route filter then tries the next target.
//
//	caller ──> identify ──> resolve ──> limit ──> route ──> link ──> targetd
//
// # Usage
//
//	e := entry.New(entry.Options{...})
//	e.Register(srv.Hertz)
package entry
