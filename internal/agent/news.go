package agent

import "github.com/borageusher/borageusher/internal/peer"

// News is told of the peer connections, which news travels on.
type News interface {
	Attach(conn *peer.Conn) (detach func())
	Handle(conn *peer.Conn, m peer.Message) bool
	Beat() peer.Heartbeat
}

// attach shares a connection with the news, if there are any.
func (s *Sessions) attach(conn *peer.Conn) (detach func()) {
	if s.News == nil {
		return func() {}
	}
	return s.News.Attach(conn)
}
