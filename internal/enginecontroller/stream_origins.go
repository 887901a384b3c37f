package enginecontroller

import (
	"sync"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/streams"
)

// Limits of the origins of streams that are kept for entryds.
const (
	// maxOrigins bounds the memory for origins, at about 150 bytes each, to some MB of the
	// VM's. It is far more than the streams of the users' deployments in progress at once.
	maxOrigins = 1 << 16
	// maxOriginTime limits how long an origin is kept: far longer than any route's timeout
	// on the users' deployments.
	maxOriginTime = 10 * time.Minute
	// originExpiryInterval is the interval at which expired origins are removed.
	originExpiryInterval = time.Second
)

// originTable keeps the origins of streams for entryds. It is safe for concurrent use.
type originTable struct {
	mu        sync.Mutex
	table     *streams.Table
	expiredAt time.Time // last time at which expired origins were removed
}

func newOriginTable() *originTable { return &originTable{table: streams.NewTable(maxOrigins)} }

// record keeps an origin that an entryd stated.
func (t *originTable) record(now time.Time, m peer.StreamOrigin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.expiredAt) >= originExpiryInterval {
		t.table.Expire(now)
		t.expiredAt = now
	}
	// An origin that finds no room is not known, as after a restart.
	t.table.Record(now, streams.Key(m.Stream), streams.Origin{Service: m.Service, Version: m.Version}, now.Add(min(m.Within, maxOriginTime)))
}

// answer returns the answer to a request of an entryd.
func (t *originTable) answer(now time.Time, m peer.OriginRequest) peer.OriginAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, until, ok := t.table.Origin(now, streams.Key(m.Stream))
	if !ok {
		return peer.OriginAnswer{Stream: m.Stream}
	}
	return peer.OriginAnswer{Stream: m.Stream, Service: o.Service, Version: o.Version, Within: until.Sub(now)}
}
