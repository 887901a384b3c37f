// Package overlay computes the overlay network over which processes disseminate
// updates: which processes of an availability zone watch the object API, and to
// which peers a process keeps connections.
//
// Both choices use rendezvous hashing (D. Thaler and C. Ravishankar, 1998) over the
// members that are known to a process. Processes with different views of the membership
// choose differently until the views converge; this costs only some additional calls
// and connections.
//
// # Usage
//
//	order := overlay.WatchOrder(members, "milano-a")
//	groups := overlay.Groups(self, members)
package overlay
