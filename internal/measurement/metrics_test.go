package measurement

import (
	"sort"
	"time"

	"github.com/borageusher/borageusher/pkg/adapter"
)

// warmUp is the initial part of a run that the metrics exclude.
const warmUp = 300 * time.Second

// sample is the measurement of one call.
type sample struct {
	arrivedAt time.Duration // since the start of the run
	team      string
	stall     time.Duration // time spent waiting for the adapter to load
	wait      time.Duration // time from arrival to start, startWithin if not run
	notRun    bool
	flood     bool // extra call of the flooding team
}

// metrics accumulates the measurements of one run. Slot seconds are counted only
// while requests wait at a target.
type metrics struct {
	samples                 []sample
	busySlotSeconds         float64 // integral of the running requests
	slotSeconds             float64 // integral of the slots
	runnableBusySlotSeconds float64 // as busySlotSeconds, while a waiting request could start but for a free slot
	runnableSlotSeconds     float64 // as slotSeconds, under the same condition
	quotaViolations         int     // starts that exceeded the quotas
}

// accumulateOccupancy adds the slot seconds of a target since the previous
// accumulation.
func (m *metrics) accumulateOccupancy(now time.Time, t *targetState) {
	dt := now.Sub(t.accountedUntil).Seconds()
	t.accountedUntil = now
	if len(t.waiting) == 0 || dt == 0 || now.Sub(epoch) < warmUp {
		return
	}
	m.busySlotSeconds += dt * float64(len(t.running))
	m.slotSeconds += dt * slots
	borrowed := t.borrowed()
	for _, a := range t.waiting {
		if t.resident[a.id] && (a.id.Team == ownerTeam || borrowed < slots*lentShare) {
			m.runnableBusySlotSeconds += dt * float64(len(t.running))
			m.runnableSlotSeconds += dt * slots
			return
		}
	}
}

// recordStart records the start of a call at a target.
func (m *metrics) recordStart(f *fleet, a *attempt, t *targetState) {
	m.checkQuotas(t)
	stall := max(0, t.loadedAt[a.id].Sub(a.arrived))
	m.add(sample{arrivedAt: a.at, team: a.id.Team, stall: stall, wait: f.now.Sub(a.arrived), flood: a.flood})
}

// borrowed returns the number of running requests of teams other than the owner.
func (t *targetState) borrowed() int {
	n := 0
	for _, a := range t.running {
		if a.id.Team != ownerTeam {
			n++
		}
	}
	return n
}

// checkQuotas counts a start after which the other teams use more than the lent
// share of the slots or of the adapter slots, or all teams more than the slots.
func (m *metrics) checkQuotas(t *targetState) {
	lent := map[adapter.ID]bool{}
	for _, a := range t.running {
		if a.id.Team != ownerTeam {
			lent[a.id] = true
		}
	}
	if t.borrowed() > slots*lentShare || len(t.running) > slots || len(lent) > adapterSlots*lentShare {
		m.quotaViolations++
	}
}

// recordNotRun records a call that no target started; stalled means that its
// adapter was not resident.
func (m *metrics) recordNotRun(f *fleet, a *attempt, stalled bool) {
	s := sample{arrivedAt: a.at, team: a.id.Team, wait: startWithin, notRun: true, flood: a.flood}
	if stalled {
		s.stall = f.now.Sub(a.arrived)
	}
	m.add(s)
}

func (m *metrics) add(s sample) {
	if s.arrivedAt >= warmUp {
		m.samples = append(m.samples, s)
	}
}

// summary holds the metrics of one run.
type summary struct {
	p50, p95, p99     time.Duration // percentiles of the stall
	waitP95           time.Duration // percentile of the time from arrival to start
	stalled           float64       // share of calls that waited for an adapter load
	notRun            float64       // share of calls that no target started
	batchFill         float64       // share of busy slots at targets where requests wait
	batchFillRunnable float64       // share of busy slots at targets where a request waits only for a slot
	loadsPerSecond    float64
	leastServiceRatio float64 // lowest share of started calls of any team, divided by the highest
	rateViolations    int     // loads beyond the weight store's rate and burst
	peakLoadsInFlight int
	quotaViolations   int // starts that exceeded the quotas
}

// summarise returns the metrics of the calls that arrived between the warm-up and
// length.
func (f *fleet) summarise(length time.Duration) summary {
	m := &f.metrics
	kept := m.arrivedBetween(0, length)
	s := summary{
		p50: percentile(kept, 0.50, stallOf), p95: percentile(kept, 0.95, stallOf), p99: percentile(kept, 0.99, stallOf),
		waitP95: percentile(kept, 0.95, waitOf), stalled: share(kept, isStalled), notRun: share(kept, isNotRun),
		batchFill: ratio(m.busySlotSeconds, m.slotSeconds), batchFillRunnable: ratio(m.runnableBusySlotSeconds, m.runnableSlotSeconds),
		loadsPerSecond: float64(f.store.loads) / length.Seconds(), leastServiceRatio: leastServiceRatio(kept),
		rateViolations: f.store.rateViolations, peakLoadsInFlight: f.store.peakInFlight, quotaViolations: m.quotaViolations,
	}
	return s
}

// arrivedBetween returns the calls that arrived in [from, to), without the extra
// calls of the flooding team.
func (m *metrics) arrivedBetween(from, to time.Duration) []sample {
	var out []sample
	for _, s := range m.samples {
		if s.arrivedAt >= from && s.arrivedAt < to && !s.flood {
			out = append(out, s)
		}
	}
	return out
}

func stallOf(s sample) time.Duration { return s.stall }
func waitOf(s sample) time.Duration  { return s.wait }
func isStalled(s sample) bool        { return s.stall > 0 }
func isNotRun(s sample) bool         { return s.notRun }

// percentile returns the q-quantile of a value of the samples, and 0 without
// samples.
func percentile(samples []sample, q float64, of func(sample) time.Duration) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	values := make([]time.Duration, len(samples))
	for i, s := range samples {
		values[i] = of(s)
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[int(q*float64(len(values)-1))]
}

// share returns the share of samples that satisfy a predicate.
func share(samples []sample, is func(sample) bool) float64 {
	n := 0
	for _, s := range samples {
		if is(s) {
			n++
		}
	}
	return ratio(float64(n), float64(len(samples)))
}

// ratio returns a/b, and 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// leastServiceRatio returns the lowest share of started calls of any team, divided
// by the highest.
func leastServiceRatio(samples []sample) float64 {
	ran, all := map[string]float64{}, map[string]float64{}
	for _, s := range samples {
		all[s.team]++
		if !s.notRun {
			ran[s.team]++
		}
	}
	least, most := 1.0, 0.0
	for team, n := range all {
		least = min(least, ran[team]/n)
		most = max(most, ran[team]/n)
	}
	return ratio(least, most)
}
