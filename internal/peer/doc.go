// Package peer implements the protocol between the processes of a deployment:
// one WebSocket connection for each pair of processes, which carries CBOR
// messages in both directions.
//
// A connection starts with a handshake in which both sides prove that they
// know the shared peer key without sending it. Afterwards each side sends a
// heartbeat whenever it has sent nothing else for HeartbeatInterval, or for
// IdleInterval on an idle connection. A side that receives nothing for
// SilenceTimeout, or for IdleSilenceTimeout on an idle connection, closes the
// connection, because a network element between the two ends may have lost its
// state of the connection.
//
// The package defines the messages about requests but not their processing;
// see packages entry and agent.
//
// # Usage
//
//	d := peer.Dialer{Self: self, Key: key, Client: http.DefaultClient}
//	conn, err := d.Dial(ctx, addr)
//	if err != nil {
//		return err
//	}
//	go conn.Run(ctx, heartbeat, func(m peer.Message) { ... })
//	accepted, err := conn.Send(peer.Cancel{Request: id, Attempt: 1})
package peer
