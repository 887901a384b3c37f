// Package gossip is the gossip layer of the system: it distributes newer
// configurations and changed registrations between the processes.
//
// Every process maintains connections to a few peers, chosen by package overlay,
// and also uses the connections that were opened for requests. Heartbeats carry
// the revision and the version of the registrations that the sender has; they
// are sent without delay when either changes. A process that is behind pulls
// the root, the sections that it lacks and the changed registrations from a
// peer that is ahead. Only a few processes of an availability zone watch the
// object API themselves.
//
// # Usage
//
//	node := gossip.New(opts)
//	configurations.SetWatchPolicy(node.WatchPolicy)
//	known.SetWatchPolicy(node.WatchPolicy)
//	go node.Run(ctx)
//
//	detach := node.Attach(conn) // for a connection that was not opened by the node
//	defer detach()
//	conn.Run(ctx, heartbeat, func(m peer.Message) {
//		if !node.Handle(conn, m) {
//			...
//		}
//	})
package gossip
