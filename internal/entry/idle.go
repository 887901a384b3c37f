package entry

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
)

// Times of closing links.
const (
	linkIdleTime  = time.Minute     // after which the connection of an unused link is closed
	sweepInterval = 5 * time.Second // between two searches for unused links
)

// News is told of the peer connections, which news travels on.
type News interface {
	Attach(conn *peer.Conn) (detach func())
	Handle(conn *peer.Conn, m peer.Message) bool
	Beat() peer.Heartbeat
}

// CloseIdle closes unused links until ctx is done.
func (e *Entry) CloseIdle(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.links.sweep(now, e.opts.Targets)
		}
	}
}

// sweep closes the connections that no attempt has used for linkIdleTime, and
// forgets the links of targets that are gone.
func (ls *links) sweep(now time.Time, known Targets) {
	present := map[string]bool{}
	for _, t := range known.Targets() {
		present[t.Name] = true
	}
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for name, l := range ls.links {
		if l.closeIfIdle(now) && !present[name] {
			delete(ls.links, name)
		}
	}
}

// closeIfIdle closes the connection if no attempt waits and none has used the
// link for linkIdleTime. It reports whether there is no connection.
func (l *link) closeIfIdle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return len(l.pendings) == 0
	}
	if len(l.pendings) > 0 || now.Sub(l.lastUsed) < linkIdleTime {
		return false
	}
	l.conn.Close()
	l.conn = nil
	return true
}

// beat returns the heartbeat of the link's connection.
func (l *link) beat() peer.Heartbeat {
	m := peer.Heartbeat{Revision: l.revision()}
	if l.news != nil {
		m = l.news.Beat()
	}
	m.Active = l.waiting()
	return m
}

// run runs a connection until it ends and shares it with the news.
func (l *link) run(conn *peer.Conn) error {
	if l.news == nil {
		return conn.Run(context.Background(), l.beat, l.handle)
	}
	detach := l.news.Attach(conn)
	defer detach()
	return conn.Run(context.Background(), l.beat, func(m peer.Message) {
		if !l.news.Handle(conn, m) {
			l.handle(m)
		}
	})
}
