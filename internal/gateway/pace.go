package gateway

import (
	"time"

	"github.com/borageusher/borageusher/pkg/assignment"
	"github.com/borageusher/borageusher/pkg/retry"
)

// pace is how fast a target, or the targets of a service, answer.
type pace struct {
	first retry.Mean       // until the first event
	stay  retry.Mean       // until the end
	queue assignment.Trend // until the first event, by the requests ahead
}

func (p *pace) observe(first, stay time.Duration) {
	p.first.Observe(first)
	p.stay.Observe(stay)
}

// firstOr returns the mean time until the first event, or that of other if
// nothing was observed.
func (p *pace) firstOr(other *pace) time.Duration {
	if v := p.first.Value(); v > 0 {
		return v
	}
	return other.first.Value()
}
