package entry

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/outcome"
)

// Configurations gives the configuration in force.
type Configurations interface {
	Current() *configuration.Configuration
}

// identifyFilter finds the team of the bearer key. It fixes the configuration
// that the whole call is handled under.
type identifyFilter struct {
	configurations Configurations
}

// Filter implements Filter.
func (f identifyFilter) Filter(ctx context.Context, c *Call, now time.Time, next Handler) Result {
	c.Configuration = f.configurations.Current()
	if c.Configuration == nil {
		return rejected(outcome.NotReady, "no configuration is in force yet")
	}
	c.Team = c.Configuration.TeamByKey(configuration.DigestKey(c.BearerKey))
	if c.Team == nil {
		return rejected(outcome.BadKey, "the bearer key belongs to no team")
	}
	return next.Handle(ctx, c, now)
}
