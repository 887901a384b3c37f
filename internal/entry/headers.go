package entry

import (
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/borageusher/borageusher/pkg/outcome"
)

// Limits on request headers.
const (
	maxIdempotencyKey = 200 // bytes
	maxStartWithin    = 10 * time.Minute
	maxPriority       = 9 // absolute value
)

// bearerKey returns the bearer key in the value of an Authorization header, or the
// empty string if there is none.
func bearerKey(header string) string {
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}

// readHeaders sets the deadline and priority of c from the request headers. If a
// header is invalid it returns the result to respond with and false.
func readHeaders(c *Call, rc *app.RequestContext, now time.Time) (Result, bool) {
	if len(c.IdempotencyKey) > maxIdempotencyKey {
		return rejected(outcome.BadRequest, "Idempotency-Key is longer than 200 bytes"), false
	}
	if v := string(rc.GetHeader("X-Start-Within")); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 || d > maxStartWithin {
			return rejected(outcome.BadRequest, "X-Start-Within must be a time up to 10m, such as 2s"), false
		}
		c.Deadline = now.Add(d)
	}
	if v := string(rc.GetHeader("X-Priority")); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < -maxPriority || n > maxPriority {
			return rejected(outcome.BadRequest, "X-Priority must be a whole number from -9 to 9"), false
		}
		c.Priority = int8(n)
	}
	return Result{}, true
}
