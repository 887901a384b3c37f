package agent

import (
	"context"
	"io"
	"time"

	"github.com/borageusher/borageusher/internal/claims"
	"github.com/borageusher/borageusher/internal/engine"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/pkg/claim"
	"github.com/borageusher/borageusher/pkg/dispatch"
	"github.com/borageusher/borageusher/pkg/outcome"
)

// Timeouts and delays of claims.
const (
	claimTimeout    = time.Second            // for one claim, which occupies a slot of the target
	claimRetryDelay = 250 * time.Millisecond // until an attempt whose claim failed is queued again
)

// Claims stores the claims of requests with an idempotency key.
type Claims interface {
	// Acquire claims the key for an attempt. After an error the attempt must
	// not run.
	Acquire(ctx context.Context, name string, a claim.Attempt, digest []byte) (claim.Verdict, error)
	// RecordAnswer records the answer of a run whose claim is held.
	RecordAnswer(name string, held claim.Verdict, a claim.Answer)
	// RecordInterruption records that a run whose claim is held ended without a
	// complete answer.
	RecordInterruption(name string, held claim.Verdict, reason outcome.Reason)
	// Release releases the claim of an attempt that will never start.
	Release(name string, a claim.Attempt, digest []byte)
	// Pending returns the number of writes that are queued or in progress.
	Pending() int
}

// startDecision is the decision on an attempt that the dispatcher has started.
type startDecision uint8

const (
	startRun      startDecision = iota // run the attempt
	startEnded                         // the attempt has been answered or refused already
	startDeferred                      // the claim failed because of the object API: queue the attempt again
)

// keyed reports whether the attempt has an idempotency key.
func (at *attempt) keyed() bool { return at.submit.IdempotencyKey != "" }

// claimAttempt returns the identity of the attempt in claim records.
func (at *attempt) claimAttempt() claim.Attempt {
	return claim.Attempt{Request: at.submit.Request, Number: at.submit.Attempt}
}

// prepareStart checks that an attempt may start and claims its idempotency key.
// It repeats the check after the claim, which may have taken a while.
func (a *Agent) prepareStart(ctx context.Context, at *attempt, load dispatch.Report) startDecision {
	if reason := a.startRefusal(at); reason != outcome.NoReason {
		a.refuseStart(at, reason, load)
		return startEnded
	}
	if !at.keyed() {
		return startRun
	}
	decision := a.acquireClaim(ctx, at, load)
	if decision != startRun {
		return decision
	}
	if reason := a.startRefusal(at); reason != outcome.NoReason {
		a.refuseStart(at, reason, load)
		return startEnded
	}
	return startRun
}

// acquireClaim claims the attempt's key. If the key's record shows that the attempt
// must not run, it answers or refuses the attempt accordingly. It returns
// startDeferred if the object API fails or claimBreaker suspends claims.
func (a *Agent) acquireClaim(ctx context.Context, at *attempt, load dispatch.Report) startDecision {
	if !a.claimBreaker.allow(time.Now()) {
		return startDeferred
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	v, err := a.opts.Claims.Acquire(ctx, at.submit.IdempotencyKey, at.claimAttempt(), at.submit.BodyDigest)
	a.claimBreaker.record(time.Now(), err == nil)
	if err != nil {
		at.mayHoldClaim = at.mayHoldClaim || claims.IsKind(err, claims.Uncertain)
		a.opts.Log.Event(event.ClaimDeferred).Str("request", at.submit.Request).Uint32("attempt", at.submit.Attempt).Err(err).Send()
		return startDeferred
	}
	if v.Kind == claim.Run {
		at.mayHoldClaim = true
		at.claimVerdict = &v
		a.opts.Log.Event(event.ClaimTaken).Str("request", at.submit.Request).Uint32("attempt", at.submit.Attempt).Send()
		return startRun
	}
	at.mayHoldClaim = false
	a.opts.Log.Event(event.ClaimDecided).Str("request", at.submit.Request).Uint32("attempt", at.submit.Attempt).
		Stringer("state", v.Record.State).Stringer("reason", v.Reason).Send()
	switch v.Kind {
	case claim.Replay:
		at.answer.replay(time.Now(), v.Record.Answer)
	case claim.NotRun:
		at.answer.refuse(time.Now(), v.Reason, load)
	default:
		at.answer.end(time.Now(), outcome.Unknown, v.Reason)
	}
	return startEnded
}

// startRefusal returns the reason why an attempt that the dispatcher has started
// may not run: its start-by time has passed, or its sender may have given up
// because this process was paused or the connection was lost.
func (a *Agent) startRefusal(at *attempt) outcome.Reason {
	now := time.Now()
	switch {
	case !now.Before(at.request.StartBy):
		return at.expiryReason()
	case a.pauseDetector.paused(now), !at.answer.attached():
		return outcome.TargetLost
	}
	return outcome.NoReason
}

// expiryReason returns the reason to refuse an attempt whose start-by time has
// passed: StoreUnavailable if a failed claim has delayed it.
func (at *attempt) expiryReason() outcome.Reason {
	if at.deferred {
		return outcome.StoreUnavailable
	}
	return outcome.Expired
}

// refuseStart refuses an attempt that the dispatcher has started.
func (a *Agent) refuseStart(at *attempt, reason outcome.Reason, load dispatch.Report) {
	a.opts.Log.Event(event.RequestNotRun).Str("request", at.submit.Request).Uint32("attempt", at.submit.Attempt).
		Stringer("reason", reason).Send()
	a.releaseClaim(at)
	at.answer.refuse(time.Now(), reason, load)
}

// releaseClaim releases the claim that an attempt may hold. The attempt must
// never start afterwards.
func (a *Agent) releaseClaim(at *attempt) {
	if at.mayHoldClaim {
		at.mayHoldClaim = false
		a.opts.Claims.Release(at.submit.IdempotencyKey, at.claimAttempt(), at.submit.BodyDigest)
	}
}

// recordOutcome records the outcome of a run whose claim is held.
func (a *Agent) recordOutcome(at *attempt) {
	if at.claimVerdict == nil {
		return
	}
	o, reason, status, contentType := at.answer.result()
	switch o {
	case outcome.NotRun:
		a.releaseClaim(at)
	case outcome.Answered:
		a.opts.Claims.RecordAnswer(at.submit.IdempotencyKey, *at.claimVerdict, claim.Answer{
			Status:      status,
			ContentType: contentType,
			Body:        at.bodyRecorder.data,
			BodyOmitted: at.bodyRecorder.oversize,
		})
	default:
		a.opts.Claims.RecordInterruption(at.submit.IdempotencyKey, *at.claimVerdict, reason)
	}
}

// captureBody makes at.bodyRecorder copy the body of the engine's response if the
// attempt has a key.
func (at *attempt) captureBody(response *engine.Response) {
	if at.keyed() {
		at.bodyRecorder.ReadCloser = response.Body
		response.Body = &at.bodyRecorder
	}
}

// bodyRecorder wraps a body and copies what is read from it, up to
// claim.MaxReplayBytes. The copy of a larger body is discarded.
type bodyRecorder struct {
	io.ReadCloser
	data     []byte
	oversize bool
}

// Read implements io.Reader.
func (r *bodyRecorder) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if len(r.data)+n > claim.MaxReplayBytes {
		r.oversize, r.data = true, nil
	}
	if !r.oversize {
		r.data = append(r.data, p[:n]...)
	}
	return n, err
}

// claimDeferred is the event of a claim that failed because of the object API.
type claimDeferred struct{ key dispatch.RequestKey }

func (e claimDeferred) apply(_ context.Context, a *Agent, _ time.Time) {
	if at := a.attempts[e.key]; at != nil {
		at.deferred = true
		time.AfterFunc(claimRetryDelay, func() { a.post(claimRetryDue(e)) })
	}
}

// claimRetryDue is the event of the end of a deferred attempt's claimRetryDelay.
type claimRetryDue struct{ key dispatch.RequestKey }

func (e claimRetryDue) apply(_ context.Context, a *Agent, now time.Time) {
	at := a.attempts[e.key]
	if at == nil {
		return
	}
	if reason := a.dispatcher.Submit(now, at.request); reason != outcome.NoReason {
		a.refuse(at, reason)
	}
}
