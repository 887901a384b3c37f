package entry

import (
	"context"
	"sync"
	"time"

	"github.com/borageusher/borageusher/pkg/admission"
	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/retry"
)

// limitFilter bounds the calls in progress at this entry, in all and so that
// one team's flood leaves places for the others.
type limitFilter struct {
	mu      sync.Mutex
	limiter *admission.Limiter
	stay    retry.Mean // of calls here
}

func newLimitFilter(most int) *limitFilter {
	return &limitFilter{limiter: admission.New(most)}
}

// Filter implements Filter.
func (f *limitFilter) Filter(ctx context.Context, c *Call, now time.Time, next Handler) Result {
	if after, ok := f.admit(c.Team.Name); !ok {
		r := rejected(outcome.Overloaded, "too many requests are in progress")
		r.After = after
		return r
	}
	defer func() { f.release(c.Team.Name, time.Since(now)) }()
	return next.Handle(ctx, c, now)
}

// admit takes a place, or returns when trying again may help: when all that is
// here now will have left.
func (f *limitFilter) admit(team string) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.limiter.Admit(team) {
		return 0, true
	}
	n := f.limiter.Total()
	return retry.After(n, n, f.stay.Value()), false
}

func (f *limitFilter) release(team string, stay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limiter.Release(team)
	f.stay.Observe(stay)
}

// InProgress returns the number of calls in progress.
func (f *limitFilter) InProgress() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limiter.Total()
}
