package claims

import (
	"context"
	"sync"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/objects"
)

// Bounds of the deletion of old records.
const (
	maxKept        = 50000                  // records that a process remembers
	expireInterval = 200 * time.Millisecond // between two deletions
)

// keptRecord is a record that this process wrote last.
type keptRecord struct {
	name    string
	version uint64
	due     time.Time // on this process's own clock
}

// kept remembers the records that this process is to delete, oldest first.
// Each process deletes what it wrote, by its own clock, so that no leader and
// no agreement of clocks is needed. A record that another process has changed
// since is that one's to delete.
type kept struct {
	retention time.Duration

	mu      sync.Mutex
	records []keptRecord
}

func newKept(retention time.Duration) *kept { return &kept{retention: retention} }

// add remembers a record. When too many are remembered the oldest stays in the
// object API.
func (k *kept) add(now time.Time, name string, version uint64) {
	if version == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.records) >= maxKept {
		k.records = k.records[1:]
	}
	k.records = append(k.records, keptRecord{name: name, version: version, due: now.Add(k.retention)})
}

// next removes and returns the oldest record if its time has come.
func (k *kept) next(now time.Time) (keptRecord, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.records) == 0 || now.Before(k.records[0].due) {
		return keptRecord{}, false
	}
	r := k.records[0]
	k.records = k.records[1:]
	return r, true
}

// expireAll deletes records whose retention has passed until ctx is done, at a
// bounded rate.
func (l *Ledger) expireAll(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			if r, ok := l.kept.next(now); ok {
				l.expire(ctx, r)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (l *Ledger) expire(ctx context.Context, r keptRecord) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l.count(expiring, "delete")
	err := l.store(expiring).Delete(ctx, objects.Claims, r.name, objects.Version(r.version))
	if err == nil || objects.IsKind(err, objects.Conflict) {
		return
	}
	l.opts.Log.At(event.StoreUnavailable).Str("purpose", "claims").Err(err).Send()
	l.kept.add(time.Now(), r.name, r.version) // tried again after another retention
}
