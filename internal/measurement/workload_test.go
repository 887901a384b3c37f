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

// deployment describes the deployment of one user.
type deployment struct {
	name      string // as printed in tables
	targets   int
	limits    loadbudget.Limits // of the weight store
	shortRun  time.Duration     // mean run time of short requests
	longRun   time.Duration     // mean run time of long requests
	longShare float64           // share of long requests
	costs     placement.Costs
}

// Parameters of both deployments.
const (
	adapterCount      = 3000
	slots             = 8
	adapterSlots      = 8 // of a target
	queueLength       = 256
	loadTime          = 250 * time.Millisecond
	startWithin       = 30 * time.Second
	entrydCount       = 3
	lentShare         = 0.5
	ownerTeam         = "owner"
	networkDelay      = time.Millisecond
	engineRestartTime = 5 * time.Second // during which the engine accepts no request
)

var (
	tessaro = deployment{
		name: "tessaro", targets: 21, limits: loadbudget.Limits{Rate: 7, Burst: 3, InFlight: 24},
		shortRun: 2 * time.Second, longRun: 10 * time.Second, longShare: 0.2,
		costs: placement.Costs{Stall: 4, Batch: 1, LoadSeconds: 0.5},
	}
	dobrescu = deployment{
		name: "dobrescu", targets: 12, limits: loadbudget.Limits{Rate: 3, Burst: 1, InFlight: 8},
		shortRun: 3 * time.Second, longRun: 20 * time.Second, longShare: 0.3,
		costs: placement.Costs{Stall: 1, Batch: 1, LoadSeconds: 0.5},
	}
)

// meanRun returns the mean run time of a request.
func (d deployment) meanRun() time.Duration {
	return time.Duration((1-d.longShare)*float64(d.shortRun) + d.longShare*float64(d.longRun))
}

// missShare returns the share of requests that miss under the optimal static
// residency: the most popular adapters fill the adapter slots of all targets.
func (d deployment) missShare(zipf float64) float64 {
	p := popularity(zipf)
	residentShare := 0.0
	for _, x := range p[:d.targets*adapterSlots] {
		residentShare += x
	}
	return 1 - residentShare
}

// capacity returns the request rate per second at which either all slots are busy
// or the misses of the optimal static residency reach the weight store's rate,
// whichever is lower.
func (d deployment) capacity(zipf float64) float64 {
	bySlots := float64(d.targets*slots) / d.meanRun().Seconds()
	return min(bySlots, d.limits.Rate/d.missShare(zipf))
}

// popularity returns the Zipf probabilities of the adapters in descending order.
func popularity(zipf float64) []float64 {
	p := make([]float64, adapterCount)
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

// teamOf returns the team of the n-th adapter: of every ten adapters, seven belong
// to the owner and one to each of three borrowing teams.
func teamOf(n int) string {
	if n%10 < 7 {
		return ownerTeam
	}
	return "guest" + strconv.Itoa(n%10-6)
}

// call is one request of a workload.
type call struct {
	at     time.Duration // of the arrival, since the start of the run
	id     adapter.ID
	hash   uint64        // of id
	run    time.Duration // run time
	flood  bool          // extra call of the flooding team
	prefix uint64        // hash of the prompt prefix, 0 for none
}

// scenario selects a disturbance of the steady workload, which begins at
// disturbanceAt.
type scenario struct {
	name                 string // as printed in tables
	shift                bool   // adapter popularity shifts, see shiftPopularity
	restart              bool   // the engine of one target in six restarts with no adapter loaded
	halfRate             bool   // the weight store's rate halves
	flood                bool   // one borrowing team sends ten times its requests
	allocatorUnreachable bool   // for the whole run, no target reaches the load allocator
	disturbanceAt        time.Duration
}

// generate returns the calls of one run in order of arrival, as a Poisson process
// whose rate is load times the capacity.
func generate(d deployment, sc scenario, zipf, load float64, length time.Duration, seed uint64) []call {
	rng := rand.New(rand.NewPCG(seed, 1))
	cumulative := popularity(zipf)
	for i := 1; i < len(cumulative); i++ {
		cumulative[i] += cumulative[i-1]
	}
	moved := shiftPopularity(rng)
	rate := d.capacity(zipf) * load
	var out []call
	for at := 0.0; at < length.Seconds(); at += rng.ExpFloat64() / rate {
		now := time.Duration(at * float64(time.Second))
		n := min(sort.SearchFloat64s(cumulative, rng.Float64()), adapterCount-1)
		if sc.shift && now >= sc.disturbanceAt {
			n = moved[n]
		}
		out = append(out, newCall(d, rng, now, n))
	}
	if sc.flood {
		out = append(out, floodCalls(d, rng, cumulative, rate, sc.disturbanceAt, length)...)
		sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	}
	return out
}

// shiftPopularity returns a permutation of the adapters that exchanges every third
// adapter of the more popular half with a random one of the less popular half.
func shiftPopularity(rng *rand.Rand) []int {
	moved := make([]int, adapterCount)
	for i := range moved {
		moved[i] = i
	}
	for i := 0; i < adapterCount/2; i += 3 {
		j := adapterCount/2 + rng.IntN(adapterCount/2)
		moved[i], moved[j] = moved[j], moved[i]
	}
	return moved
}

// floodCalls returns extra calls of one borrowing team at nine times its steady
// rate.
func floodCalls(d deployment, rng *rand.Rand, cumulative []float64, rate float64, from, to time.Duration) []call {
	var out []call
	for at := from.Seconds(); at < to.Seconds(); at += rng.ExpFloat64() / (9 * rate) {
		n := min(sort.SearchFloat64s(cumulative, rng.Float64()), adapterCount-1)
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
	mean := d.shortRun
	if rng.Float64() < d.longShare {
		mean = d.longRun
	}
	id := adapter.ID{Team: teamOf(n), Ref: adapter.Ref{Name: "a" + strconv.Itoa(n), Version: 1}}
	run := time.Duration((0.5 + 0.5*rng.ExpFloat64()) * float64(mean))
	return call{at: at, id: id, hash: placement.Hash(id.String()), run: run}
}
