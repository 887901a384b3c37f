package claims

import (
	"context"
	"sync"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/objects"
)

// Bounds of the deletion of expired records.
const (
	maxExpiryEntries = 50000                  // records queued for deletion per process
	expireInterval   = 200 * time.Millisecond // between deletions
)

// expiryEntry is a record to delete if its version is still the one that this
// process wrote.
type expiryEntry struct {
	name    string
	version uint64
	due     time.Time // by this process's clock
}

// expiryQueue holds the records that this process must delete, oldest first. Each
// process deletes the records that it wrote, by its own clock, so that neither a
// leader nor synchronized clocks are needed. A record that another process has
// changed since is deleted by that process.
type expiryQueue struct {
	retention time.Duration

	mu      sync.Mutex
	entries []expiryEntry
}

func newExpiryQueue(retention time.Duration) *expiryQueue { return &expiryQueue{retention: retention} }

// add queues a record for deletion after the retention. A version of zero means
// that nothing was written and is ignored. When the queue is full, its oldest
// record is dropped and stays in the object API.
func (q *expiryQueue) add(now time.Time, name string, version uint64) {
	if version == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.entries) >= maxExpiryEntries {
		q.entries = q.entries[1:]
	}
	q.entries = append(q.entries, expiryEntry{name: name, version: version, due: now.Add(q.retention)})
}

// popDue removes and returns the oldest record if it is due.
func (q *expiryQueue) popDue(now time.Time) (expiryEntry, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.entries) == 0 || now.Before(q.entries[0].due) {
		return expiryEntry{}, false
	}
	e := q.entries[0]
	q.entries = q.entries[1:]
	return e, true
}

// expireLoop deletes records whose retention has passed, at most one per
// expireInterval, until ctx is done.
func (cl *Client) expireLoop(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			if e, ok := cl.expiryQueue.popDue(now); ok {
				cl.expire(ctx, e)
			}
		case <-ctx.Done():
			return
		}
	}
}

// expire deletes one record. After a failure the record is queued again.
func (cl *Client) expire(ctx context.Context, e expiryEntry) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	cl.count(purposeExpire, "delete")
	err := cl.store(purposeExpire).Delete(ctx, objects.Claims, e.name, objects.Version(e.version))
	if err == nil || objects.IsKind(err, objects.Conflict) {
		return
	}
	cl.opts.Log.Event(event.StoreUnavailable).Str("purpose", "claims").Err(err).Send()
	cl.expiryQueue.add(time.Now(), e.name, e.version) // retried after another retention period
}
