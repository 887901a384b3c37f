package loadbudget

import (
	"sort"
	"time"

	"github.com/borageusher/borageusher/pkg/dispatch"
)

// advancePerRequest is the time by which each waiting request makes the due time of
// its need earlier.
const advancePerRequest = 500 * time.Millisecond

// targetNeed is one need of a target.
type targetNeed struct {
	target string
	need   dispatch.LoadNeed
}

// Allocator assigns the permits that targets transferred to it to the targets that
// need them. No permits accrue to the Allocator itself. It is not safe for
// concurrent use.
type Allocator struct {
	limits           Limits
	permits          float64
	credit           float64   // tokens of the bucket that limits the rate of grants
	creditRefilledAt time.Time // when credit was last refilled
	needs            []targetNeed
	quotas           map[string]*quota // by borrowing team
}

// quota is a token bucket with a borrowing team's part of the weight store's rate.
// Beyond it the team gets a permit only if another one is left for the needs of
// others.
type quota struct {
	weight     float64 // of the team; all owners together have 1
	tokens     float64
	refilledAt time.Time
	usedAt     time.Time
}

// Limits of a quota.
const (
	quotaBurst       = 2.0         // tokens
	quotaIdleTimeout = time.Minute // since its last use, after which it is removed
)

// maxStoredBursts is the maximum number of stored permits, in bursts.
const maxStoredBursts = 2

// NewAllocator returns an allocator without permits. It panics unless rate and
// burst are positive.
func NewAllocator(limits Limits) *Allocator {
	if limits.Rate <= 0 || limits.Burst <= 0 {
		panic("loadbudget: rate and burst must be positive")
	}
	return &Allocator{
		limits: limits,
		credit: float64(limits.Burst),
		quotas: map[string]*quota{},
	}
}

// AddPermits adds permits that a target transferred. Permits in excess of two
// bursts are discarded.
func (al *Allocator) AddPermits(permits float64) {
	al.permits = min(maxStoredBursts*float64(al.limits.Burst), al.permits+permits)
}

// SetNeeds replaces the recorded needs of a target. There is one need for each
// team.
func (al *Allocator) SetNeeds(target string, needs []dispatch.LoadNeed) {
	kept := al.needs[:0]
	for _, a := range al.needs {
		if a.target != target {
			kept = append(kept, a)
		}
	}
	al.needs = kept
	for _, n := range needs {
		al.needs = append(al.needs, targetNeed{target, n})
	}
}

// Grant is one permit for a team's need at a target.
type Grant struct {
	Target string
	Team   string
}

// Grants returns the grants to send, at most one for each target, in order of
// urgency: needs with waiting requests come before prefetching, then needs of the
// targets' owners before those of borrowing teams, then the earlier due time, which
// is the start-by time less advancePerRequest for each waiting request. A borrowing
// team beyond its quota leaves one permit for others. The grants keep to rate and
// burst, however many permits were transferred.
func (al *Allocator) Grants(now time.Time) []Grant {
	sort.SliceStable(al.needs, func(i, j int) bool { return al.needs[i].moreUrgent(al.needs[j]) })
	al.refill(now)
	var out []Grant
	kept := al.needs[:0]
	for _, a := range al.needs {
		switch {
		case grantedTo(out, a.target):
			// The target asks again when it can use another permit.
		case al.available() >= 1 && al.grant(now, a.need):
			out = append(out, Grant{a.target, a.need.Team})
		default:
			kept = append(kept, a)
		}
	}
	al.needs = kept
	return out
}

// grantedTo reports whether grants contains one for target.
func grantedTo(grants []Grant, target string) bool {
	for _, g := range grants {
		if g.Target == target {
			return true
		}
	}
	return false
}

// grant takes one permit for need and reports whether need is entitled to it now.
func (al *Allocator) grant(now time.Time, need dispatch.LoadNeed) bool {
	if need.Waiting == 0 && !al.idle() {
		return false
	}
	if need.LentShare > 0 {
		q := al.quotas[need.Team]
		if q == nil {
			q = &quota{tokens: quotaBurst, refilledAt: now}
			al.quotas[need.Team] = q
		}
		q.weight, q.usedAt = need.LentShare, now
		if q.tokens < 1 && al.available() < 2 {
			return false
		}
		q.tokens = max(0, q.tokens-1)
	}
	al.permits--
	al.credit--
	return true
}

// idle reports whether permits and credit are at their maximum, so that
// prefetching does not delay requests that arrive soon.
func (al *Allocator) idle() bool {
	burst := float64(al.limits.Burst)
	return al.permits >= maxStoredBursts*burst && al.credit >= burst
}

// available returns the number of grants that are possible now.
func (al *Allocator) available() float64 { return min(al.permits, al.credit) }

// refill refills the credit and the quotas, and removes quotas that were idle for
// quotaIdleTimeout. The rate is divided in proportion to the weights, of which the
// owners together have 1.
func (al *Allocator) refill(now time.Time) {
	al.credit = min(float64(al.limits.Burst), al.credit+al.limits.Rate*now.Sub(al.creditRefilledAt).Seconds())
	al.creditRefilledAt = now
	totalWeight := 1.0
	for team, q := range al.quotas {
		if now.Sub(q.usedAt) > quotaIdleTimeout {
			delete(al.quotas, team)
			continue
		}
		totalWeight += q.weight
	}
	for _, q := range al.quotas {
		q.tokens = min(quotaBurst, q.tokens+now.Sub(q.refilledAt).Seconds()*al.limits.Rate*q.weight/totalWeight)
		q.refilledAt = now
	}
}

// moreUrgent reports whether a comes before b in the order of Grants.
func (a targetNeed) moreUrgent(b targetNeed) bool {
	if (a.need.Waiting > 0) != (b.need.Waiting > 0) {
		return a.need.Waiting > 0
	}
	if (a.need.LentShare > 0) != (b.need.LentShare > 0) {
		return a.need.LentShare == 0
	}
	return a.due().Before(b.due())
}

// due returns the due time of a need, which orders needs of the same class.
func (a targetNeed) due() time.Time {
	return a.need.StartBy.Add(-time.Duration(a.need.Waiting) * advancePerRequest)
}
