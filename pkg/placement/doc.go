// Package placement chooses the target to which a request is sent.
//
// Each adapter version has two homes: the live targets that rank first in a
// rendezvous hash. A request is sent to a target that is recorded as holding its
// adapter, or to a home, whichever has the least cost. Loading an adapter costs the
// stall of the request and the expected stalls of requests for the adapter that is
// evicted; a busy target costs the wait for a slot. An adapter therefore has one
// copy while it is rarely used, and more copies under load. If even the cheapest
// target is loaded beyond a bound, the request spills to any target. An entryd's
// information about a target is always out of date, so a choice only has to be
// approximately right; the targetd decides on admission.
//
// The hash is highest random weight (D. G. Thaler and C. V. Ravishankar, "Using
// name-based mappings to increase hit rates", 1998). Two homes apply the power of
// two choices (M. Mitzenmacher, 2001), and spilling applies consistent hashing with
// bounded loads (V. Mirrokni, M. Thorup and M. Zadimoghaddam, 2018).
//
// # Usage
//
//	v := placement.NewView(members, costs)
//	i, reason, ok := v.Choose(placement.Key{Adapter: placement.Hash(id.String())}, hints, loads)
package placement
