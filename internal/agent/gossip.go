package agent

import "github.com/borageusher/borageusher/internal/peer"

// Gossip is the gossip layer, see package gossip. It uses the agent's peer
// connections.
type Gossip interface {
	// Attach adds conn to the connections that the layer uses. It must be called
	// before conn.Run. The returned function removes conn.
	Attach(conn *peer.Conn) (detach func())
	// Handle processes m if it is a message of the layer and reports whether it
	// is one. It returns false for heartbeats, although it processes them too.
	Handle(conn *peer.Conn, m peer.Message) bool
	// Heartbeat returns a heartbeat with the versions of the process's state.
	Heartbeat() peer.Heartbeat
}

// attach adds a connection to the gossip layer, if there is one.
func (s *Sessions) attach(conn *peer.Conn) (detach func()) {
	if s.Gossip == nil {
		return func() {}
	}
	return s.Gossip.Attach(conn)
}
