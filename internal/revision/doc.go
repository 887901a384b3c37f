// Package revision holds the configuration in force at a process. It obtains
// newer revisions from the object API or from peers and puts each of them in
// force atomically and in increasing order only.
//
// Processes whose WatchPolicy has Watch set watch the object API. The others
// receive the root of a newer revision from their peers and pass it to Adopt. They
// also poll the object API at a long interval, in case a revision does not reach them
// through a peer.
//
// # Usage
//
//	c := revision.New(store, log)
//	c.SetWatchPolicy(node.WatchPolicy)
//	go c.Run(ctx)
//	cfg := c.Current() // nil until the first revision is in force
package revision
