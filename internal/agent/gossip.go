package agent

import "github.com/borageusher/borageusher/internal/peer"

// Gossip is the gossip layer. It uses the agent's peer connections.
type Gossip interface {
	Attach(conn *peer.Conn) (detach func())
	Handle(conn *peer.Conn, m peer.Message) bool
	Heartbeat() peer.Heartbeat
}

// attach adds a connection to the gossip layer, if there is one.
func (s *Sessions) attach(conn *peer.Conn) (detach func()) {
	if s.Gossip == nil {
		return func() {}
	}
	return s.Gossip.Attach(conn)
}
