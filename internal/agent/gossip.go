package agent

import "github.com/borageusher/borageusher/internal/peer"

// News is the gossip layer. It uses the agent's peer connections.
type News interface {
	Attach(conn *peer.Conn) (detach func())
	Handle(conn *peer.Conn, m peer.Message) bool
	Beat() peer.Heartbeat
}

// attach adds a connection to the gossip layer, if there is one.
func (s *Sessions) attach(conn *peer.Conn) (detach func()) {
	if s.News == nil {
		return func() {}
	}
	return s.News.Attach(conn)
}
