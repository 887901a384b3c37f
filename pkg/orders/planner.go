package orders

import (
	"math"
	"time"
)

// Times of the planner.
const (
	// wantedFor is how long a want lasts without being repeated. Entries repeat
	// a want every WantInterval while requests wait.
	wantedFor = 600 * time.Millisecond
	// WantInterval is the pause between two mentions of the same want.
	WantInterval = 200 * time.Millisecond
	// halfLife is the time in which the weight of a request halves in the
	// estimate of an adapter's demand: some multiples of the time in which
	// popularity shifts on the users' deployments.
	halfLife = 8 * time.Second
	// inUseFor is how long an adapter counts as used after an entry said so:
	// entries report every 250 ms what runs, and an unload that comes too early
	// is refused and costs little.
	inUseFor = 350 * time.Millisecond
	// forgetAfter bounds the memory for adapters that nobody asks for any more.
	forgetAfter = 2 * time.Minute
	// refusedPause is the time until a load that the engine refused is ordered
	// again: about the age of its report.
	refusedPause = 100 * time.Millisecond
	// waitingWorth is how much longer a want counts as waiting for each request
	// that waits: the time of a load, so that an adapter for two requests goes
	// before one that was asked for a load earlier.
	waitingWorth = 250 * time.Millisecond
	// weightsPause is the least time between two loads of weights, so that an
	// engine that crashes again and again leaves the weight store to others.
	weightsPause = 5 * time.Second
)

// Want is a need for an adapter at the engine.
type Want struct {
	Adapter Adapter
	Version int64 // least version that will do
	Waiting int   // requests that wait for it
	Used    int   // requests sent since the last report of use
	Running int   // requests of the sender that run on it now
}

// Planner keeps the demand for the adapters of one engine and decides the next
// order. It is not safe for concurrent use.
type Planner struct {
	demand      map[Adapter]*demand
	lastWeights time.Time
	weightsFor  int64 // start of the engine that weights were last ordered for
	full        bool
	window      window
	noLoads     time.Time // until then the engine is not asked to load adapters
}

type demand struct {
	version  int64
	count    float64
	counted  time.Time
	wanted   time.Time // last mention as waited for
	first    time.Time // first mention of the present wait
	waiting  int
	lastUsed time.Time
}

// NewPlanner returns a planner that knows no demand.
func NewPlanner() *Planner { return &Planner{demand: map[Adapter]*demand{}} }

// Want notes what an entry needs or has used.
func (p *Planner) Want(now time.Time, w Want) {
	d := p.demand[w.Adapter]
	if d == nil {
		d = &demand{counted: now}
		p.demand[w.Adapter] = d
	}
	d.version = max(d.version, w.Version)
	d.add(now, float64(w.Used))
	if w.Used > 0 || w.Running > 0 {
		d.lastUsed = now
	}
	if w.Waiting > 0 {
		if now.Sub(d.wanted) > wantedFor {
			d.first = now
			d.waiting = 0
		}
		d.wanted = now
		d.waiting = max(d.waiting, w.Waiting)
	}
}

// NewVersion notes that a newer version of an adapter was announced.
func (p *Planner) NewVersion(now time.Time, a Adapter, version int64) {
	p.Want(now, Want{Adapter: a, Version: version})
}

// Next returns the next order for an engine in the reported state, and false
// when there is nothing to do.
func (p *Planner) Next(now time.Time, r *Report, c Capacity) (Order, bool) {
	p.full = false
	p.window.watch(now, r)
	if r.Departing {
		return Order{}, false
	}
	if len(r.Models) == 0 {
		return p.nextWeights(now, r, c)
	}
	if o, ok := p.outdated(now, r); ok {
		return o, true
	}
	a, ok := p.mostWanted(now, r)
	if !ok {
		return Order{}, false
	}
	if !p.window.has(r, a, c.InFlight) || now.Before(p.noLoads) {
		return Order{}, false
	}
	if len(r.Adapters)+len(r.Coming) < c.Adapters() {
		return Order{Adapter: a, Version: p.demand[a].version}, true
	}
	victim, ok := p.victim(now, r)
	if !ok {
		p.full = true
		return Order{}, false
	}
	return Order{Unload: true, Adapter: victim}, true
}

// Missing returns the number of adapters that requests wait for and that the
// engine neither holds nor loads.
func (p *Planner) Missing(now time.Time, r *Report) int {
	n := 0
	for a, d := range p.demand {
		if d.missing(now, a, r) {
			n++
		}
	}
	return n
}

// Full reports whether the last call of Next found an adapter wanted and every
// place in use.
func (p *Planner) Full() bool { return p.full }

// Expire forgets the adapters that nobody asks for any more.
func (p *Planner) Expire(now time.Time) {
	for a, d := range p.demand {
		if now.Sub(d.counted) > forgetAfter && d.version == 0 {
			delete(p.demand, a)
		}
	}
}

// nextWeights returns the order that fills an empty engine, once for each start.
func (p *Planner) nextWeights(now time.Time, r *Report, c Capacity) (Order, bool) {
	if r.Changing || c.Model == "" || c.ModelMB > c.WeightsMB {
		return Order{}, false
	}
	if r.Started == p.weightsFor && now.Sub(p.lastWeights) < weightsPause {
		return Order{}, false
	}
	return Order{Adapter: Adapter{Model: c.Model}}, true
}

// Sent notes that an order was accepted.
func (p *Planner) Sent(now time.Time, r *Report, o Order) {
	if o.Adapter.Name == "" && !o.Unload {
		p.lastWeights, p.weightsFor = now, r.Started
	}
}

// Refused notes that the engine refused an order in a state that may have
// changed meanwhile, and reports whether another order may succeed now. An
// adapter that can't be unloaded is in use.
func (p *Planner) Refused(now time.Time, o Order) bool {
	if !o.Unload || o.Adapter.Name == "" {
		p.noLoads = now.Add(refusedPause)
		return false
	}
	d := p.demand[o.Adapter]
	if d == nil {
		d = &demand{counted: now}
		p.demand[o.Adapter] = d
	}
	d.lastUsed = now
	return true
}

// outdated returns an order that unloads an adapter of an old version that no
// request is believed to use. The new one is loaded when requests wait for it:
// an order to replace the old one in place holds up all other loads until the
// last run on it has ended.
func (p *Planner) outdated(now time.Time, r *Report) (Order, bool) {
	for _, h := range r.Adapters {
		d := p.demand[h.Adapter]
		if d == nil || d.version <= h.Version || now.Sub(d.lastUsed) < inUseFor {
			continue
		}
		return Order{Unload: true, Adapter: h.Adapter}, true
	}
	return Order{}, false
}

// mostWanted returns the missing adapter that requests have waited for longest,
// where each further request that waits counts as some time.
func (p *Planner) mostWanted(now time.Time, r *Report) (Adapter, bool) {
	var best Adapter
	var of *demand
	for a, d := range p.demand {
		if !d.missing(now, a, r) {
			continue
		}
		if of == nil || d.before(of) || (!of.before(d) && a.Name < best.Name) {
			best, of = a, d
		}
	}
	return best, of != nil
}

// missing reports whether requests wait for the adapter and the engine, which
// holds its model, does nothing about it yet.
func (d *demand) missing(now time.Time, a Adapter, r *Report) bool {
	if now.Sub(d.wanted) > wantedFor || !r.Holds(a.Model) {
		return false
	}
	if _, ok := r.VersionOf(a); ok {
		return false
	}
	_, ok := r.Arriving(a)
	return !ok
}

func (d *demand) before(o *demand) bool {
	return d.due().Before(o.due())
}

// due orders the wants.
func (d *demand) due() time.Time {
	return d.first.Add(-time.Duration(d.waiting) * waitingWorth)
}

// victim returns the resident adapter with the least demand that no request is
// believed to use, and false when all are in use.
func (p *Planner) victim(now time.Time, r *Report) (Adapter, bool) {
	var worst Adapter
	least := math.Inf(1)
	for _, h := range r.Adapters {
		score := 0.0
		if d := p.demand[h.Adapter]; d != nil {
			if now.Sub(d.lastUsed) < inUseFor || now.Sub(d.wanted) < wantedFor {
				continue
			}
			score = d.at(now)
		}
		if score < least {
			worst, least = h.Adapter, score
		}
	}
	return worst, !math.IsInf(least, 1)
}

// add counts n requests.
func (d *demand) add(now time.Time, n float64) {
	d.count = d.at(now) + n
	d.counted = now
}

// at returns the decayed number of requests.
func (d *demand) at(now time.Time) float64 {
	return d.count * math.Exp2(-float64(now.Sub(d.counted))/float64(halfLife))
}
