package promptcache

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/borageusher/borageusher/pkg/assignment"
)

// replay simulates entryds that send prompts to engines, which read one prompt at a time
// and keep the segments of ended ones as long as they have memory. Each entryd knows the
// loads of the engines as of the last report, and what it sent there itself.
type replay struct {
	entryds, engines int
	capacity         int     // tokens of an engine's memory
	perSecond        float64 // prompts
	documents        int     // shared prompts, in demand by a Zipf distribution
	weigh            bool    // the cached prefixes
}

const (
	replayTime      = 30 * time.Second
	replayTokenTime = 50 * time.Microsecond
	replayIntercept = 50 * time.Millisecond
	replayRunTime   = 2 * time.Second // in which a request keeps its tokens
	replayReports   = 100 * time.Millisecond
	replaySample    = 6 // random engines for each choice
	replaySlots     = 64
)

type replayResult struct {
	mean time.Duration // time to the first event
	late float64       // share of requests with a first event after 500 ms
	hits float64       // share of the shared tokens that engines found cached
}

// engine is a simulated engine. Its cache is the exact one.
type engine struct {
	readUntil time.Time
	running   []run
	lru       []block // least recently used first
}

// run is a request that keeps its tokens until it ends.
type run struct {
	ends   time.Time
	tokens int
	prompt Prompt
}

// block is a segment or the private part of an ended prompt.
type block struct {
	hash   uint64
	tokens int
}

// use moves a block to the end of the list and reports whether it was there.
func (e *engine) use(b block) bool {
	for i, x := range e.lru {
		if x.hash == b.hash {
			e.lru = append(append(e.lru[:i:i], e.lru[i+1:]...), b)
			return true
		}
	}
	e.lru = append(e.lru, b)
	return false
}

// settle ends the requests that have ended and evicts what exceeds the memory.
func (e *engine) settle(now time.Time, capacity int) {
	used := 0
	kept := e.running[:0]
	for _, r := range e.running {
		if r.ends.After(now) {
			kept = append(kept, r)
			used += r.tokens
		}
	}
	e.running = kept
	for _, b := range e.lru {
		used += b.tokens
	}
	for used > capacity && len(e.lru) > 0 {
		used -= e.lru[0].tokens
		e.lru = e.lru[1:]
	}
}

// read starts a prompt and returns the tokens that were cached.
func (e *engine) read(p Prompt, private block) (cached int) {
	begin, all := 0, true
	for i := range p.prefixes {
		x := p.prefixes[i]
		if hit := e.use(block{x.hash, x.end - begin}); hit && all {
			cached = x.end
		} else {
			all = false
		}
		begin = x.end
	}
	for i := len(p.prefixes) - 1; i >= 0; i-- { // the first segment is evicted last
		begin = 0
		if i > 0 {
			begin = p.prefixes[i-1].end
		}
		e.use(block{p.prefixes[i].hash, p.prefixes[i].end - begin})
	}
	e.use(private)
	return cached
}

func (p replay) run(seed uint64) replayResult {
	r := rand.New(rand.NewPCG(seed, 3))
	now := time.Unix(1000, 0)
	engines := make([]engine, p.engines)
	caches := make([][]Cache, p.entryds)
	unread := make([][]time.Duration, p.entryds) // as reported, plus what was sent since
	for i := range caches {
		caches[i], unread[i] = make([]Cache, p.engines), make([]time.Duration, p.engines)
	}
	gains := make([]Gain, p.entryds)
	lastAt := make([]map[int][]int, p.entryds) // engines to which a document was sent last
	for i := range lastAt {
		lastAt[i] = map[int][]int{}
	}
	zipf := rand.NewZipf(r, 1.1, 3, uint64(p.documents-1))
	loads := make([]int, p.engines)
	end, nextReport := now.Add(replayTime), now
	var sum time.Duration
	sent, late, shared, hit := 0, 0, 0, 0
	for ; now.Before(end); now = now.Add(time.Duration(r.ExpFloat64() / p.perSecond * float64(time.Second))) {
		for ; !nextReport.After(now); nextReport = nextReport.Add(replayReports) {
			for i := range engines {
				engines[i].settle(now, p.capacity)
				loads[i] = len(engines[i].running)
				for f := range unread {
					unread[f][i] = max(0, engines[i].readUntil.Sub(now))
				}
			}
		}
		f, document := r.IntN(p.entryds), int(zipf.Uint64())
		prompt := NewPrompt(1, []Segment{{uint64(document%7) + 1, 300}, {uint64(document) + 100, 200 + document*37%1500}})
		tokens := prompt.Shared() + 100 + r.IntN(500)
		held := func(i int) int { return caches[f][i].Held(now, prompt, p.capacity-loads[i]*1600) }
		var picked []int
		for range replaySample {
			picked = append(picked, r.IntN(p.engines))
		}
		for _, i := range lastAt[f][document] {
			if p.weigh && held(i) > 0 {
				picked = append(picked, i)
			}
		}
		candidates, savings := make([]assignment.Candidate, len(picked)), make([]time.Duration, len(picked))
		for k, i := range picked {
			candidates[k] = assignment.Candidate{
				Slots: replaySlots, Requests: loads[i], Usable: true, Resident: true, Backlog: unread[f][i],
				TimeToFirstEvent: 150 * time.Millisecond, SojournTime: replayRunTime,
			}
			if p.weigh {
				savings[k] = time.Duration(held(i)) * replayTokenTime
				candidates[k].CacheSaving = time.Duration(gains[f].Value() * float64(savings[k]))
			}
		}
		choice, _ := assignment.Choose(assignment.Request{Objective: 500 * time.Millisecond}, candidates)
		i := picked[choice.Index]
		e := &engines[i]
		e.settle(now, p.capacity)
		cached := e.read(prompt, block{r.Uint64(), tokens - prompt.Shared()})
		e.readUntil = maxTime(now, e.readUntil).Add(time.Duration(tokens-cached) * replayTokenTime)
		e.running = append(e.running, run{ends: e.readUntil.Add(replayRunTime), tokens: tokens, prompt: prompt})
		unread[f][i] += time.Duration(tokens) * replayTokenTime
		caches[f][i].Record(now, prompt, tokens, 1/float64(p.entryds))
		if l := lastAt[f][document]; len(l) == 0 || l[0] != i {
			lastAt[f][document] = append([]int{i}, l[:min(len(l), 2)]...)
		}
		took := e.readUntil.Sub(now) + replayIntercept
		gains[f].Observe(took, candidates[choice.Index].Backlog+time.Duration(tokens)*replayTokenTime+replayIntercept, savings[choice.Index])
		sum += took
		sent++
		if took > 500*time.Millisecond {
			late++
		}
		shared += prompt.Shared()
		hit += cached
	}
	return replayResult{sum / time.Duration(sent), float64(late) / float64(sent), float64(hit) / float64(shared)}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// average returns the mean result of some seeds.
func (p replay) average() replayResult {
	const seeds = 4
	var sum replayResult
	for seed := range uint64(seeds) {
		r := p.run(seed)
		sum.mean += r.mean / seeds
		sum.late += r.late / seeds
		sum.hits += r.hits / seeds
	}
	return sum
}

// A preference for engines that have a prompt cached must not cost more in waits than the
// cache saves: not at few entryds, at many, which know less of a cache, nor at engines whose
// running requests leave no memory for it.
func TestWeighedPrefixesShortenResponses(t *testing.T) {
	for _, p := range []replay{
		{entryds: 4, engines: 16, capacity: 60000, perSecond: 100, documents: 200},
		{entryds: 4, engines: 16, capacity: 240000, perSecond: 200, documents: 200},
		{entryds: 20, engines: 16, capacity: 60000, perSecond: 260, documents: 200},
		{entryds: 20, engines: 16, capacity: 240000, perSecond: 260, documents: 200},
		{entryds: 20, engines: 16, capacity: 30000, perSecond: 200, documents: 200},
		{entryds: 20, engines: 16, capacity: 240000, perSecond: 380, documents: 200},
	} {
		without := p.average()
		p.weigh = true
		with := p.average()
		t.Logf("%+v: mean %s, %.3f late, hits %.2f; unweighed %s, %.3f, %.2f", p, with.mean, with.late, with.hits, without.mean, without.late, without.hits)
		if float64(with.mean) > 1.03*float64(without.mean) || with.late > without.late+0.005 {
			t.Errorf("%+v: the mean is %s with %.3f late, %s and %.3f without the weights", p, with.mean, with.late, without.mean, without.late)
		}
		if p.capacity == 240000 && with.hits < without.hits+0.015 {
			t.Errorf("%+v: hits of %.2f, %.2f without the weights", p, with.hits, without.hits)
		}
	}
}
