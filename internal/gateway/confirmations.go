package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/internal/settings"
	"github.com/borageusher/borageusher/pkg/confirmation"
	"github.com/borageusher/borageusher/pkg/holder"
	"github.com/borageusher/borageusher/pkg/routing"
)

// looseApplyPeriodShare is the share of the time in which a configuration must be in force
// that is used as the time between two calls of the store if there is no bound on
// revocation. The store gets as many calls as from a follower with its usual intervals.
const looseApplyPeriodShare = 0.7

// Confirmations by targetds, in the times between two of their calls of the store.
const (
	// askShare is the time between two questions to a targetd.
	askShare = 0.25
	// ownCallPeriods is the age at which the entryd makes its own call although targetds
	// answer. Theirs are at most one period and one question old.
	ownCallPeriods = 1.5
	// askedTargetds is the number of targetds in the availability zone that are asked in turn, so
	// that the loss of one is not noticed.
	askedTargetds = 2
	// maxQuestions bounds the questions without an answer that are remembered.
	maxQuestions = 16
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

	mu         sync.Mutex
	tracker    confirmation.Tracker
	questions  map[uint64]time.Duration // when those without an answer were sent, by id
	lastID     uint64
	askedAt    time.Duration // last time at which a targetd was asked, zero if none was
	answeredAt time.Duration // last time at which an answer confirmed the configuration, zero if none did
	changed    chan struct{}

	latest   atomic.Pointer[confirmation.Confirmation]
	newer    atomic.Bool // a targetd knows of a newer configuration
	replaced atomic.Pointer[[]replacedConfiguration]

	expiredAt time.Duration // beginning of the time without a valid confirmation, zero if there is one
}

func newConfirmations(b settings.Bounds, clock func() time.Duration, log event.Log) *confirmations {
	c := &confirmations{clock: clock, log: log, questions: map[uint64]time.Duration{}, changed: make(chan struct{}, 1)}
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
// one of a newer configuration that should be in force or is known to be in the store.
func (c *confirmations) mayDeny(latest confirmation.Confirmation) bool {
	return !c.newer.Load() && latest.Within(c.clock(), time.Duration(c.applyWithin.Load()))
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
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Observe(r)
	c.newer.Store(false)
	latest := c.tracker.Latest()
	c.latest.Store(&latest)
}

// period returns the time between two calls of the store that the configuration in force
// needs, zero if it needs no confirmations.
func (c *confirmations) period(cfg *routing.Configuration) time.Duration {
	if cfg == nil || !cfg.HasWorkspaces() {
		return 0
	}
	b := settings.Bounds{ApplyWithin: time.Duration(c.applyWithin.Load()), RevokeWithin: time.Duration(c.revokeWithin.Load())}
	if b.RevokeWithin == 0 {
		return time.Duration(looseApplyPeriodShare * float64(b.ApplyWithin))
	}
	return b.ConfirmationPeriod()
}

// due returns the time until this process has to call the store itself, given the time
// since its last call, and false if the configuration in force needs no confirmations.
func (c *confirmations) due(cfg *routing.Configuration, sinceCall time.Duration) (time.Duration, bool) {
	period := c.period(cfg)
	if period == 0 {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	own, now := period-sinceCall, c.clock()
	if c.newer.Load() {
		return scaled(period, askShare) - sinceCall, true
	}
	atMost := scaled(period, ownCallPeriods)
	age, confirmed := c.tracker.Latest().Age(now)
	if !confirmed || c.answeredAt == 0 || now-c.answeredAt >= atMost {
		return own, true
	}
	return max(own, atMost-age), true
}

func scaled(d time.Duration, by float64) time.Duration { return time.Duration(by * float64(d)) }

// nextQuestion returns the next question to a targetd, and false if none is due. Only
// deployments with a bound on revocation need as many confirmations.
func (c *confirmations) nextQuestion(cfg *routing.Configuration) (peer.ConfirmationRequest, bool) {
	interval := scaled(c.period(cfg), askShare)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	if interval == 0 || c.revokeWithin.Load() == 0 || (c.askedAt != 0 && now-c.askedAt < interval-usageInterval/5) { // the ticks are not exact
		return peer.ConfirmationRequest{}, false
	}
	c.lastID++
	delete(c.questions, c.lastID-maxQuestions)
	c.questions[c.lastID], c.askedAt = now, now
	return peer.ConfirmationRequest{ID: c.lastID}, true
}

// applyAnswer records the answer of a targetd to a question.
func (c *confirmations) applyAnswer(m peer.ConfirmationAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	askedAt, ok := c.questions[m.ID]
	if !ok {
		return
	}
	delete(c.questions, m.ID)
	before := c.tracker.Latest()
	if c.tracker.ObserveAnswer(confirmation.Answer{AskedAt: askedAt, Age: m.Age, History: m.History, Version: m.Version}) {
		c.newer.Store(true)
		select {
		case c.changed <- struct{}{}:
		default:
		}
	}
	if latest := c.tracker.Latest(); latest != before {
		c.answeredAt = c.clock()
		c.latest.Store(&latest)
	}
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

// confirmerKey is hashed with the addresses of targetds to select those that confirm the
// configuration, so that all entryds of an availability zone ask the same ones.
const confirmerKey uint64 = 0x6b657973

// confirmers returns the connections to the targetds of the availability zone that confirm
// the configuration.
func (f *Fleet) confirmers() []*peer.Conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	var processes []holder.Process
	var conns []*peer.Conn
	for _, t := range f.connectedVMs() {
		if t.conn.Confirms() && t.replica.Zone == f.zone {
			processes = append(processes, holder.Process{Name: t.replica.ID, Hash: t.vmHash, Zone: f.zone})
			conns = append(conns, t.conn)
		}
	}
	var out []*peer.Conn
	set := holder.NewSet(processes)
	for _, i := range set.Spread(confirmerKey, askedTargetds, 0) {
		out = append(out, conns[i])
	}
	return out
}

// askConfirmer asks the targetds of the availability zone in turn how old the
// configuration is, if that is due.
func (f *Fleet) askConfirmer(c *confirmations, cfg *routing.Configuration) {
	m, due := c.nextQuestion(cfg)
	if !due {
		return
	}
	if conns := f.confirmers(); len(conns) > 0 {
		_, _ = conns[m.ID%uint64(len(conns))].Send(m) // without an answer the entryd calls the store itself
	}
}
