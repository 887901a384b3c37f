// Package assignment chooses the target that a request is sent to directly, and
// says when an adapter deserves a further copy.
//
// What a choice costs is counted as time: the wait that the target's load and a
// missing adapter cause, the delay of the way there, and the price of the bytes
// between zones and regions at the rate at which lateness costs. A missing
// adapter is loaded at its home, the usable target that is first in the order of
// a rendezvous hash, so that all entries load it at the same place and it stays
// in that VM's memory.
//
// # Usage
//
//	c, ok := assignment.Choose(req, candidates)
//	if !ok {
//		// no target can take the request
//	}
//	if !c.Holds {
//		// wait until the target has loaded the adapter
//	}
package assignment
