package objects

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Least calls that a process may make at once after a pause. A process whose
// part is larger may make the calls of one second.
const (
	readBurst  = 100
	writeBurst = 8
)

// Budget bounds the calls that one process makes of the object API: a token
// bucket for reads and one for writes. Calls of low priority leave a part of
// the bucket to those of high priority, so they are the first to wait.
type Budget struct {
	reads, writes bucket
}

// NewBudget returns the budget of one of processes that share the given rates,
// in calls a second. It panics unless all arguments are positive.
func NewBudget(reads, writes float64, processes int) *Budget {
	if reads <= 0 || writes <= 0 || processes <= 0 {
		panic("objects: a budget needs positive rates and processes")
	}
	n := float64(processes)
	return &Budget{reads: newBucket(reads/n, readBurst), writes: newBucket(writes/n, writeBurst)}
}

// wait waits until a call may be made. The error is of kind Unavailable: the
// call was not made.
func (b *Budget) wait(ctx context.Context, p Purpose, write bool) error {
	k := &b.reads
	if write {
		k = &b.writes
	}
	for {
		pause := k.take(p, time.Now())
		if pause == 0 {
			return nil
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return &Error{Op: "wait for the budget", Kind: Unavailable, Err: ctx.Err()}
		}
	}
}

// bucket is a token bucket with a reserve for calls of high priority.
type bucket struct {
	mu      sync.Mutex
	limiter *rate.Limiter
}

func newBucket(perSecond float64, leastBurst int) bucket {
	return bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), max(leastBurst, int(perSecond)))}
}

// take takes a token for a call, or returns how long to wait before the next try.
func (k *bucket) take(p Purpose, now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	need := 1 + p.reserved()*float64(k.limiter.Burst()-1)
	missing := need - k.limiter.TokensAt(now)
	if missing <= 0 && k.limiter.AllowN(now, 1) {
		return 0
	}
	pause := time.Duration(missing / float64(k.limiter.Limit()) * float64(time.Second))
	return max(pause, time.Millisecond)
}
