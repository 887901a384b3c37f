// Package peer is the protocol between the system's own processes: one
// WebSocket for each pair, carrying CBOR messages in both directions.
//
// A connection starts with a handshake in which both sides prove that they
// know the shared peer key without sending it. Then both sides send heartbeats
// when nothing else flows, often while requests are in flight and seldom
// otherwise, and a side that hears nothing for SilenceTimeout, or for
// IdleSilenceTimeout on an idle connection, drops the connection, because
// something between the two ends may have lost track of it.
//
// The package knows nothing of requests beyond the shape of their messages;
// packages entry and agent give them meaning.
//
// # Usage
//
//	conn, err := peer.Dial(ctx, addr, self, key)
//	if err != nil {
//		return err
//	}
//	go conn.Run(ctx, func(m peer.Message) { ... })
//	sent, err := conn.Send(peer.Cancel{Request: id, Attempt: 1})
package peer
