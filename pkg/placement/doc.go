// Package placement chooses the target that a request is sent to.
//
// Each adapter version has two homes: the live targets first in the order of a
// rendezvous hash. A request goes to a target that is believed to hold its
// adapter or to a home, whichever costs least: a load costs the stall now and
// the stalls of the requests for the adapter that it replaces, a busy target
// costs the wait for a slot. So an adapter has one copy while it is cold and
// more when it is hot. When even the cheapest is loaded beyond a bound, the
// request spills to any target. What an entryd knows of a target is always old,
// so a choice only has to be roughly right; the targetd decides.
//
// The hash is highest random weight (D. G. Thaler and C. V. Ravishankar, "Using
// name-based mappings to increase hit rates", 1998), two homes are the power of
// two choices (M. Mitzenmacher, 2001), the spilling is consistent hashing with
// bounded loads (V. Mirrokni, M. Thorup and M. Zadimoghaddam, 2018).
//
// # Usage
//
//	v := placement.NewView(members, costs)
//	i, reason, ok := v.Choose(placement.Key{Adapter: placement.Hash(id.String())}, hints, loads)
package placement
