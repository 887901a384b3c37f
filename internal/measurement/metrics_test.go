package measurement

import (
	"sort"
	"time"

	"github.com/borageusher/borageusher/pkg/adapter"
)

// warmUp is the beginning of a run that is not measured.
const warmUp = 300 * time.Second

// sample is one measured call.
type sample struct {
	at     time.Duration // of its arrival
	team   string
	stall  time.Duration // that it waited for its adapter to load
	wait   time.Duration // until it started
	notRun bool
	flood  bool
}

// metrics are the measures of one run.
type metrics struct {
	samples  []sample
	busy     float64 // running requests times seconds, of targets where work waits
	waited   float64 // slots times seconds, of targets where work waits
	busyRun  float64 // the same of targets where work waits that could start
	waitRun  float64
	overTerm int // starts beyond the terms
}

// advance adds the time since the target's last change.
func (m *metrics) advance(now time.Time, t *targetState) {
	dt := now.Sub(t.since).Seconds()
	t.since = now
	if len(t.waiting) == 0 || dt == 0 || now.Sub(epoch) < warmUp {
		return
	}
	m.busy += dt * float64(len(t.running))
	m.waited += dt * slots
	borrowed := t.borrowed()
	for _, a := range t.waiting {
		if t.held[a.id] && (a.id.Team == ownerTeam || borrowed < slots*lentShare) {
			m.busyRun += dt * float64(len(t.running))
			m.waitRun += dt * slots
			return
		}
	}
}

func (m *metrics) started(f *fleet, a *attempt, t *targetState) {
	m.checkTerms(t)
	stall := max(0, t.loadedAt[a.id].Sub(a.arrived))
	m.add(sample{at: a.at, team: a.id.Team, stall: stall, wait: f.now.Sub(a.arrived), flood: a.flood})
}

// borrowed returns the running requests of teams other than the owner.
func (t *targetState) borrowed() int {
	n := 0
	for _, a := range t.running {
		if a.id.Team != ownerTeam {
			n++
		}
	}
	return n
}

// checkTerms counts a start that gives borrowers more than the lent share, of
// slots or of adapters.
func (m *metrics) checkTerms(t *targetState) {
	lent := map[adapter.ID]bool{}
	for _, a := range t.running {
		if a.id.Team != ownerTeam {
			lent[a.id] = true
		}
	}
	if t.borrowed() > slots*lentShare || len(t.running) > slots || len(lent) > places*lentShare {
		m.overTerm++
	}
}

// notRun records a call that no target started; stalled says that its adapter
// was missing.
func (m *metrics) notRun(f *fleet, a *attempt, stalled bool) {
	s := sample{at: a.at, team: a.id.Team, wait: startWithin, notRun: true, flood: a.flood}
	if stalled {
		s.stall = f.now.Sub(a.arrived)
	}
	m.add(s)
}

func (m *metrics) add(s sample) {
	if s.at >= warmUp {
		m.samples = append(m.samples, s)
	}
}

// summary are the figures of one run.
type summary struct {
	p50, p95, p99 time.Duration // stall
	wait95        time.Duration
	stalled       float64 // share of calls
	notRun        float64 // share of calls
	fill          float64
	fillRunnable  float64
	loads         float64 // a second
	service       float64 // least share of a team's calls that ran, against the best team's
	beyond        int
	peak          int
	overTerms     int
}

func (f *fleet) summarise(length time.Duration) summary {
	m := &f.m
	kept := m.between(0, length)
	s := summary{
		p50: percentile(kept, 0.50, stallOf), p95: percentile(kept, 0.95, stallOf), p99: percentile(kept, 0.99, stallOf),
		wait95: percentile(kept, 0.95, waitOf), stalled: share(kept, isStalled), notRun: share(kept, isNotRun),
		fill: ratio(m.busy, m.waited), fillRunnable: ratio(m.busyRun, m.waitRun),
		loads: float64(f.store.orders) / length.Seconds(), service: serviceRatio(kept),
		beyond: f.store.beyond, peak: f.store.peak, overTerms: m.overTerm,
	}
	return s
}

// between returns the calls, those of a flood left out, that arrived between
// two times.
func (m *metrics) between(from, to time.Duration) []sample {
	var out []sample
	for _, s := range m.samples {
		if s.at >= from && s.at < to && !s.flood {
			out = append(out, s)
		}
	}
	return out
}

func stallOf(s sample) time.Duration { return s.stall }
func waitOf(s sample) time.Duration  { return s.wait }
func isStalled(s sample) bool        { return s.stall > 0 }
func isNotRun(s sample) bool         { return s.notRun }

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

func share(samples []sample, is func(sample) bool) float64 {
	n := 0
	for _, s := range samples {
		if is(s) {
			n++
		}
	}
	return ratio(float64(n), float64(len(samples)))
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// serviceRatio returns the least share of a team's calls that ran, divided by
// the greatest.
func serviceRatio(samples []sample) float64 {
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
