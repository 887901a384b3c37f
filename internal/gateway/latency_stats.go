package gateway

import (
	"time"

	"github.com/borageusher/borageusher/pkg/assignment"
	"github.com/borageusher/borageusher/pkg/retry"
)

// latencyStats holds the response times of one target, or of all targets of a
// service.
type latencyStats struct {
	firstEvent retry.Mean       // time to the first event
	duration   retry.Mean       // time to the end of the response
	readTime   assignment.Trend // time to the first event, by the tokens of the prompts that the target reads until then
}

// observe records the times of one response.
func (s *latencyStats) observe(firstEvent, duration time.Duration) {
	s.firstEvent.Observe(firstEvent)
	s.duration.Observe(duration)
}

// firstEventOr returns the mean time to the first event, or that of other if
// none was observed.
func (s *latencyStats) firstEventOr(other *latencyStats) time.Duration {
	if v := s.firstEvent.Value(); v > 0 {
		return v
	}
	return other.firstEvent.Value()
}
