package entry

import (
	"context"
	"sync"
	"time"

	"github.com/borageusher/borageusher/pkg/admission"
	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/retry"
)

// limitFilter is the admission control of an entryd: it bounds the calls in
// progress in total, and those of each team such that a burst of one team leaves
// capacity for the others.
type limitFilter struct {
	mu      sync.Mutex
	limiter *admission.Limiter
	latency retry.Mean // of completed calls
}

func newLimitFilter(maxInProgress int) *limitFilter {
	return &limitFilter{limiter: admission.New(maxInProgress)}
}

// Filter implements Filter.
func (f *limitFilter) Filter(ctx context.Context, c *Call, now time.Time, next Handler) Result {
	if after, ok := f.admit(c.Team.Name); !ok {
		r := rejected(outcome.Overloaded, "too many requests are in progress")
		r.RetryAfter = after
		return r
	}
	defer func() { f.release(c.Team.Name, time.Since(now)) }()
	return next.Handle(ctx, c, now)
}

// admit admits a call of the team. If the limit is reached it returns false and
// the estimated time until all calls now in progress have completed.
func (f *limitFilter) admit(team string) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.limiter.Admit(team) {
		return 0, true
	}
	n := f.limiter.Total()
	return retry.After(n, n, f.latency.Value()), false
}

// release ends an admitted call that took latency.
func (f *limitFilter) release(team string, latency time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limiter.Release(team)
	f.latency.Observe(latency)
}

// InProgress returns the number of calls in progress.
func (f *limitFilter) InProgress() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limiter.Total()
}
