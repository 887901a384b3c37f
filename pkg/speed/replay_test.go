package speed_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/borageusher/borageusher/pkg/assignment"
	"github.com/borageusher/borageusher/pkg/retry"
	"github.com/borageusher/borageusher/pkg/speed"
)

// replay simulates entryds that choose among targets. Each knows a target's load and
// slowness from the responses that it got itself, so that all see the same reports at
// different ages.
type replay struct {
	entryds, targets, slots int
	sample                  int           // of the targets, among which a request's is chosen
	pushed                  bool          // targets tell all entryds their load at intervals
	perSecond               float64       // requests
	work                    time.Duration // of one request at normal speed
	lasting                 func(target int) float64
	weight                  func(*view, time.Time) float64 // by which an entryd weights a target
}

// view is what one entryd knows of one target.
type view struct {
	estimate speed.Estimate
	last     float64 // slowness in the last report, zero for none
	learned  speed.Estimate
	running  int // in the last report
	inFlight int
	atReport int // inFlight at the last report
}

type result struct {
	mean     time.Duration // response time
	peak     float64       // most requests that one target got in one window, in means over all targets
	requests []int         // by target
}

// completion is the end of a request.
type completion struct {
	at             time.Time
	entryd, target int
	began          time.Time
	free           bool // the target had a free slot
}

type completions []completion

func (q completions) Len() int           { return len(q) }
func (q completions) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q completions) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *completions) Push(x any)        { *q = append(*q, x.(completion)) }
func (q *completions) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

const (
	replayTime     = 40 * time.Second
	window         = 250 * time.Millisecond
	changeInterval = 100 * time.Millisecond // after which a target's slowness changes, and its load is pushed
)

func (p replay) run(seed uint64) result {
	r := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	views, means := make([][]view, p.entryds), make([]retry.Mean, p.entryds)
	for e := range views {
		views[e] = make([]view, p.targets)
		for t := range views[e] {
			views[e][t] = view{estimate: speed.New(speed.Reported), learned: speed.New(speed.Learned)}
		}
	}
	running := make([]int, p.targets)
	freeAt := make([][]time.Time, p.targets) // of each slot
	slow := make([]float64, p.targets)
	for t := range freeAt {
		freeAt[t] = make([]time.Time, p.slots)
	}
	res := result{requests: make([]int, p.targets)}
	inWindow := make([]int, p.targets)
	var ends completions
	var sum time.Duration
	candidates, shuffled := make([]assignment.Candidate, p.sample), r.Perm(p.targets)
	nextChange, nextWindow, done, sent := start, start.Add(window), 0, 0
	for now := start; now.Before(start.Add(replayTime)); now = now.Add(time.Duration(r.ExpFloat64() / p.perSecond * float64(time.Second))) {
		for ; !nextChange.After(now); nextChange = nextChange.Add(changeInterval) {
			for t := range slow {
				slow[t] = p.lasting(t) * math.Exp(0.6*r.NormFloat64())
				for e := range views {
					if v := &views[e][t]; p.pushed {
						v.running, v.atReport = running[t], v.inFlight
					}
				}
			}
		}
		for ; !nextWindow.After(now); nextWindow = nextWindow.Add(window) {
			for t, n := range inWindow {
				res.peak = max(res.peak, float64(n)/(p.perSecond*window.Seconds()/float64(p.targets)))
				inWindow[t] = 0
			}
		}
		for len(ends) > 0 && !ends[0].at.After(now) {
			c := heap.Pop(&ends).(completion)
			running[c.target]--
			v := &views[c.entryd][c.target]
			v.inFlight--
			v.running, v.atReport, v.last = running[c.target], v.inFlight, slow[c.target]
			v.estimate.Observe(c.at, v.last)
			if took := c.at.Sub(c.began); c.free {
				v.learned.ObserveTimes(c.at, took, means[c.entryd].Value())
				means[c.entryd].Observe(took)
			}
			sum += c.at.Sub(c.began)
			done++
		}
		e := r.IntN(p.entryds)
		r.Shuffle(p.targets, func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		for i := range candidates {
			t := shuffled[i]
			v := &views[e][t]
			factor := p.weight(v, now)
			candidates[i] = assignment.Candidate{
				Hash: uint64(t), Slots: p.slots, Usable: true, Resident: true,
				Requests:         max(v.inFlight, v.running+v.inFlight-v.atReport),
				TimeToFirstEvent: time.Duration(factor * float64(p.work)),
				SojournTime:      time.Duration(factor * float64(p.work)),
				ExtraTime:        time.Duration((factor - 1) * float64(p.work)),
			}
		}
		choice, _ := assignment.Choose(assignment.Request{Objective: time.Second}, candidates)
		t := shuffled[choice.Index]
		slot := 0
		for s := range freeAt[t] {
			if freeAt[t][s].Before(freeAt[t][slot]) {
				slot = s
			}
		}
		began := now
		if freeAt[t][slot].After(now) {
			began = freeAt[t][slot]
		}
		took := time.Duration((0.5 + r.Float64()) * slow[t] * float64(p.work))
		freeAt[t][slot] = began.Add(took)
		heap.Push(&ends, completion{at: began.Add(took), entryd: e, target: t, began: now, free: candidates[choice.Index].Requests < p.slots})
		running[t]++
		views[e][t].inFlight++
		inWindow[t]++
		if now.After(start.Add(replayTime / 4)) {
			res.requests[t]++
		}
		sent++
	}
	res.mean = sum / time.Duration(done)
	return res
}

func unweighted(*view, time.Time) float64     { return 1 }
func smoothed(v *view, now time.Time) float64 { return v.estimate.Factor(now) }
func lastReport(v *view, _ time.Time) float64 { return max(0.125, v.last) }
func learned(v *view, now time.Time) float64  { return v.learned.Factor(now) }
func noneLasts(int) float64                   { return 1 }
func everyFourthIsSlow(target int) float64 {
	if target%4 == 0 {
		return 2
	}
	return 1
}

// Entryds that follow each report would all send to the target that has just reported
// well, and by the time that their requests arrive its speed has changed.
func TestReportsCauseNoOvershoot(t *testing.T) {
	p := replay{entryds: 20, targets: 40, slots: 6, sample: 40, perSecond: 600, work: 200 * time.Millisecond, lasting: noneLasts}
	for seed := range uint64(3) {
		p.weight = unweighted
		even := p.run(seed)
		p.weight = lastReport
		latestOnly := p.run(seed)
		p.weight = smoothed
		got := p.run(seed)
		t.Logf("seed %d: peak %.1f, mean %s; without the reports %.1f, %s; with the last one only %.1f, %s",
			seed, got.peak, got.mean, even.peak, even.mean, latestOnly.peak, latestOnly.mean)
		if got.peak > 1.75*even.peak || got.peak >= latestOnly.peak {
			t.Errorf("seed %d: targets are loaded too unevenly", seed)
		}
		if float64(got.mean) > 0.97*float64(even.mean) {
			t.Errorf("seed %d: the reports do not shorten the responses", seed)
		}
	}
}

// A slow target must get the share that it can serve: an equal share would queue there,
// and none would waste it. The targets that are slower by a factor of 2 can serve half as
// much as others, and less without a wait.
func TestSlowTargetsGetTheirShare(t *testing.T) {
	for name, weight := range map[string]func(*view, time.Time) float64{"reported": smoothed, "learned": learned} {
		for _, perSecond := range []float64{300, 600, 800} {
			p := replay{entryds: 20, targets: 40, slots: 6, sample: 8, pushed: true, perSecond: perSecond, work: 200 * time.Millisecond, lasting: everyFourthIsSlow}
			p.weight = unweighted
			even := p.run(1)
			p.weight = weight
			got := p.run(1)
			slow, fast := 0, 0
			for i, n := range got.requests {
				if i%4 == 0 {
					slow += n
				} else {
					fast += n
				}
			}
			share := 3 * float64(slow) / float64(fast)
			t.Logf("%s, %v a second: mean %s, with equal weights %s; a slow target gets %.2f of a fast one's", name, perSecond, got.mean, even.mean, share)
			if share < 0.1 || share > 0.7 {
				t.Errorf("%s, %v a second: a slow target gets %.2f of a fast one's requests", name, perSecond, share)
			}
			if float64(got.mean) > 0.98*float64(even.mean) {
				t.Errorf("%s, %v a second: the weights do not shorten the responses", name, perSecond)
			}
		}
	}
}

// A target whose speed changes must get its share again within some time constants, also
// if it got almost no requests before.
func TestRecoveredTargetsReturn(t *testing.T) {
	e, now := speed.New(speed.Learned), time.Unix(1000, 0)
	for range 100 {
		e.Observe(now, 8)
	}
	if f := e.Factor(now); f < 7 {
		t.Fatalf("factor of a slow target: %.2f", f)
	}
	if f := e.Factor(now.Add(4 * speed.Learned.TimeConstant)); f > 3.5 {
		t.Errorf("factor after four time constants without requests: %.2f", f)
	}
	for range 30 {
		now = now.Add(time.Second)
		e.Observe(now, 1)
	}
	if f := e.Factor(now); f > 5 {
		t.Errorf("factor after 30 s at normal speed: %.2f", f)
	}
}
