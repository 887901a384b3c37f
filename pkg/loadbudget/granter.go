package loadbudget

import (
	"sort"
	"time"

	"github.com/borageusher/borageusher/pkg/dispatch"
)

// waitingWorth is how much earlier a need counts as due for each request that
// waits for it.
const waitingWorth = 500 * time.Millisecond

// ask is one target's need.
type ask struct {
	target string
	need   dispatch.Need
}

// Granter hands rights that targets gave away to the targets that need them. It
// owns none itself. It is not safe for concurrent use.
type Granter struct {
	limits Limits
	rights float64
	credit float64   // of the token bucket that paces the grants
	paced  time.Time // when credit was last brought up to date
	asks   []ask
	quotas map[string]*quota // of borrowing teams
}

// quota is what a borrowing team may take before others' needs are covered: a
// token bucket with its part of the weight store's rate.
type quota struct {
	part   float64
	tokens float64
	filled time.Time
	used   time.Time
}

// Bounds of a quota.
const (
	quotaBurst = 2.0
	quotaKept  = time.Minute // after its last use
)

// keptBursts is how many bursts of rights a granter keeps.
const keptBursts = 2

// NewGranter returns a granter without rights. It panics unless rate and burst
// are positive.
func NewGranter(limits Limits) *Granter {
	if limits.Rate <= 0 || limits.Burst <= 0 {
		panic("loadbudget: rate and burst must be positive")
	}
	return &Granter{
		limits: limits,
		credit: float64(limits.Burst),
		quotas: map[string]*quota{},
	}
}

// Donate adds rights that a target gave away. Beyond what the granter keeps they
// are lost.
func (g *Granter) Donate(rights float64) {
	g.rights = min(keptBursts*float64(g.limits.Burst), g.rights+rights)
}

// Ask records what a target needs, one need for each team, in place of all that
// it asked for before.
func (g *Granter) Ask(target string, needs []dispatch.Need) {
	kept := g.asks[:0]
	for _, a := range g.asks {
		if a.target != target {
			kept = append(kept, a)
		}
	}
	g.asks = kept
	for _, n := range needs {
		g.asks = append(g.asks, ask{target, n})
	}
}

// Grant is one right for a team's need at a target.
type Grant struct {
	Target string
	Team   string
}

// Grants returns the rights to hand out, the most urgent first:
// requests that wait go before loading ahead, then those of the targets' owners
// before borrowers', then the earliest start-by time counts, moved by the number
// of waiting requests. A borrowing team beyond its
// quota leaves one right for others. The grants keep to rate and burst, however
// the rights came.
func (g *Granter) Grants(now time.Time) []Grant {
	sort.SliceStable(g.asks, func(i, j int) bool { return g.asks[i].before(g.asks[j]) })
	g.fill(now)
	var out []Grant
	kept := g.asks[:0]
	for _, a := range g.asks {
		switch {
		case servedBy(out, a.target):
			// The target asks again when it can use another right.
		case g.left() >= 1 && g.grant(now, a.need):
			out = append(out, Grant{a.target, a.need.Team})
		default:
			kept = append(kept, a)
		}
	}
	g.asks = kept
	return out
}

// servedBy reports whether one of the grants goes to target.
func servedBy(grants []Grant, target string) bool {
	for _, g := range grants {
		if g.Target == target {
			return true
		}
	}
	return false
}

// grant takes one right for need and reports whether it may have it.
func (g *Granter) grant(now time.Time, need dispatch.Need) bool {
	if need.Waiting == 0 && !g.idle() {
		return false
	}
	if need.Part > 0 {
		q := g.quotas[need.Team]
		if q == nil {
			q = &quota{tokens: quotaBurst, filled: now}
			g.quotas[need.Team] = q
		}
		q.part, q.used = need.Part, now
		if q.tokens < 1 && g.left() < 2 {
			return false
		}
		q.tokens = max(0, q.tokens-1)
	}
	g.rights--
	g.credit--
	return true
}

// idle reports whether the granter holds all that it keeps, so that loading
// ahead takes nothing from requests that come soon.
func (g *Granter) idle() bool {
	burst := float64(g.limits.Burst)
	return g.rights >= keptBursts*burst && g.credit >= burst
}

// left returns the grants that may be given now.
func (g *Granter) left() float64 { return min(g.rights, g.credit) }

// fill adds to the credit and the quotas, and forgets those that were not used for long. The
// owners count as one whole part beside the borrowers.
func (g *Granter) fill(now time.Time) {
	g.credit = min(float64(g.limits.Burst), g.credit+g.limits.Rate*now.Sub(g.paced).Seconds())
	g.paced = now
	parts := 1.0
	for team, q := range g.quotas {
		if now.Sub(q.used) > quotaKept {
			delete(g.quotas, team)
			continue
		}
		parts += q.part
	}
	for _, q := range g.quotas {
		q.tokens = min(quotaBurst, q.tokens+now.Sub(q.filled).Seconds()*g.limits.Rate*q.part/parts)
		q.filled = now
	}
}

func (a ask) before(b ask) bool {
	if (a.need.Waiting > 0) != (b.need.Waiting > 0) {
		return a.need.Waiting > 0
	}
	if (a.need.Part > 0) != (b.need.Part > 0) {
		return a.need.Part == 0
	}
	return a.due().Before(b.due())
}

func (a ask) due() time.Time {
	return a.need.StartBy.Add(-time.Duration(a.need.Waiting) * waitingWorth)
}
