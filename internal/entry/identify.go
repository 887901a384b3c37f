package entry

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/outcome"
)

// Configurations provides the configuration in force, nil if there is none yet.
type Configurations interface {
	Current() *configuration.Configuration
}

// identifyFilter authenticates the team by its bearer key. It also binds the call
// to the current configuration, which all later stages use.
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
