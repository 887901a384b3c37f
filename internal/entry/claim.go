package entry

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/pkg/claim"
	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/target"
)

// Timing of calls with an idempotency key.
const (
	settleTimeout   = 5 * time.Second // bounds the object API calls that determine an attempt's outcome
	claimRetryAfter = time.Second     // Retry-After value while the key is in progress or the store is unavailable
)

// Claims accesses the stored claim records of idempotency keys.
type Claims interface {
	// Void determines whether a lost attempt has run and, if not, records that it
	// must never run.
	Void(ctx context.Context, name string, a claim.Attempt, digest []byte) (claim.Verdict, error)
	// Read returns the claim record with that name.
	Read(ctx context.Context, name string) (claim.Record, error)
}

// claimName returns the name of the claim record of the call's idempotency key.
func (c *Call) claimName() string {
	return claim.Name(c.Team.Name, c.Service, c.IdempotencyKey)
}

// claimDigest returns the request digest that detects reuse of the key for a
// different request.
func (c *Call) claimDigest() []byte { return claim.Digest(c.Method, c.Path, c.Body) }

// settle refines the result of attempt n of a call with an idempotency key. It
// sets RetryAfter while the key is in progress or the store is unavailable. If the
// outcome is unknown because the target was lost or the key is in progress, and no
// response has been started, it accesses the key's claim record to determine
// whether the request ran.
func (r *router) settle(ctx context.Context, c *Call, n uint32, result Result) Result {
	if c.IdempotencyKey == "" {
		return result
	}
	switch result.Reason {
	case outcome.KeyInProgress, outcome.StoreUnavailable:
		result.RetryAfter = claimRetryAfter
	}
	if result.Outcome != outcome.Unknown || c.Response.Started() {
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	switch result.Reason {
	case outcome.TargetLost:
		return r.settleLost(ctx, c, n, result)
	case outcome.KeyInProgress:
		return r.settleInProgress(ctx, c, result)
	}
	return result
}

// settleLost voids attempt n, whose target stopped responding, in the key's claim
// record. It replays the stored response if the request has run, and returns an
// unknown outcome if it may have.
func (r *router) settleLost(ctx context.Context, c *Call, n uint32, lost Result) Result {
	v, err := r.claims.Void(ctx, c.claimName(), claim.Attempt{Request: c.ID, Number: n}, c.claimDigest())
	if err != nil {
		r.log.Event(event.AttemptUnsettled).Str("request", c.ID).Uint32("attempt", n).
			Stringer("reason", outcome.StoreUnavailable).Err(err).Send()
		return lost
	}
	switch v.Kind {
	case claim.NotRun:
		r.log.Event(event.AttemptVoided).Str("request", c.ID).Uint32("attempt", n).Send()
		return rejected(v.Reason, "the target stopped answering before it started the request")
	case claim.Replay:
		return replayAnswer(c, v.Record.Answer)
	}
	r.log.Event(event.AttemptUnsettled).Str("request", c.ID).Uint32("attempt", n).Stringer("reason", v.Reason).Send()
	return r.unknownResult(v.Reason)
}

// settleInProgress handles a key that another attempt has claimed. If the claim's
// writer is no longer the current process of its target, that run was aborted and
// the reason becomes TargetLost.
func (r *router) settleInProgress(ctx context.Context, c *Call, inProgress Result) Result {
	rec, err := r.claims.Read(ctx, c.claimName())
	if err != nil || rec.State != claim.Claimed || r.isCurrentWriter(rec.Claim.Writer) {
		return inProgress
	}
	return r.unknownResult(outcome.TargetLost)
}

// isCurrentWriter reports whether w is the current process of its target,
// according to this entryd's view of the targets, which may be stale.
func (r *router) isCurrentWriter(w claim.Writer) bool {
	for _, t := range r.targets.Targets() {
		if t.Name == w.Name {
			return t.Incarnation == w.Incarnation && t.State != target.Gone
		}
	}
	return false
}

// unknownResult returns a result with an unknown outcome, and with RetryAfter set
// if the key is in progress.
func (r *router) unknownResult(reason outcome.Reason) Result {
	result := Result{Outcome: outcome.Unknown, Reason: reason}
	if reason == outcome.KeyInProgress {
		result.RetryAfter = claimRetryAfter
	}
	return result
}

// replayAnswer responds with the stored response of an earlier request with the
// same key. If the write fails, the result is unknown with reason Cancelled.
func replayAnswer(c *Call, a claim.Answer) Result {
	c.Response.Start(a.Status, a.ContentType)
	if err := c.Response.Write(a.Body); err != nil {
		return Result{Outcome: outcome.Unknown, Reason: outcome.Cancelled}
	}
	return Result{Outcome: outcome.Answered}
}
