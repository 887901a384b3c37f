package gateway

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
)

// loadReplay simulates entryds that send requests to the same engines. An engine reports
// its load to all of them at intervals, and each entryd knows its own requests.
type loadReplay struct {
	engines, entryds, adapters int     // without adapters, requests are for the model
	utilization                float64 // of the engines' slots
	maxFullChoice              int
}

const (
	replayWork     = 200 * time.Millisecond // mean of a request
	replayDuration = 6 * time.Second
	replayReports  = 100 * time.Millisecond
	replaySlots    = 4
	replayMargin   = 16 * time.Millisecond
)

// replayEnd is the end of a request.
type replayEnd struct {
	at     time.Time
	began  time.Time // when it was sent
	engine int
	entryd *Fleet
}

type replayEnds []replayEnd

func (q replayEnds) Len() int           { return len(q) }
func (q replayEnds) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q replayEnds) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *replayEnds) Push(x any)        { *q = append(*q, x.(replayEnd)) }
func (q *replayEnds) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// run returns the mean wait for a slot.
func (p loadReplay) run(t *testing.T, seed uint64) time.Duration {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 9))
	now := time.Now()
	fleets := make([]*Fleet, p.entryds)
	for i := range fleets {
		fleets[i] = spreadFleet(now, "abc"[i%3:i%3+1], p.engines, uint64(i))
		fleets[i].maxFullChoice = p.maxFullChoice
		for _, engine := range fleets[i].targets {
			engine.conn = nil // the adapters stay where they are
		}
	}
	p.place(now, r, fleets)
	popularity := rand.NewZipf(r, 1.1, 5, uint64(max(1, p.adapters)-1))
	ids := make([]string, p.engines)
	freeAt := make([][replaySlots]time.Time, p.engines)
	running := make([]int, p.engines)
	numbers := map[string]int{}
	for i := range ids {
		ids[i] = fmt.Sprintf("i-%d", i)
		numbers[ids[i]] = i
	}
	perSecond := p.utilization * float64(p.engines*replaySlots) / replayWork.Seconds()
	var ends replayEnds
	var waited time.Duration
	sent, end, nextReport := 0, now.Add(replayDuration), now
	for ; now.Before(end); now = now.Add(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))) {
		for len(ends) > 0 && !ends[0].at.After(now) {
			e := heap.Pop(&ends).(replayEnd)
			running[e.engine]--
			engine := e.entryd.targets[ids[e.engine]]
			engine.inFlight--
			e.entryd.observeLatency(e.at, engine, e.at.Sub(e.began)/2, e.at.Sub(e.began))
		}
		for ; !nextReport.After(now); nextReport = nextReport.Add(replayReports) {
			for _, f := range fleets {
				for i, id := range ids {
					f.recordMessage(now, f.targets[id])
					f.applyEngineLoad(now, f.targets[id], peer.EngineLoad{Running: running[i]})
				}
			}
		}
		f := fleets[r.IntN(len(fleets))]
		c := callFor("")
		if p.adapters > 0 {
			c = callFor(fmt.Sprintf("a%d", popularity.Uint64()))
		}
		sel, ok := f.choose(now, c)
		if !ok {
			t.Fatalf("no target for %v", c.adapter)
		}
		i, slot := numbers[sel.replica.ID], 0
		for s := range freeAt[i] {
			if freeAt[i][s].Before(freeAt[i][slot]) {
				slot = s
			}
		}
		begins := now
		if freeAt[i][slot].After(now) {
			begins = freeAt[i][slot]
		}
		waited += begins.Sub(now)
		sent++
		freeAt[i][slot] = begins.Add(time.Duration(r.ExpFloat64() * float64(replayWork)))
		heap.Push(&ends, replayEnd{at: freeAt[i][slot], began: now, engine: i, entryd: f})
		running[i]++
		sel.target.inFlight++
	}
	return waited / time.Duration(sent)
}

// place puts each adapter on some engines, those in more demand on more.
func (p loadReplay) place(now time.Time, r *rand.Rand, fleets []*Fleet) {
	if p.adapters == 0 {
		return
	}
	held := make([][]string, p.engines)
	for a := range p.adapters {
		for range max(2, p.engines/(2+a)) {
			i := r.IntN(p.engines)
			held[i] = append(held[i], fmt.Sprintf("a%d", a))
		}
	}
	for i, names := range held {
		for _, f := range fleets {
			f.applyEngineState(now, f.targets[fmt.Sprintf("i-%d", i)], adapterState(names...))
		}
	}
}

// A choice among a sample must not make requests wait longer than one among all targets:
// by more than a tenth and 16 ms, which is 0.08 of a request. That much is needed with few
// entryds and almost no free slot. With many entryds a sample makes the waits shorter, as
// they do not all move to the targets that have just reported well.
func TestSampledChoiceUnderLoad(t *testing.T) {
	for _, p := range []loadReplay{
		{engines: 120, entryds: 6, utilization: 0.5},
		{engines: 120, entryds: 6, utilization: 0.8},
		{engines: 120, entryds: 6, utilization: 0.92},
		{engines: 48, entryds: 21, utilization: 0.8},
		{engines: 120, entryds: 21, utilization: 0.8},
		{engines: 120, entryds: 6, adapters: 300, utilization: 0.4},
		{engines: 120, entryds: 6, adapters: 300, utilization: 0.6},
		{engines: 120, entryds: 21, adapters: 300, utilization: 0.6},
	} {
		p.maxFullChoice = 1000
		full := p.run(t, 1)
		p.maxFullChoice = maxFullChoice
		sampled := p.run(t, 1)
		t.Logf("%+v: mean wait %s with a sample, %s with all targets", p, sampled, full)
		if sampled > full+full/10+replayMargin {
			t.Errorf("%+v: mean wait %s with a sample, %s with all targets", p, sampled, full)
		}
	}
}
