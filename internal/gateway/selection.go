package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/borageusher/borageusher/pkg/assignment"
	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/target"
)

// failurePenalty is the share of the objective that one recent failure adds to a
// target's cost.
const failurePenalty = 0.25

// loadBatchShare is the share of the objective within which the requests that
// wait for an adapter at one target start once it is loaded. It equals
// assignment.copyThreshold, beyond which another copy of a resident adapter is
// loaded.
const loadBatchShare = 0.3

// selection is a target selected for an attempt, with the estimates behind the
// decision.
type selection struct {
	target    *targetState
	replica   target.Replica
	resident  bool            // the target holds the adapter
	leaving   bool            // the target leaves and still serves
	wait      time.Duration   // expected time until the attempt can start
	extra     time.Duration   // by which the call itself takes longer than at a mean target
	load      int             // estimated requests at the target
	backlog   int             // estimated tokens of prompts that the target has to read
	stateAge  time.Duration   // age of the engine state, zero if none is known
	newLoad   bool            // the target was not asked to load the adapter yet
	sampled   bool            // others that could be chosen were not looked at
	loadsWait bool            // more adapters wait to be loaded there than are loaded at once
	changed   <-chan struct{} // closed when the selection may change, nil if the adapter is resident
}

// choose returns the target for the next attempt of a call, and false if none is
// available. Targets that are avoided for now are used only if there is no
// other.
func (f *Fleet) choose(now time.Time, c *call) (selection, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chooseAmong(now, c, true, false)
}

// chooseResident returns the target for the next attempt of a call that no
// longer waits for an adapter to load, and false if no target holds the adapter.
func (f *Fleet) chooseResident(now time.Time, c *call) (selection, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chooseAmong(now, c, true, true)
}

// chooseFromAll does what choose or chooseResident does, and looks at all targets.
func (f *Fleet) chooseFromAll(now time.Time, c *call, residentOnly bool) (selection, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chooseAmong(now, c, false, residentOnly)
}

// chooseAmong chooses among the targets, or only among those that hold the
// adapter. If there are many and sample is set, it looks at a sample and only at all if no
// target of the sample can be chosen. If the adapter should have a further copy, it requests
// the load. The caller holds mu.
func (f *Fleet) chooseAmong(now time.Time, c *call, sample, residentOnly bool) (selection, bool) {
	d := f.decide(now, c, sample, residentOnly)
	if d.full {
		f.fullChoices++
	}
	if !d.ok {
		return selection{changed: f.changeSignal(c.adapter)}, false
	}
	if d.choice.CopyTarget >= 0 {
		f.requestLoad(now, d.targets[d.choice.CopyTarget], c.adapter, 1)
	}
	sel := d.selection(now, c, f)
	if !sel.resident {
		sel.changed = f.changeSignal(c.adapter)
	}
	return sel, true
}

// decision is a choice among the targets, before anything is done for it. Its slices are
// valid until the next decision.
type decision struct {
	request    assignment.Request
	targets    []*targetState
	candidates []assignment.Candidate // for the targets
	choice     assignment.Choice
	ok         bool // a target can be chosen
	full       bool // all targets were looked at because none of a sample can be chosen
	tier       targetTier
	sampled    bool // only a sample of the targets was looked at
}

// decide chooses among the targets as for chooseAmong, and changes nothing that a later
// decision depends on. If there are many targets and sample is set, it looks at a sample and
// only at all if no target of the sample can be chosen. The caller holds mu.
func (f *Fleet) decide(now time.Time, c *call, sample, residentOnly bool) decision {
	d := decision{request: assignment.Request{
		Key:       c.placementKey,
		Objective: f.slackOf(c),
		Bytes:     c.bodyBytes,
	}}
	d.sampled = !f.collect(now, c, sample, residentOnly)
	for _, tier := range c.tiers() {
		d.tier = tier
		d.targets, d.candidates = f.candidates(now, c, d.tier, residentOnly)
		d.choice, d.ok = assignment.Choose(d.request, d.candidates)
		if !d.ok && d.sampled {
			d.full, d.sampled = true, !f.collect(now, c, false, residentOnly)
			d.targets, d.candidates = f.candidates(now, c, d.tier, residentOnly)
			d.choice, d.ok = assignment.Choose(d.request, d.candidates)
		}
		if d.ok {
			break
		}
	}
	return d
}

// selection returns the selected target without its change signal. The caller holds the
// fleet's mu.
func (d *decision) selection(now time.Time, c *call, f *Fleet) selection {
	t := d.targets[d.choice.Index]
	sel := selection{target: t, replica: t.replica, resident: d.choice.Resident, leaving: t.notice.leaving, sampled: d.sampled, wait: d.choice.Wait, extra: d.candidates[d.choice.Index].ExtraTime, load: t.estimatedLoad(now), backlog: t.estimatedBacklog(now, f.tokenTimeAt(now, t))}
	if !t.stateAt.IsZero() {
		sel.stateAge = now.Sub(t.stateAt)
	}
	if !sel.resident {
		sel.newLoad, sel.loadsWait = !t.loading[c.adapter] && t.waiting[c.adapter] == 0, t.missingAdapters > maxConcurrentLoads
	}
	return sel
}

// minSlackShare is the share of the objective that a prompt leaves at least, however
// long it takes to read.
const minSlackShare = 0.25

// slackOf returns the part of the call's objective that is left after its own prompt
// is read. The caller holds mu.
func (f *Fleet) slackOf(c *call) time.Duration {
	read := time.Duration(c.promptTokens()) * f.tokenTime(c.service)
	return max(time.Duration(minSlackShare*float64(c.route.Objective)), c.route.Objective-read)
}

// awaitsTargets reports whether live targets of the call's service may become
// usable soon: they were discovered recently and their engine state was not
// received yet or is to be confirmed, or their engines became unreachable recently. When all engines of a
// service restart together, callers that are rejected at once return late.
func (f *Fleet) awaitsTargets(now time.Time, c *call) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		// Its version is confirmed by its targetd.
		suits := f.suits(now, c, t) || (c.mayGoTo(t) && c.softwareVersion != "" && t.replica.Version == c.softwareVersion)
		awaited := t.connecting(now) || (c.continues() && t.stateAsked)
		if suits && ((t.usable(now) && awaited) || t.restarting(now)) {
			return true
		}
	}
	return false
}

// candidates returns the collected targets, shuffled so that targets of equal cost
// share the load, and the estimates for them. Both are valid until the next call. The tier
// says which are usable. If residentOnly is set, no target can load the adapter. The caller
// holds mu.
func (f *Fleet) candidates(now time.Time, c *call, tier targetTier, residentOnly bool) ([]*targetState, []assignment.Candidate) {
	targets := f.sampler.targets
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	latency, tokenTime, ownTime := f.latencyOf(c.service), f.tokenTime(c.service), f.ownTime(c)
	firstEvent, duration := latency.atNormalSpeed(latency.firstEvent), latency.atNormalSpeed(latency.duration)
	prompt, cacheTokens := f.promptOf(c), f.cacheTokens(c.service)
	out := f.sampler.candidates[:0]
	version := f.version(c.adapter)
	for _, t := range targets {
		readFactor, workFactor := t.speed.factors(now)
		ownFactor := workFactor
		if c.model != "" {
			ownFactor = readFactor
		}
		a := assignment.Candidate{
			Hash:             t.hash,
			Distance:         t.distance,
			Slots:            t.replica.Slots,
			Requests:         t.estimatedLoad(now),
			TimeToFirstEvent: scale(firstEvent, readFactor),
			SojournTime:      scale(duration, workFactor),
			ExtraTime:        scale(ownTime, ownFactor-1),
			Resident:         true,
			Usable:           f.obstacle(now, c, t, tier) == "",
			Penalty:          time.Duration(t.decayedFailures(now) * failurePenalty * float64(c.route.Objective)),
		}
		if !c.hasPermit(now, t) {
			a.RateLimited, a.PermitDelay = t.limit.avoided(now), t.limit.permitDelay(now)
		}
		if c.model != "" {
			tokenTimeHere := scale(tokenTime, readFactor)
			a.Backlog = time.Duration(t.estimatedBacklog(now, tokenTimeHere)+t.waitingTokens) * tokenTimeHere
			a.Resident = t.hasVersion(c.adapter, version)
			if a.Resident && tokenTime > 0 {
				held := t.heldTokens(now, prompt, cacheTokens, latency.requestTokens)
				a.CacheSaving = scale(time.Duration(held)*tokenTimeHere, latency.cacheGain.Value())
			}
			a.InHostMemory = t.recent.hasVersion(c.adapter, version)
			a.LoadDelay = t.expectedLoadTime(c.adapter, a.InHostMemory, a.SojournTime)
			a.CanLoad = !residentOnly && c.adapter.Name != "" && t.canLoad(now, c.adapter)
		}
		out = append(out, a)
	}
	f.sampler.candidates = out
	coalesceLoads(c, targets, out, time.Duration(c.promptTokens())*tokenTime)
	return targets, out
}

// coalesceLoads restricts the targets that can load the adapter to those that
// already load it or were asked to, so that requests for it share one load. When
// more requests wait at a target than it can start within loadBatchShare of the
// objective, other targets may load the adapter as well. A request that already
// waits keeps its target unless the adapter is not expected there within the
// objective. readTime is that of the call's prompt, which stands for those of the
// other requests.
func coalesceLoads(c *call, targets []*targetState, candidates []assignment.Candidate, readTime time.Duration) {
	bound := time.Duration(loadBatchShare * float64(c.route.Objective))
	var only *targetState // where a request that already waits stays
	found := false
	for i, t := range targets {
		a := &candidates[i]
		if !a.Usable || !a.CanLoad || !t.expects(c.adapter) {
			continue
		}
		if t == c.waitTarget && a.LoadDelay <= c.route.Objective {
			only = t
		}
		found = found || time.Duration(t.waiting[c.adapter])*readTime < bound
	}
	if !found && only == nil {
		return
	}
	for i, t := range targets {
		if only != nil {
			candidates[i].CanLoad = candidates[i].CanLoad && t == only
			continue
		}
		candidates[i].CanLoad = candidates[i].CanLoad && candidates[i].Usable && t.expects(c.adapter) && time.Duration(t.waiting[c.adapter])*readTime < bound
	}
}

// expects reports whether the target loads an adapter or was asked to.
func (t *targetState) expects(a orders.Adapter) bool { return t.loading[a] || t.waiting[a] > 0 }

// latencyOf returns the latency statistics over all targets of a service. The
// caller holds mu.
func (f *Fleet) latencyOf(service string) *latencyStats {
	s := f.latencies[service]
	if s == nil {
		s = &latencyStats{}
		f.latencies[service] = s
	}
	return s
}

// meanDuration returns the mean response time of the service, zero if none was
// observed.
func (f *Fleet) meanDuration(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latencyOf(service).duration.Value()
}
