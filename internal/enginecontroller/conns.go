package enginecontroller

import (
	"context"
	"net/http"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
)

// ServeHTTP accepts the peer connection of an entry process and serves it until
// it ends.
func (k *Controller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := peer.Accept(w, r, k.Self, k.Key)
	if err != nil {
		k.Log.At(event.PeerRefused).Err(err).Send()
		return
	}
	k.Log.At(event.PeerConnected).Str("peer", c.Remote().Name).Send()
	k.addConn(c)
	err = c.Run(r.Context(), func() peer.Heartbeat { return peer.Heartbeat{Active: true} }, func(m peer.Message) {
		k.receive(r.Context(), c, m)
	})
	k.removeConn(c)
	k.Log.At(event.PeerLost).Str("peer", c.Remote().Name).Err(err).Send()
}

// addConn registers c and sends it the known crashes and the engine's current
// state and load.
func (k *Controller) addConn(c *peer.Conn) {
	k.mu.Lock()
	k.conns[c] = struct{}{}
	for engine, prints := range k.crashes {
		_, _ = c.Send(peer.CrashReport{Engine: engine, Fingerprints: prints}) // after an error the entry process reconnects
	}
	k.mu.Unlock()
	k.inbox <- func(time.Time) {
		k.state.ConnectedEntries = k.entryCount()
		_, _ = c.Send(k.state) // after an error the entry process reconnects
		_, _ = c.Send(k.load)
	}
}

func (k *Controller) removeConn(c *peer.Conn) {
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
}

// entryCount returns the number of connected entry processes.
func (k *Controller) entryCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.conns)
}

// receive posts a message of an entry process to the loop. Crash reports are
// relayed without the loop.
func (k *Controller) receive(ctx context.Context, c *peer.Conn, m peer.Message) {
	var handle func(now time.Time)
	switch m := m.(type) {
	case peer.EngineSpec:
		handle = func(now time.Time) {
			k.applySpec(now, m)
			k.stepRequested = true
		}
	case peer.AdapterDemands:
		handle = func(now time.Time) { k.recordDemands(now, m) }
	case peer.CrashReport:
		k.relayCrash(c, m)
		return
	default:
		return // other messages, such as heartbeats, need no action
	}
	select {
	case k.inbox <- handle:
	case <-ctx.Done():
	}
}

// maxCrashes bounds the number of crashed engine instances that are kept for
// entry processes that connect later.
const maxCrashes = 200

// relayCrash forwards a crash report to the other entry processes, unless it
// contains nothing new.
func (k *Controller) relayCrash(from *peer.Conn, m peer.CrashReport) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.recordCrash(m) {
		return
	}
	for c := range k.conns {
		if c != from {
			_, _ = c.Send(m) // after an error the entry process reconnects and gets all crashes
		}
	}
}

// recordCrash adds m to the known crashes and reports whether it contained a new
// fingerprint. Beyond maxCrashes it drops those of arbitrary other instances.
func (k *Controller) recordCrash(m peer.CrashReport) bool {
	known := map[string]bool{}
	for _, f := range k.crashes[m.Engine] {
		known[string(f)] = true
	}
	added := false
	for _, f := range m.Fingerprints {
		if !known[string(f)] {
			k.crashes[m.Engine] = append(k.crashes[m.Engine], f)
			added = true
		}
	}
	for engine := range k.crashes {
		if len(k.crashes) <= maxCrashes {
			break
		}
		if engine != m.Engine {
			delete(k.crashes, engine)
		}
	}
	return added
}
