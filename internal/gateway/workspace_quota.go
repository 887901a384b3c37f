package gateway

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/internal/credit"
	"github.com/borageusher/borageusher/pkg/holder"
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
	if !g.hasQuota(c) {
		return credit.Charge{}, ""
	}
	start := time.Now()
	v := g.Credit.Admit(ctx, c.workspace, c.creditCost(start))
	g.Scope.Histogram("credit_wait_seconds", latencyBuckets).RecordDuration(time.Since(start))
	c.retryAfter = v.RetryAfter
	switch {
	case v.Admitted:
		return v.Charge, ""
	case ctx.Err() != nil:
		return credit.Charge{}, "timeout"
	}
	return credit.Charge{}, quotaReason(v.Unanswered)
}

// hasQuota reports whether a quota applies to a call.
func (g *Gateway) hasQuota(c *call) bool {
	return g.Credit != nil && c.workspace != nil && c.workspace.Quota.PerSecond > 0
}

// creditCost returns what a call costs the quota of its workspace.
func (c *call) creditCost(now time.Time) credit.Cost {
	return credit.Cost{
		Units:   c.workspace.Quota.Cost(c.meta.PromptTokens, c.meta.MaxResponseTokens),
		Urgency: c.route.Urgency,
		Wait:    min(time.Duration(creditWaitShare*float64(c.route.Objective)), c.remaining(now)/2),
	}
}

// quotaReason returns the reason of a call without credit.
func quotaReason(unanswered bool) string {
	if unanswered {
		return reasonQuotaUnanswered
	}
	return reasonOverQuota
}

// refundCredit gives back the credit of a call that did not run and never will.
func (g *Gateway) refundCredit(c *call, charge credit.Charge) {
	if c.possibleRuns == 0 && g.Credit != nil {
		g.Credit.Refund(charge)
	}
}

// CreditIssuers implements credit.Fleet. It reads the clock by which the fleet records
// messages: that of the credit does not follow changes of the wall clock.
func (f *Fleet) CreditIssuers(keys []uint64) []credit.Issuer {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := func(t *targetState) bool {
		return t.closeConn != nil && t.replica.State == target.Live && !t.notice.leaving && !t.state.Departing
	}
	s := f.holdersAs(listed, func(t *targetState, p *holder.Process) {
		p.Absent = t.conn == nil || !t.conn.IssuesCredit() || t.targetdSilent(now)
	})
	out := make([]credit.Issuer, len(keys))
	for i, key := range keys {
		if t, first := s.best(key); t != nil {
			out[i] = credit.Issuer{Conn: t.conn, Name: t.replica.ID, First: first}
		}
	}
	return out
}

// EntrydCount implements credit.Fleet.
func (f *Fleet) EntrydCount() int { return f.entrydCount() }
