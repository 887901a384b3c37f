package orders

import (
	"math"
	"time"
)

// Intervals and bonuses of the planner.
const (
	// demandTTL is how long a Demand with waiting requests is valid. Entryds
	// repeat it every DemandInterval while requests wait.
	demandTTL = 600 * time.Millisecond
	// DemandInterval is the interval at which an entryd repeats the Demand for an
	// adapter.
	DemandInterval = 200 * time.Millisecond
	// demandHalfLife is the half-life of a request's weight in the demand estimate
	// of an adapter: a few times the period in which adapter popularity shifts in
	// the users' deployments.
	demandHalfLife = 8 * time.Second
	// usageTTL is how long an adapter counts as in use after an entryd reported
	// its use. Entryds report running requests every 250 ms, and
	// the engine rejects an unload that comes too early, which costs little.
	usageTTL = 350 * time.Millisecond
	// demandRetention is how long the demand for an adapter is kept after its last
	// Demand. It bounds the memory for adapters that are no longer requested.
	demandRetention = 2 * time.Minute
	// rejectedLoadBackoff is the time without loads after the engine rejected one:
	// about the age of the engine's report.
	rejectedLoadBackoff = 100 * time.Millisecond
	// waitingRequestBonus is the time that each waiting request adds to the wait of
	// an adapter when loads are prioritised. It equals the duration of a load, so
	// that an adapter with two waiting requests precedes one with a single request
	// that has waited up to one load duration longer.
	waitingRequestBonus = 250 * time.Millisecond
	// minModelLoadInterval is the minimum time between two model loads ordered for
	// the same start of the engine, so that an engine that fails repeatedly leaves
	// the weight store to others.
	minModelLoadInterval = 5 * time.Second
)

// Demand is the demand of one entryd for an adapter.
type Demand struct {
	Adapter Adapter
	Version int64 // minimum version
	Waiting int   // requests that wait for the adapter
	Used    int   // requests sent since the entryd last reported them
	Running int   // requests of the entryd that use the adapter now
}

// Planner tracks the demand for the adapters of one engine and determines the
// next order. It is not safe for concurrent use.
type Planner struct {
	demand               map[Adapter]*adapterDemand
	outstanding          *Outstanding
	lastModelLoad        time.Time
	modelLoadEngineStart int64 // Report.Started when a model load was last accepted
	noVictim             bool  // the last Next needed a slot and could evict no adapter
	held                 bool  // the last Next returned no order, or another one, because of outstanding orders
	window               loadWindow
	loadsBlockedUntil    time.Time // no adapter loads are ordered before
}

// adapterDemand is the demand for one adapter, aggregated over all entryds.
type adapterDemand struct {
	minVersion   int64
	requests     float64 // decayed number of requests, as of countedAt
	countedAt    time.Time
	lastDemandAt time.Time // last Demand with waiting requests
	waitingSince time.Time // first Demand of the current wait
	waiting      int       // most requests that one entryd reported during the current wait
	lastUsed     time.Time
}

// NewPlanner returns a planner without demand. It returns no order that lets the engine
// execute more of the outstanding orders than it has room for.
func NewPlanner(outstanding *Outstanding) *Planner {
	return &Planner{demand: map[Adapter]*adapterDemand{}, outstanding: outstanding}
}

// RecordDemand records the demand and the usage that an entryd reported.
func (p *Planner) RecordDemand(now time.Time, reported Demand) {
	d := p.demand[reported.Adapter]
	if d == nil {
		d = &adapterDemand{countedAt: now}
		p.demand[reported.Adapter] = d
	}
	d.minVersion = max(d.minVersion, reported.Version)
	d.addRequests(now, float64(reported.Used))
	if reported.Used > 0 || reported.Running > 0 {
		d.lastUsed = now
	}
	if reported.Waiting > 0 {
		if now.Sub(d.lastDemandAt) > demandTTL {
			d.waitingSince = now
			d.waiting = 0
		}
		d.lastDemandAt = now
		d.waiting = max(d.waiting, reported.Waiting)
	}
}

// RecordVersion records that a new version of an adapter was announced.
func (p *Planner) RecordVersion(now time.Time, a Adapter, version int64) {
	p.RecordDemand(now, Demand{Adapter: a, Version: version})
}

// Next returns the next order for an engine in the reported state, or false if
// there is none.
func (p *Planner) Next(now time.Time, r *Report, c Capacity) (Order, bool) {
	p.noVictim, p.held = false, false
	p.window.observe(now, r)
	if r.Departing {
		return Order{}, false
	}
	if len(r.Models) == 0 {
		return p.nextModelLoad(now, r, c)
	}
	late := p.outstanding.usage(now, r, r.Sequence, c)
	if late != (Usage{}) && c.Excess(c.Used(r).plus(late)) != (Usage{}) {
		p.held = true
		return p.evict(now, r, c, Usage{})
	}
	if o, ok := p.nextOutdatedUnload(now, r); ok && p.allowsUnload(now, r, c, o.Adapter) {
		return o, true
	}
	a, ok := p.mostUrgent(now, r)
	if !ok {
		return Order{}, false
	}
	if !p.window.allows(r, a, c.MaxLoads) || now.Before(p.loadsBlockedUntil) {
		return Order{}, false
	}
	wanted := c.adapter(a)
	if used := c.Used(r).plus(wanted); c.Excess(used) == (Usage{}) {
		if c.Excess(used.plus(p.outstanding.usage(now, r, r.Sequence+1, c))) == (Usage{}) {
			return Order{Adapter: a, Version: p.demand[a].minVersion}, true
		}
		p.held = true
	}
	return p.evict(now, r, c, wanted)
}

// evict returns the order that unloads the victim. It returns false if there is none, or if all
// victims together would not make room for what is wanted.
func (p *Planner) evict(now time.Time, r *Report, c Capacity, wanted Usage) (Order, bool) {
	victim, freed, ok := p.victim(now, r, c)
	if !ok || c.Excess(c.Used(r).minus(freed).plus(wanted)) != (Usage{}) || !p.allowsUnload(now, r, c, victim) {
		p.noVictim = true
		return Order{}, false
	}
	return Order{Unload: true, Adapter: victim}, true
}

// allowsUnload reports whether outstanding orders permit an order to unload an adapter: it must
// not make an overfilled engine possible, or more overfilled.
func (p *Planner) allowsUnload(now time.Time, r *Report, c Capacity, a Adapter) bool {
	late := p.outstanding.usage(now, r, r.Sequence+1, c)
	if late == (Usage{}) {
		return true
	}
	before := c.Excess(c.Used(r).plus(p.outstanding.usage(now, r, r.Sequence, c)))
	after := c.Excess(c.Used(r).minus(c.adapter(a)).plus(late))
	if after == (Usage{}) || (after != before && after.Slots <= before.Slots && after.MB <= before.MB) {
		return true
	}
	p.held = true
	return false
}

// Missing returns the number of adapters that requests wait for and that the
// engine, which holds their model, neither holds nor loads.
func (p *Planner) Missing(now time.Time, r *Report) int {
	n := 0
	for a, d := range p.demand {
		if d.missing(now, a, r) {
			n++
		}
	}
	return n
}

// Full reports whether the last call of Next had an adapter to load while every
// adapter slot was in use or kept for outstanding orders.
func (p *Planner) Full() bool { return p.noVictim }

// Held reports whether the last call of Next returned another order, or none, because of
// outstanding orders.
func (p *Planner) Held() bool { return p.held }

// Expire removes the adapters that are no longer requested, except those with an
// announced or required version.
func (p *Planner) Expire(now time.Time) {
	for a, d := range p.demand {
		if now.Sub(d.countedAt) > demandRetention && d.minVersion == 0 {
			delete(p.demand, a)
		}
	}
}

// nextModelLoad returns the order that loads the model into an empty engine, at
// most once per minModelLoadInterval for each start of the engine. It returns
// false if the engine already changes models or the model does not fit.
func (p *Planner) nextModelLoad(now time.Time, r *Report, c Capacity) (Order, bool) {
	if r.ModelChanging || len(c.Models) == 0 || c.Models[0].WeightsMB > c.WeightsMB {
		return Order{}, false
	}
	if r.Started == p.modelLoadEngineStart && now.Sub(p.lastModelLoad) < minModelLoadInterval {
		return Order{}, false
	}
	name := c.Models[0].Name
	loaded := *r
	loaded.Models = []Model{{Name: name}}
	late := p.outstanding.usage(now, &loaded, r.Sequence+1, c)
	if late != (Usage{}) && c.Excess(c.Used(&loaded).plus(late)) != (Usage{}) {
		p.held = true
		return Order{}, false
	}
	return Order{Adapter: Adapter{Model: name}}, true
}

// Accepted records that the engine accepted an order.
func (p *Planner) Accepted(now time.Time, r *Report, o Order) {
	if o.Adapter.Name == "" && !o.Unload {
		p.lastModelLoad, p.modelLoadEngineStart = now, r.Started
	}
}

// Rejected records that the engine, whose state may have changed since its
// report, rejected an order. It reports whether another order may succeed now. An
// adapter whose unload was rejected counts as in use.
func (p *Planner) Rejected(now time.Time, o Order) bool {
	if !o.Unload || o.Adapter.Name == "" {
		p.loadsBlockedUntil = now.Add(rejectedLoadBackoff)
		return false
	}
	d := p.demand[o.Adapter]
	if d == nil {
		d = &adapterDemand{countedAt: now}
		p.demand[o.Adapter] = d
	}
	d.lastUsed = now
	return true
}

// nextOutdatedUnload returns an order to unload an adapter whose version is
// outdated and that was not reported as in use recently. The new version is
// loaded when requests wait for it: an order that replaces the old version in
// place blocks all other loads until the last request on it has ended.
func (p *Planner) nextOutdatedUnload(now time.Time, r *Report) (Order, bool) {
	for _, resident := range r.Adapters {
		d := p.demand[resident.Adapter]
		if d == nil || d.minVersion <= resident.Version || now.Sub(d.lastUsed) < usageTTL {
			continue
		}
		return Order{Unload: true, Adapter: resident.Adapter}, true
	}
	return Order{}, false
}

// mostUrgent returns the missing adapter that requests have waited for longest,
// where each waiting request adds waitingRequestBonus. Ties are broken by name.
func (p *Planner) mostUrgent(now time.Time, r *Report) (Adapter, bool) {
	var best Adapter
	var bestDemand *adapterDemand
	for a, d := range p.demand {
		if !d.missing(now, a, r) {
			continue
		}
		if bestDemand == nil || d.precedes(bestDemand) || (!bestDemand.precedes(d) && a.Name < best.Name) {
			best, bestDemand = a, d
		}
	}
	return best, bestDemand != nil
}

// missing reports whether requests wait for the adapter and the engine holds its
// model but neither holds nor loads the adapter.
func (d *adapterDemand) missing(now time.Time, a Adapter, r *Report) bool {
	if now.Sub(d.lastDemandAt) > demandTTL || !r.HoldsModel(a.Model) {
		return false
	}
	if _, ok := r.ResidentVersion(a); ok {
		return false
	}
	_, ok := r.LoadingVersion(a)
	return !ok
}

// precedes reports whether the adapter is to be loaded before that of o.
func (d *adapterDemand) precedes(o *adapterDemand) bool {
	return d.effectiveWaitStart().Before(o.effectiveWaitStart())
}

// effectiveWaitStart returns the start of the current wait, moved back by
// waitingRequestBonus for each waiting request. It determines the load order.
func (d *adapterDemand) effectiveWaitStart() time.Time {
	return d.waitingSince.Add(-time.Duration(d.waiting) * waitingRequestBonus)
}

// victim returns the resident adapter to evict: the one with the lowest demand
// among those that no request uses or waits for, according to recent reports. It
// returns false if there is none. freed is what all of those take.
func (p *Planner) victim(now time.Time, r *Report, c Capacity) (worst Adapter, freed Usage, ok bool) {
	least := math.Inf(1)
	for _, resident := range r.Adapters {
		score := 0.0
		if d := p.demand[resident.Adapter]; d != nil {
			if now.Sub(d.lastUsed) < usageTTL || now.Sub(d.lastDemandAt) < demandTTL {
				continue
			}
			score = d.decayedCount(now)
		}
		freed = freed.plus(c.adapter(resident.Adapter))
		if score < least {
			worst, least = resident.Adapter, score
		}
	}
	return worst, freed, !math.IsInf(least, 1)
}

// addRequests adds n requests to the decayed count.
func (d *adapterDemand) addRequests(now time.Time, n float64) {
	d.requests = d.decayedCount(now) + n
	d.countedAt = now
}

// decayedCount returns the decayed number of requests at now.
func (d *adapterDemand) decayedCount(now time.Time) float64 {
	return d.requests * math.Exp2(-float64(now.Sub(d.countedAt))/float64(demandHalfLife))
}
