package gateway

import (
	"time"

	"github.com/borageusher/borageusher/pkg/assignment"
	"github.com/borageusher/borageusher/pkg/retry"
)

// latencyStats holds the response times of a service, over all its targets.
type latencyStats struct {
	firstEvent retry.Mean       // time to the first event
	duration   retry.Mean       // time to the end of the response
	readTime   assignment.Trend // time to the first event, by the tokens of the prompts that the target reads until then
	plainTime  retry.Mean       // time to the end of a response without a model at a target with a free slot
	eventGap   retry.Mean       // time between two events of a stream
}

// observe records the times of one response.
func (s *latencyStats) observe(firstEvent, duration time.Duration) {
	s.firstEvent.Observe(firstEvent)
	s.duration.Observe(duration)
}
