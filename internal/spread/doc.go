// Package spread carries news between the system's processes: newer
// configurations and changed registrations.
//
// Every process keeps connections to a few peers, chosen by package relay, and
// uses those that requests opened as well. Heartbeats tell which revision and
// which registrations the sender knows; they are sent at once when either
// changes. A process that is behind asks a peer that is ahead for the root, the
// sections that it lacks and the registrations that changed. Only a few
// processes of an availability zone follow the object API themselves.
//
// # Usage
//
//	node := spread.New(opts)
//	configurations.SetDuty(node.Duty)
//	known.SetDuty(node.Duty)
//	go node.Run(ctx)
//
//	detach := node.Attach(conn) // for connections that others opened
//	defer detach()
//	conn.Run(ctx, beat, func(m peer.Message) {
//		if !node.Handle(conn, m) {
//			...
//		}
//	})
package spread
