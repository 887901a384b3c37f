package gateway

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/internal/credit"
	"github.com/borageusher/borageusher/pkg/placement"
	"github.com/borageusher/borageusher/pkg/target"
)

// creditWaitShare is the share of the objective that a call waits for credit that is
// expected, so that its answer can still be on time. It is a round trip between regions at
// the shortest objective on the users' data sheets, 500 ms, with some margin.
const creditWaitShare = 0.25

// Reasons for which a call of a workspace gets no credit.
const (
	reasonOverQuota       = "over_quota"
	reasonQuotaUnanswered = "quota_unanswered" // the issuer of the credit did not answer in time
)

// spendCredit charges a call to the quota of its workspace, before its first attempt. It
// returns the reason if the call may not run.
func (g *Gateway) spendCredit(ctx context.Context, c *call) (charge credit.Charge, reason string) {
	if g.Credit == nil || c.workspace == nil || c.workspace.Quota.PerSecond <= 0 {
		return credit.Charge{}, ""
	}
	start := time.Now()
	v := g.Credit.Admit(ctx, c.workspace, credit.Cost{
		Units:   c.workspace.Quota.Cost(c.meta.PromptTokens, c.meta.MaxResponseTokens),
		Urgency: c.route.Urgency,
		Wait:    min(time.Duration(creditWaitShare*float64(c.route.Objective)), c.remaining(start)/2),
	})
	g.Scope.Histogram("credit_wait_seconds", latencyBuckets).RecordDuration(time.Since(start))
	c.retryAfter = v.RetryAfter
	switch {
	case v.Admitted:
		return v.Charge, ""
	case ctx.Err() != nil:
		return credit.Charge{}, "timeout"
	case v.Unanswered:
		return credit.Charge{}, reasonQuotaUnanswered
	}
	return credit.Charge{}, reasonOverQuota
}

// refundCredit gives back the credit of a call that did not run and never will.
func (g *Gateway) refundCredit(c *call, charge credit.Charge) {
	if c.possibleRuns == 0 && g.Credit != nil {
		g.Credit.Refund(charge)
	}
}

// CreditIssuer implements credit.Fleet. The issuer for a key is the targetd of the highest
// rendezvous rank among those that are connected.
func (f *Fleet) CreditIssuer(now time.Time, key uint64) credit.Issuer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best, first *targetState
	for _, t := range f.targets {
		if t.closeConn == nil || t.replica.State != target.Live || t.notice.leaving || t.state.Departing {
			continue
		}
		if first == nil || precedes(key, t, first) {
			first = t
		}
		if t.conn == nil || !t.conn.IssuesCredit() || t.targetdSilent(now) {
			continue
		}
		if best == nil || precedes(key, t, best) {
			best = t
		}
	}
	if best == nil {
		return credit.Issuer{}
	}
	return credit.Issuer{Conn: best.conn, Name: best.replica.ID, First: best.vmHash == first.vmHash}
}

// precedes reports whether a's targetd has a higher rendezvous rank for a key than b's.
func precedes(key uint64, a, b *targetState) bool {
	ra, rb := placement.Mix(key^a.vmHash), placement.Mix(key^b.vmHash)
	return ra > rb || (ra == rb && a.replica.ID < b.replica.ID) // several targets may have the same targetd
}

// EntrydCount implements credit.Fleet.
func (f *Fleet) EntrydCount() int { return f.entrydCount() }
