package keeper

import (
	"context"
	"net/http"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
)

// ServeHTTP accepts the connection of an entry.
func (k *Keeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := peer.Accept(w, r, k.Self, k.Key)
	if err != nil {
		k.Log.At(event.PeerRefused).Err(err).Send()
		return
	}
	k.Log.At(event.PeerConnected).Str("peer", c.Remote().Name).Send()
	k.join(c)
	err = c.Run(r.Context(), func() peer.Heartbeat { return peer.Heartbeat{Active: true} }, func(m peer.Message) {
		k.receive(r.Context(), c, m)
	})
	k.leave(c)
	k.Log.At(event.PeerLost).Str("peer", c.Remote().Name).Err(err).Send()
}

func (k *Keeper) join(c *peer.Conn) {
	k.mu.Lock()
	k.links[c] = struct{}{}
	for engine, prints := range k.crashes {
		_, _ = c.Send(peer.CrashReport{Engine: engine, Fingerprints: prints}) // a failed link is dialled again
	}
	k.mu.Unlock()
	k.inbox <- func(time.Time) {
		k.state.Entries = k.entries()
		_, _ = c.Send(k.state) // a failed link is dialled again
		_, _ = c.Send(k.load)
	}
}

func (k *Keeper) leave(c *peer.Conn) {
	k.mu.Lock()
	delete(k.links, c)
	k.mu.Unlock()
}

// entries returns the number of connected entries.
func (k *Keeper) entries() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.links)
}

// receive passes a message of an entry to the loop.
func (k *Keeper) receive(ctx context.Context, c *peer.Conn, m peer.Message) {
	var act func(now time.Time)
	switch m := m.(type) {
	case peer.EngineTerms:
		act = func(now time.Time) {
			k.learn(now, m)
			k.hurry = true
		}
	case peer.AdapterWants:
		act = func(now time.Time) { k.want(now, m) }
	case peer.CrashReport:
		k.relay(c, m)
		return
	default:
		return // heartbeats need no action
	}
	select {
	case k.inbox <- act:
	case <-ctx.Done():
	}
}

// crashesKept bounds the crashes that late entries are told of.
const crashesKept = 200

// relay passes a crash report on to the other entries, once.
func (k *Keeper) relay(from *peer.Conn, m peer.CrashReport) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.remember(m) {
		return
	}
	for c := range k.links {
		if c != from {
			_, _ = c.Send(m) // a failed link is dialled again and told all
		}
	}
}

// remember reports whether m says something new.
func (k *Keeper) remember(m peer.CrashReport) bool {
	known := map[string]bool{}
	for _, f := range k.crashes[m.Engine] {
		known[string(f)] = true
	}
	fresh := false
	for _, f := range m.Fingerprints {
		if !known[string(f)] {
			k.crashes[m.Engine] = append(k.crashes[m.Engine], f)
			fresh = true
		}
	}
	for engine := range k.crashes {
		if len(k.crashes) <= crashesKept {
			break
		}
		if engine != m.Engine {
			delete(k.crashes, engine)
		}
	}
	return fresh
}
