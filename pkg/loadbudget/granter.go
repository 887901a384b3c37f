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
	most   float64 // rights that it keeps
	rights float64
	asks   []ask
}

// NewGranter returns a granter without rights. It keeps one right less than the
// burst, because others are on their way to it.
func NewGranter(limits Limits) *Granter { return &Granter{most: float64(max(1, limits.Burst-1))} }

// Donate adds rights that a target gave away. Beyond what the
// granter keeps they are lost.
func (g *Granter) Donate(rights float64) { g.rights = min(g.most, g.rights+rights) }

// Ask records what a target needs, in place of an earlier need of the target.
func (g *Granter) Ask(target string, need dispatch.Need) {
	for i := range g.asks {
		if g.asks[i].target == target {
			g.asks[i].need = need
			return
		}
	}
	g.asks = append(g.asks, ask{target, need})
}

// Forget drops the need of a target that no longer has one.
func (g *Granter) Forget(target string) {
	for i := range g.asks {
		if g.asks[i].target == target {
			g.asks = append(g.asks[:i], g.asks[i+1:]...)
			return
		}
	}
}

// Grants returns the targets that get one right each, the most urgent first:
// requests that wait go before loading ahead, then the earliest start-by time
// counts, moved by the number of waiting requests.
func (g *Granter) Grants() []string {
	sort.SliceStable(g.asks, func(i, j int) bool { return g.asks[i].before(g.asks[j]) })
	var out []string
	for g.rights >= 1 && len(g.asks) > 0 {
		out = append(out, g.asks[0].target)
		g.asks = g.asks[1:]
		g.rights--
	}
	return out
}

func (a ask) before(b ask) bool {
	if (a.need.Waiting > 0) != (b.need.Waiting > 0) {
		return a.need.Waiting > 0
	}
	return a.due().Before(b.due())
}

func (a ask) due() time.Time {
	return a.need.StartBy.Add(-time.Duration(a.need.Waiting) * waitingWorth)
}
