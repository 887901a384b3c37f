package measurement

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/loadbudget"
	"github.com/borageusher/borageusher/pkg/placement"
)

// deployment is one user's deployment.
type deployment struct {
	name      string // in tables
	targets   int
	limits    loadbudget.Limits
	short     time.Duration // mean run time of short requests
	long      time.Duration // mean run time of long requests
	longShare float64
	costs     placement.Costs
}

// Sizes that both deployments have.
const (
	adapters     = 3000
	slots        = 8
	places       = 8 // adapters that a target holds
	queueLength  = 256
	loadTime     = 250 * time.Millisecond
	startWithin  = 30 * time.Second
	entries      = 3
	lentShare    = 0.5
	ownerTeam    = "owner"
	hop          = time.Millisecond
	restartAfter = 5 * time.Second // time that a cold engine is away
)

var (
	tessaro = deployment{
		name: "tessaro", targets: 21, limits: loadbudget.Limits{Rate: 7, Burst: 3, InFlight: 24},
		short: 2 * time.Second, long: 10 * time.Second, longShare: 0.2,
		costs: placement.Costs{Stall: 4, Batch: 1, Load: 0.5},
	}
	dobrescu = deployment{
		name: "dobrescu", targets: 12, limits: loadbudget.Limits{Rate: 3, Burst: 1, InFlight: 8},
		short: 3 * time.Second, long: 20 * time.Second, longShare: 0.3,
		costs: placement.Costs{Stall: 1, Batch: 1, Load: 0.5},
	}
)

func (d deployment) meanRun() time.Duration {
	return time.Duration((1-d.longShare)*float64(d.short) + d.longShare*float64(d.long))
}

// missShare returns the share of requests for adapters outside the best static
// residency, which holds the most popular ones in all places of the fleet.
func (d deployment) missShare(zipf float64) float64 {
	p := popularity(zipf)
	held := 0.0
	for _, x := range p[:d.targets*places] {
		held += x
	}
	return 1 - held
}

// capacity returns the requests a second at which the slots are full or the
// best static residency uses up the store's rate, whichever is lower.
func (d deployment) capacity(zipf float64) float64 {
	bySlots := float64(d.targets*slots) / d.meanRun().Seconds()
	return min(bySlots, d.limits.Rate/d.missShare(zipf))
}

// popularity returns the probabilities of the adapters in descending order.
func popularity(zipf float64) []float64 {
	p := make([]float64, adapters)
	sum := 0.0
	for i := range p {
		p[i] = math.Pow(float64(i+1), -zipf)
		sum += p[i]
	}
	for i := range p {
		p[i] /= sum
	}
	return p
}

// teamOf gives seven of ten adapters to the owner and one to each borrower.
func teamOf(n int) string {
	if n%10 < 7 {
		return ownerTeam
	}
	return "guest" + strconv.Itoa(n%10-6)
}

// call is one request of a workload.
type call struct {
	at     time.Duration
	id     adapter.ID
	hash   uint64
	run    time.Duration
	flood  bool
	prefix uint64
}

// scenario is what happens beyond steady requests.
type scenario struct {
	name      string // in tables
	shift     bool   // a third of the popularity moves to other adapters
	restart   bool   // one target in six restarts cold
	halfRate  bool   // the store's rate halves
	flood     bool   // one borrower sends ten times its requests
	cutOff    bool   // no target reaches the granter
	disturbed time.Duration
}

// generate returns the calls of one run in order of time.
func generate(d deployment, sc scenario, zipf, load float64, length time.Duration, seed uint64) []call {
	rng := rand.New(rand.NewPCG(seed, 1))
	cumulative := popularity(zipf)
	for i := 1; i < len(cumulative); i++ {
		cumulative[i] += cumulative[i-1]
	}
	moved := shifted(rng)
	rate := d.capacity(zipf) * load
	var out []call
	for at := 0.0; at < length.Seconds(); at += rng.ExpFloat64() / rate {
		now := time.Duration(at * float64(time.Second))
		n := min(sort.SearchFloat64s(cumulative, rng.Float64()), adapters-1)
		if sc.shift && now >= sc.disturbed {
			n = moved[n]
		}
		out = append(out, newCall(d, rng, now, n))
	}
	if sc.flood {
		out = append(out, floodCalls(d, rng, cumulative, rate, sc.disturbed, length)...)
		sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	}
	return out
}

// shifted exchanges every third of the adapters, by rank, with a random one of
// the less popular half.
func shifted(rng *rand.Rand) []int {
	moved := make([]int, adapters)
	for i := range moved {
		moved[i] = i
	}
	for i := 0; i < adapters/2; i += 3 {
		j := adapters/2 + rng.IntN(adapters/2)
		moved[i], moved[j] = moved[j], moved[i]
	}
	return moved
}

// floodCalls returns nine times the steady requests of one borrower.
func floodCalls(d deployment, rng *rand.Rand, cumulative []float64, rate float64, from, to time.Duration) []call {
	var out []call
	for at := from.Seconds(); at < to.Seconds(); at += rng.ExpFloat64() / (9 * rate) {
		n := min(sort.SearchFloat64s(cumulative, rng.Float64()), adapters-1)
		if teamOf(n) != "guest1" {
			continue
		}
		c := newCall(d, rng, time.Duration(at*float64(time.Second)), n)
		c.flood = true
		out = append(out, c)
	}
	return out
}

func newCall(d deployment, rng *rand.Rand, at time.Duration, n int) call {
	mean := d.short
	if rng.Float64() < d.longShare {
		mean = d.long
	}
	id := adapter.ID{Team: teamOf(n), Ref: adapter.Ref{Name: "a" + strconv.Itoa(n), Version: 1}}
	run := time.Duration((0.5 + 0.5*rng.ExpFloat64()) * float64(mean))
	return call{at: at, id: id, hash: placement.Hash(id.String()), run: run}
}
