package entry

import (
	"sync"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/target"
)

// linkTable holds the links of an entryd, one per target in use. It is safe for
// concurrent use.
type linkTable struct {
	dialer    Dialer
	log       event.Log
	revision  func() uint64    // configuration revision sent in heartbeats without gossip
	gossip    Gossip           // nil for none
	hints     *targetHints     // of all targets
	allocator *permitAllocator // nil if this entryd grants no load permits

	mu    sync.Mutex
	links map[string]*link // by target name
}

func newLinkTable(dialer Dialer, log event.Log, revision func() uint64) *linkTable {
	return &linkTable{dialer: dialer, log: log, revision: revision, hints: newTargetHints(), links: map[string]*link{}}
}

// get returns the link to t, creating it if there is none. A target that was
// registered again with another address gets a new link.
func (lt *linkTable) get(t target.Target) *link {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	l := lt.links[t.Name]
	if l == nil || l.target.Addr != t.Addr {
		l = &link{
			target:    t,
			dialer:    lt.dialer,
			log:       lt.log,
			revision:  lt.revision,
			gossip:    lt.gossip,
			hints:     lt.hints,
			allocator: lt.allocator,
			pending:   map[attemptKey]*pendingAttempt{},
		}
		lt.links[t.Name] = l
	}
	return l
}

// lookup returns the link to the named target, or nil if there is none.
func (lt *linkTable) lookup(name string) *link {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	return lt.links[name]
}

// LastHeartbeats returns the last heartbeat of each connected target, by target
// name.
func (lt *linkTable) LastHeartbeats() map[string]peer.Heartbeat {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	out := make(map[string]peer.Heartbeat, len(lt.links))
	for name, l := range lt.links {
		l.mu.Lock()
		if l.conn != nil {
			out[name] = l.heartbeat
		}
		l.mu.Unlock()
	}
	return out
}
