package entry

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/pkg/claim"
	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/target"
)

// Times of settling a call that has an idempotency key.
const (
	settleWithin   = 5 * time.Second // for the object API to say what became of an attempt
	claimRetryTime = time.Second     // what callers are told to wait for an earlier request
)

// Claims keeps the claims of requests with an idempotency key.
type Claims interface {
	// Void finds out whether a lost attempt has run and, if not, keeps it from
	// ever running.
	Void(ctx context.Context, name string, a claim.Attempt, digest []byte) (claim.Verdict, error)
	// Read returns the record of a key.
	Read(ctx context.Context, name string) (claim.Record, error)
}

// claimName returns the name of the record of the call's idempotency key.
func (c *Call) claimName() string {
	return claim.Name(c.Team.Name, c.Service, c.IdempotencyKey)
}

// claimDigest returns the digest that tells the key's requests apart.
func (c *Call) claimDigest() []byte { return claim.Digest(c.Method, c.Path, c.Body) }

// settle completes the result of attempt n of a call with an idempotency key:
// it finds out what became of an attempt whose target stopped answering.
func (r *router) settle(ctx context.Context, c *Call, n uint32, result Result) Result {
	if c.IdempotencyKey == "" {
		return result
	}
	switch result.Reason {
	case outcome.KeyInProgress, outcome.StoreUnavailable:
		result.After = claimRetryTime
	}
	if result.Outcome != outcome.Unknown || c.Response.Started() {
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	switch result.Reason {
	case outcome.TargetLost:
		return r.settleLost(ctx, c, n, result)
	case outcome.KeyInProgress:
		return r.settleBusy(ctx, c, result)
	}
	return result
}

// settleLost excludes an attempt whose target stopped answering, unless the
// key's record says that it ran or may run.
func (r *router) settleLost(ctx context.Context, c *Call, n uint32, lost Result) Result {
	v, err := r.claims.Void(ctx, c.claimName(), claim.Attempt{Request: c.ID, Number: n}, c.claimDigest())
	if err != nil {
		r.log.At(event.AttemptUnsettled).Str("request", c.ID).Uint32("attempt", n).
			Stringer("reason", outcome.StoreUnavailable).Err(err).Send()
		return lost
	}
	switch v.Kind {
	case claim.NotRun:
		r.log.At(event.AttemptVoided).Str("request", c.ID).Uint32("attempt", n).Send()
		return rejected(v.Reason, "the target stopped answering before it started the request")
	case claim.Replay:
		return replay(c, v.Record.Answer)
	}
	r.log.At(event.AttemptUnsettled).Str("request", c.ID).Uint32("attempt", n).Stringer("reason", v.Reason).Send()
	return r.unknown(v.Reason)
}

// settleBusy looks whether the process that holds the key's claim still is its
// target's one. If not, the claim's run was broken off.
func (r *router) settleBusy(ctx context.Context, c *Call, busy Result) Result {
	rec, err := r.claims.Read(ctx, c.claimName())
	if err != nil || rec.State != claim.Claimed || r.current(rec.Claim.Writer) {
		return busy
	}
	return r.unknown(outcome.TargetLost)
}

// current reports whether w is the process that serves its target, as far as
// this entryd knows.
func (r *router) current(w claim.Writer) bool {
	for _, t := range r.targets.Targets() {
		if t.Name == w.Name {
			return t.Incarnation == w.Incarnation && t.State != target.Gone
		}
	}
	return false
}

func (r *router) unknown(reason outcome.Reason) Result {
	result := Result{Outcome: outcome.Unknown, Reason: reason}
	if reason == outcome.KeyInProgress {
		result.After = claimRetryTime
	}
	return result
}

// replay passes on the answer of an earlier request with the same key.
func replay(c *Call, a claim.Answer) Result {
	c.Response.Start(a.Status, a.ContentType)
	if err := c.Response.Write(a.Body); err != nil {
		return Result{Outcome: outcome.Unknown, Reason: outcome.Cancelled}
	}
	return Result{Outcome: outcome.Answered}
}
