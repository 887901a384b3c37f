// Package holder decides which processes hold state that others must find without asking
// around: the permits of a limited target, the origin of a stream, the credit of a
// workspace.
//
// # Load pattern
//
// Many processes use the same holders, and each learns at another time that a process was
// listed, connected, lost or is leaving. A change of one process must not move what the
// others hold, and the loss of an availability zone must leave a copy.
//
// # Decision
//
// Processes are ranked by a rendezvous hash of a key and of their addresses. Best returns
// the single holder: of the nearest processes that can be reached, the one of the highest
// rank. Spread returns the holders of copies, in each availability zone those of the
// highest rank.
//
// A Membership counts the changes of the processes, and a View tells a user that it has to
// choose again. A Term says for how long a user has regarded a process as the holder. A
// holder that learns that from its users knows whether another process held the state in
// between: see Replaced.
//
// # Usage
//
//	set := holder.NewSet(processes)
//	c := set.Best(key)
//	if c.Index < 0 {
//		// no process can be reached
//	}
//	for _, i := range set.Spread(key, 3, 0) { ... }
package holder
