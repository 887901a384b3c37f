// Package assignment chooses the target to which a request is sent directly, and
// decides when a further copy of an adapter is loaded.
//
// The cost of a choice is measured as time. It is the sum of the expected wait, due
// to the target's load and to a missing adapter, of the network delay, and of the
// price of the bytes transferred between zones and regions, converted to the delay of
// an answer that costs as much. The time by which the request itself takes longer at a
// slow target adds to the cost in part, and the time saved by a cached prefix of its
// prompt reduces it.
//
// A holder is a target on which the adapter is resident. A missing adapter is loaded
// at its home: of the usable targets that are about as fast as the fastest one, the
// first in the order of a rendezvous hash, preferably one with the adapter in the
// VM's memory. All entryds, the processes that choose targets, therefore load it at
// the same target, and it stays in the memory of that VM.
//
// # Usage
//
//	c, ok := assignment.Choose(req, candidates)
//	if !ok {
//		// no target can take the request
//	}
//	if !c.Resident {
//		// wait until the target has loaded the adapter
//	}
package assignment
