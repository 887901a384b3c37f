package gateway

import (
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/settings"
	"github.com/borageusher/borageusher/pkg/confirmation"
	"github.com/borageusher/borageusher/pkg/routing"
)

// Shares of the bounds on the age of a confirmation that are used as the time between two
// calls of the store. In steady state the age is at most that time and one round trip.
const (
	// revokePeriodShare keeps the age below 2.1 s with a bound of 5 s: a lost response
	// costs 1 s more, a second one 2 s more.
	revokePeriodShare = 0.4
	// applyPeriodShare leaves time for a lost response within the time in which a
	// configuration must be in force.
	applyPeriodShare = 0.5
	// looseApplyPeriodShare applies without a bound on revocation. The store gets as many
	// calls as from a follower with its usual intervals.
	looseApplyPeriodShare = 0.7
)

// maxReplaced limits the replaced configurations that are kept, since each may take some
// MB of memory.
const maxReplaced = 4

// replacedConfiguration is one that another process may still have in force.
type replacedConfiguration struct {
	cfg   *routing.Configuration
	until time.Duration
}

// confirmations holds what a process knows of the age of its configuration. Only the
// methods for the follower of the configuration change it.
type confirmations struct {
	clock        func() time.Duration // runs while the VM is suspended
	applyWithin  atomic.Int64         // nanoseconds
	revokeWithin atomic.Int64         // nanoseconds, zero for no bound
	log          event.Log

	tracker  confirmation.Tracker
	latest   atomic.Pointer[confirmation.Confirmation]
	replaced atomic.Pointer[[]replacedConfiguration]

	expiredAt time.Duration // beginning of the time without a valid confirmation, zero if there is one
}

func newConfirmations(b settings.Bounds, clock func() time.Duration, log event.Log) *confirmations {
	c := &confirmations{clock: clock, log: log}
	c.latest.Store(&confirmation.Confirmation{})
	c.replaced.Store(&[]replacedConfiguration{})
	c.setBounds(b)
	return c
}

// setBounds applies the bounds of reloaded settings.
func (c *confirmations) setBounds(b settings.Bounds) {
	c.applyWithin.Store(int64(b.ApplyWithin))
	c.revokeWithin.Store(int64(b.RevokeWithin))
}

// mayAccept reports whether the keys of the configuration that is loaded after latest may
// be accepted: no configuration without one of them is older than the bound.
func (c *confirmations) mayAccept(latest confirmation.Confirmation) bool {
	within := time.Duration(c.revokeWithin.Load())
	return within == 0 || latest.Within(c.clock(), within)
}

// mayDeny reports whether a key that this configuration does not hold is unknown, and not
// one of a newer configuration that should be in force.
func (c *confirmations) mayDeny(latest confirmation.Confirmation) bool {
	return latest.Within(c.clock(), time.Duration(c.applyWithin.Load()))
}

// mayStillAllow reports whether a configuration that was replaced so recently that another
// process may have it in force allows a request.
func (c *confirmations) mayStillAllow(host, path string, key callerKey) bool {
	now := c.clock()
	for _, r := range *c.replaced.Load() {
		if now < r.until && allows(r.cfg, host, path, key) {
			return true
		}
	}
	return false
}

// recordReplaced keeps a replaced configuration for as long as another process may have it
// in force.
func (c *confirmations) recordReplaced(cfg *routing.Configuration) {
	kept := c.unexpired()
	kept = append(kept[max(0, len(kept)-maxReplaced+1):], replacedConfiguration{cfg, c.clock() + time.Duration(c.applyWithin.Load())})
	c.replaced.Store(&kept)
}

// unexpired returns a copy of the replaced configurations that are still kept.
func (c *confirmations) unexpired() []replacedConfiguration {
	var kept []replacedConfiguration
	for _, r := range *c.replaced.Load() {
		if c.clock() < r.until {
			kept = append(kept, r)
		}
	}
	return kept
}

// expireReplaced drops the configurations that no process has in force any more. It is
// called from another goroutine than recordReplaced, which then wins.
func (c *confirmations) expireReplaced() {
	before := c.replaced.Load()
	if kept := c.unexpired(); len(kept) < len(*before) {
		c.replaced.CompareAndSwap(before, &kept)
	}
}

// observe records a response of the store that has been applied.
func (c *confirmations) observe(r confirmation.Response) {
	c.tracker.Observe(r)
	latest := c.tracker.Latest()
	c.latest.Store(&latest)
}

// period returns the time between two calls of the store that the configuration in force
// needs, zero if it needs no confirmations.
func (c *confirmations) period(cfg *routing.Configuration) time.Duration {
	if cfg == nil || !cfg.HasWorkspaces() {
		return 0
	}
	apply, revoke := float64(c.applyWithin.Load()), float64(c.revokeWithin.Load())
	if revoke == 0 {
		return time.Duration(looseApplyPeriodShare * apply)
	}
	return time.Duration(min(revokePeriodShare*revoke, applyPeriodShare*apply))
}

// report updates the metric of the age, and logs when keys begin or cease to be rejected
// for it. It is called from one goroutine.
func (c *confirmations) report(cfg *routing.Configuration, scope tally.Scope) {
	c.expireReplaced()
	if cfg == nil || !cfg.HasWorkspaces() {
		return
	}
	latest, now := *c.latest.Load(), c.clock()
	age, confirmed := latest.Age(now)
	if confirmed {
		scope.Gauge("confirmation_age_seconds").Update(age.Seconds())
	}
	switch valid := c.mayAccept(latest); {
	case !valid && c.expiredAt == 0:
		c.expiredAt = now
		c.log.Event(event.ConfirmationExpired).Dur("age", age).Bool("confirmed", confirmed).Send()
	case valid && c.expiredAt != 0:
		c.log.Event(event.ConfirmationRenewed).Dur("for", now-c.expiredAt).Dur("age", age).Send()
		c.expiredAt = 0
	}
}
