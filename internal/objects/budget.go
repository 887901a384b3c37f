package objects

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Minimum burst sizes of a process's buckets, in calls. A process whose share
// per second is larger has the calls of one second as its burst size.
const (
	minReadBurst  = 100
	minWriteBurst = 8
)

// Budget limits the rate of one process's calls to the object API by a token
// bucket for reads and one for writes. Calls of low priority leave a share of the
// bucket to those of high priority, so they are delayed first.
type Budget struct {
	reads, writes bucket
}

// NewBudget returns the budget of one process. The rates reads and writes, in
// calls per second, are divided equally among the given number of processes.
// NewBudget panics unless all arguments are positive.
func NewBudget(reads, writes float64, processes int) *Budget {
	if reads <= 0 || writes <= 0 || processes <= 0 {
		panic("objects: a budget needs positive rates and processes")
	}
	n := float64(processes)
	return &Budget{reads: newBucket(reads/n, minReadBurst), writes: newBucket(writes/n, minWriteBurst)}
}

// acquire waits until a call for p may be made. The error is of kind Unavailable
// when ctx is done before; the call must not be made then.
func (b *Budget) acquire(ctx context.Context, p Purpose, write bool) error {
	tokens := &b.reads
	if write {
		tokens = &b.writes
	}
	for {
		delay := tokens.takeToken(p, time.Now())
		if delay == 0 {
			return nil
		}
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return &Error{Op: "wait for the budget", Kind: Unavailable, Err: ctx.Err()}
		}
	}
}

// bucket is a token bucket with a share reserved for calls of high priority.
type bucket struct {
	mu      sync.Mutex
	limiter *rate.Limiter
}

func newBucket(perSecond float64, minBurst int) bucket {
	return bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), max(minBurst, int(perSecond)))}
}

// takeToken takes a token for a call and returns zero, or returns the delay
// before the next attempt.
func (k *bucket) takeToken(p Purpose, now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	required := 1 + p.reservedShare()*float64(k.limiter.Burst()-1)
	deficit := required - k.limiter.TokensAt(now)
	if deficit <= 0 && k.limiter.AllowN(now, 1) {
		return 0
	}
	delay := time.Duration(deficit / float64(k.limiter.Limit()) * float64(time.Second))
	return max(delay, time.Millisecond)
}
