package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/borageusher/borageusher/pkg/outcome"
)

// stopRetryAfter is the Retry-After of calls that arrive late in a stop: their callers
// connect to another entryd at once.
const stopRetryAfter = time.Second

// stopFilter rejects the calls that arrive on open connections after the load balancer has
// removed a stopping entryd. They might run without an answer when the process ends.
type stopFilter struct{ closing atomic.Bool }

// Filter implements Filter.
func (f *stopFilter) Filter(ctx context.Context, c *Call, now time.Time, next Handler) Result {
	if f.closing.Load() {
		r := rejected(outcome.Draining, "the process is stopping")
		r.RetryAfter = stopRetryAfter
		return r
	}
	return next.Handle(ctx, c, now)
}
