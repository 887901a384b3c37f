package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/borageusher/borageusher/pkg/outcome"
)

// overloadRetryAfter is what callers are told to wait when the entry is full.
const overloadRetryAfter = time.Second

// limitFilter bounds the calls in progress at this entry.
type limitFilter struct {
	most    int64
	current atomic.Int64
}

// Filter implements Filter.
func (f *limitFilter) Filter(ctx context.Context, c *Call, now time.Time, next Handler) Result {
	if f.current.Add(1) > f.most {
		f.current.Add(-1)
		r := rejected(outcome.Overloaded, "too many requests are in progress")
		r.After = overloadRetryAfter
		return r
	}
	defer f.current.Add(-1)
	return next.Handle(ctx, c, now)
}

// InProgress returns the number of calls in progress.
func (f *limitFilter) InProgress() int { return int(f.current.Load()) }
