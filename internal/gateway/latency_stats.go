package gateway

import (
	"time"

	"github.com/borageusher/borageusher/pkg/assignment"
	"github.com/borageusher/borageusher/pkg/promptcache"
	"github.com/borageusher/borageusher/pkg/retry"
)

// latencyStats holds the response times of a service, over all its targets.
type latencyStats struct {
	firstEvent retry.Mean       // time to the first event
	duration   retry.Mean       // time to the end of the response
	readTime   assignment.Trend // time to the first event, by the tokens of the prompts that the target reads until then
	plainTime  retry.Mean       // time to the end of a response without a model at a target with a free slot
	eventGap   retry.Mean       // time between two events of a stream
	slowness   retry.Mean       // factor that the targets of the responses reported, in seconds

	requestTokens float64          // mean tokens of a prompt and its longest possible response
	cacheGain     promptcache.Gain // of cached prefixes of prompts
}

// observe records the times of one response, from a target that reported the given
// slowness.
func (s *latencyStats) observe(firstEvent, duration time.Duration, slowness float64) {
	s.firstEvent.Observe(firstEvent)
	s.duration.Observe(duration)
	s.slowness.Observe(scale(time.Second, slowness))
}

// atNormalSpeed returns what a mean time would be at targets that report normal speed, so
// that it can be multiplied by the factor of a target.
func (s *latencyStats) atNormalSpeed(mean retry.Mean) time.Duration {
	if s.slowness.Value() == 0 {
		return mean.Value()
	}
	return scale(mean.Value(), 1/s.slowness.Value().Seconds())
}
