// Package placement chooses the target that a request is sent to.
//
// Each adapter version has home targets: the live targets in the order of a
// rendezvous hash. A request goes to the first one whose load is within a
// bound and spills to the next otherwise, so that an adapter has few copies
// while it is cold and more when it is hot. What an entryd knows of a load is
// always old, so a choice only has to be roughly right; the targetd decides.
//
// The hash is highest random weight (D. G. Thaler and C. V. Ravishankar,
// "Using name-based mappings to increase hit rates", 1998), the spilling is
// consistent hashing with bounded loads (V. Mirrokni, M. Thorup and
// M. Zadimoghaddam, 2018).
//
// # Usage
//
//	i, ok := placement.Choose(placement.Hash(id.String()), candidates, local)
package placement
