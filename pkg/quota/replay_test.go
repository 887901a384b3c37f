package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// pageBounds and the two limits are the examples of docs/design/workspaces-under-load.md.
var (
	pageBounds = Bounds{Window: 8 * time.Second, Over: 0.1, Slack: 110_000}
	largeLimit = Limit{PerSecond: 412_485, Burst: 412_485, Version: 1}
	smallLimit = Limit{PerSecond: 29_000, Burst: 29_000, Version: 1}
)

// step is the resolution of a replay.
const step = 2 * time.Millisecond

// maxCreditWait is how long requests wait for credit.
const maxCreditWait = 150 * time.Millisecond

// replay is a fleet of accounts and issuers that exchange messages with latency.
type replay struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	limit   Limit // in force
	old     time.Time
	nextID  uint64
	cost    func(*rand.Rand) float64
	nodes   []*node
	issuers []*replayIssuer
	mail    []letter

	partitioned bool      // processes are connected only to their own issuer
	refund      float64   // share of the admitted requests that never run
	offered     []float64 // costs of all requests
	spent       []spending
	messages    int
}

// spending is a request that was admitted and ran.
type spending struct {
	at      time.Time
	units   float64
	urgency int
	waited  bool
}

type letter struct {
	at      time.Time
	deliver func(now time.Time)
}

// node is a process with an account.
type node struct {
	name    string
	account *Account
	latency time.Duration
	demand  float64 // units a second that its callers ask for
	issuer  int     // index, -1 for none
	first   bool
	since   time.Time // when that became its issuer
	paused  bool
	waiters map[uint64]Waiter
	offered float64
	got     float64
	byClass map[int]float64 // units offered by urgency
	urgency func(*rand.Rand) int
}

type replayIssuer struct {
	*Issuer
	down  bool
	known int
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newReplay returns a fleet of n accounts with one issuer that has run for long.
func newReplay(t *testing.T, l Limit, n int, cost func(*rand.Rand) float64) *replay {
	r := &replay{t: t, rng: rand.New(rand.NewPCG(7, 7)), now: epoch, limit: l, cost: cost}
	for i := range n {
		latency := time.Millisecond
		if i%2 == 1 {
			latency = 30 * time.Millisecond // in the other region
		}
		r.nodes = append(r.nodes, &node{
			name: fmt.Sprintf("e%d", i), latency: latency, first: true, since: epoch.Add(-time.Hour),
			waiters: map[uint64]Waiter{}, byClass: map[int]float64{}, urgency: func(*rand.Rand) int { return 0 },
		})
		a := NewAccount(epoch, pageBounds)
		a.SetLimit(l, n)
		a.SetIssuer(epoch, true, false)
		r.nodes[i].account = a
	}
	r.addIssuer(epoch.Add(-time.Minute))
	return r
}

func (r *replay) addIssuer(since time.Time) int {
	r.issuers = append(r.issuers, &replayIssuer{Issuer: NewIssuer(since, pageBounds, r.limit), known: len(r.nodes)})
	return len(r.issuers) - 1
}

// setDemand divides a demand between the nodes by weights.
func (r *replay) setDemand(total float64, weights ...float64) {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	for i, n := range r.nodes {
		n.demand = 0
		if i < len(weights) {
			n.demand = total * weights[i] / sum
		}
	}
}

// uneven returns weights that differ by more than ten times.
func uneven(n int) []float64 {
	var out []float64
	for i := range n {
		out = append(out, 1/float64(1+i))
	}
	return out
}

// moveTo changes a node's issuer, -1 for none.
func (r *replay) moveTo(n *node, issuer int) {
	n.issuer, n.since = issuer, r.now
	n.account.SetIssuer(r.now, issuer >= 0, true)
}

// connected returns the number of nodes that are connected to an issuer: in a partition, those
// that use it.
func (r *replay) connected(issuer int) int {
	if !r.partitioned {
		return len(r.nodes)
	}
	count := 0
	for _, n := range r.nodes {
		if n.issuer == issuer {
			count++
		}
	}
	return count
}

// run replays d.
func (r *replay) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(step) {
		rest := r.mail[:0:0]
		due := r.mail
		r.mail = nil
		for _, m := range due {
			if m.at.After(r.now) {
				rest = append(rest, m)
				continue
			}
			m.deliver(r.now)
		}
		r.mail = append(rest, r.mail...)
		for _, n := range r.nodes {
			if !n.paused {
				r.arrive(n)
				r.poll(n)
			}
		}
	}
}

// arrive adds the requests of callers within a step.
func (r *replay) arrive(n *node) {
	budget := n.demand * step.Seconds()
	for budget > 0 {
		c := r.cost(r.rng)
		if r.rng.Float64()*c > budget { // on average one request for c units of demand
			break
		}
		budget -= c
		r.nextID++
		u := n.urgency(r.rng)
		w := Waiter{ID: r.nextID, Urgency: u, Cost: c, Until: r.now.Add(maxCreditWait)}
		n.waiters[w.ID] = w
		r.offered = append(r.offered, c)
		n.offered += c
		n.byClass[u] += c
		n.account.Add(r.now, w)
	}
}

// poll has a node decide and send its request.
func (r *replay) poll(n *node) {
	for _, d := range n.account.Decide(r.now) {
		w := n.waiters[d.ID]
		delete(n.waiters, d.ID)
		switch {
		case !d.Admitted:
		case r.rng.Float64() < r.refund:
			c := &Charge{Cost: w.Cost, At: r.now}
			r.mail = append(r.mail, letter{r.now.Add(500 * time.Millisecond), func(now time.Time) { n.account.Refund(now, c) }})
		default:
			r.spent = append(r.spent, spending{r.now, w.Cost, w.Urgency, r.now.Add(maxCreditWait).After(w.Until)})
			n.got += w.Cost
		}
	}
	q, ok := n.account.Request(r.now)
	if !ok || n.issuer < 0 {
		return
	}
	r.messages++
	is, index, since := r.issuers[n.issuer], n.issuer, n.since
	sentAt := r.now
	r.mail = append(r.mail, letter{r.now.Add(n.latency), func(now time.Time) {
		if is.down {
			return
		}
		s := Sender{Name: n.name, First: n.first, Age: sentAt.Sub(since)}
		a, _ := is.Request(now, s, n.account.Limit(), q, Membership{Connected: r.connected(index), Known: is.known})
		r.mail = append(r.mail, letter{now.Add(n.latency), func(now time.Time) {
			if !n.paused && n.issuer == index {
				n.account.Apply(now, a)
			}
		}})
	}})
}

// between returns the units that were spent in [from, to) since the beginning.
func (r *replay) between(from, to time.Duration) float64 {
	sum := 0.0
	for _, s := range r.spent {
		if at := s.at.Sub(epoch); at >= from && at < to {
			sum += s.units
		}
	}
	return sum
}

// classSpent returns the units of an urgency that were spent.
func (r *replay) classSpent(urgency int) float64 {
	sum := 0.0
	for _, s := range r.spent {
		if s.urgency == urgency {
			sum += s.units
		}
	}
	return sum
}

// checkWindows fails the test if a sliding window exceeds what the page allows.
func (r *replay) checkWindows() {
	r.t.Helper()
	allowed := pageBounds.Allowed(r.limit)
	sum, first, worst := 0.0, 0, 0.0
	for _, s := range r.spent {
		if s.at.Before(r.old) {
			first++
			continue
		}
		sum += s.units
		for ; s.at.Sub(r.spent[first].at) >= pageBounds.Window; first++ {
			sum -= r.spent[first].units
		}
		worst = max(worst, sum)
	}
	r.t.Logf("highest window %.0f of %.0f allowed, %.0f messages a second", worst, allowed, float64(r.messages)/r.now.Sub(epoch).Seconds())
	if worst > allowed {
		r.t.Errorf("a window of %s has %.0f units, allowed are %.0f", pageBounds.Window, worst, allowed)
	}
}

// checkShare fails the test if less than a share of the quota was spent in [from, to).
func (r *replay) checkShare(from, to time.Duration, least float64) {
	r.t.Helper()
	got := r.between(from, to) / r.limit.over(to-from)
	r.t.Logf("%.3f of the quota was spent from %s to %s", got, from, to)
	if got < least {
		r.t.Errorf("%.3f of the quota was spent from %s to %s, want %.3f", got, from, to, least)
	}
}

// mixedCost returns the cost of a request of the page's sizes; most are short.
func mixedCost(rng *rand.Rand) float64 {
	if rng.Float64() < 0.1 {
		return float64(9000 + rng.IntN(300))
	}
	return float64(700 + rng.IntN(500))
}

// Replays callers that send five times their quota to all processes, with uneven shares.
func TestOverQuota(t *testing.T) {
	for name, l := range map[string]Limit{"large": largeLimit, "small": smallLimit} {
		t.Run(name, func(t *testing.T) {
			r := newReplay(t, l, 21, mixedCost)
			r.setDemand(5*l.PerSecond, uneven(21)...)
			r.run(24 * time.Second)
			r.checkWindows()
			r.checkShare(4*time.Second, 24*time.Second, 0.95)
		})
	}
}

// checkWaits fails the test if more than a share of the admitted requests waited for an
// answer.
func (r *replay) checkWaits(most float64) {
	r.t.Helper()
	waited := 0
	for _, s := range r.spent {
		if s.waited {
			waited++
		}
	}
	share := float64(waited) / float64(len(r.spent))
	r.t.Logf("%.4f of the admitted requests waited for credit", share)
	if share > most {
		r.t.Errorf("%.4f of the admitted requests waited for credit, allowed are %.4f", share, most)
	}
}

// An account whose demand is within the quota must get all of it: rejections below the
// quota are lost service.
func TestWithinQuota(t *testing.T) {
	for name, l := range map[string]Limit{"large": largeLimit, "small": smallLimit} {
		t.Run(name, func(t *testing.T) {
			r := newReplay(t, l, 21, mixedCost)
			r.setDemand(0.9*l.PerSecond, uneven(21)...)
			r.run(24 * time.Second)
			r.checkWindows()
			offered, got := 0.0, 0.0
			for _, n := range r.nodes {
				offered, got = offered+n.offered, got+n.got
			}
			t.Logf("%.4f of the demand was admitted", got/offered)
			if got < 0.95*offered {
				t.Errorf("%.3f of a demand within the quota was admitted", got/offered)
			}
			r.checkWaits(0.1) // "do not wait for a round trip"
		})
	}
}

// The callers move between processes each second, as behind a load balancer that follows
// other load. Credit that stays where they were would be lost to the others.
func TestMovingDemand(t *testing.T) {
	for name, l := range map[string]Limit{"large": largeLimit, "small": smallLimit} {
		t.Run(name, func(t *testing.T) {
			r := newReplay(t, l, 21, mixedCost)
			for range 24 {
				weights := uneven(21)
				r.rng.Shuffle(len(weights), func(i, j int) { weights[i], weights[j] = weights[j], weights[i] })
				r.setDemand(2*l.PerSecond, weights...)
				r.run(time.Second)
			}
			r.checkWindows()
			r.checkShare(4*time.Second, 24*time.Second, 0.95)
		})
	}
}

// Equal parts of the quota would leave most of it unused if callers reach two processes.
func TestTwoAccounts(t *testing.T) {
	for name, l := range map[string]Limit{"large": largeLimit, "small": smallLimit} {
		t.Run(name, func(t *testing.T) {
			r := newReplay(t, l, 21, mixedCost)
			r.setDemand(5*l.PerSecond, 3, 1)
			r.run(24 * time.Second)
			r.checkWindows()
			r.checkShare(4*time.Second, 24*time.Second, 0.95)
		})
	}
}
