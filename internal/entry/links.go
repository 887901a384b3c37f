package entry

import (
	"sync"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/target"
)

// links keeps the links of an entryd, one for each target that it uses.
type links struct {
	dialer   Dialer
	log      event.Log
	revision func() uint64
	news     News // nil for none
	hints    *targetHints
	granter  *granter // nil if this entryd grants no rights to load

	mu    sync.Mutex
	links map[string]*link // by name of the target
}

func newLinks(dialer Dialer, log event.Log, revision func() uint64) *links {
	return &links{dialer: dialer, log: log, revision: revision, hints: newTargetHints(), links: map[string]*link{}}
}

// get returns the link to t, which is made if there is none. A target that was
// registered again at another address gets a new link.
func (ls *links) get(t target.Target) *link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	l := ls.links[t.Name]
	if l == nil || l.target.Addr != t.Addr {
		l = &link{
			target:   t,
			dialer:   ls.dialer,
			log:      ls.log,
			revision: ls.revision,
			news:     ls.news,
			hints:    ls.hints,
			granter:  ls.granter,
			pendings: map[attemptKey]*pending{},
		}
		ls.links[t.Name] = l
	}
	return l
}

// peek returns the link to the named target, or nil.
func (ls *links) peek(name string) *link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.links[name]
}

// Heartbeats returns the last heartbeat of each connected target, by name.
func (ls *links) Heartbeats() map[string]peer.Heartbeat {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	out := make(map[string]peer.Heartbeat, len(ls.links))
	for name, l := range ls.links {
		l.mu.Lock()
		if l.conn != nil {
			out[name] = l.heartbeat
		}
		l.mu.Unlock()
	}
	return out
}
