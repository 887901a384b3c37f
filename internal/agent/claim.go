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

// Times of claims.
const (
	takePatience = time.Second            // how long a claim may hold a slot of the target
	deferPause   = 250 * time.Millisecond // until a deferred attempt is queued again
)

// Claims keeps the claims of requests with an idempotency key.
type Claims interface {
	// Take claims an attempt; an error says that it must not run.
	Take(ctx context.Context, name string, a claim.Attempt, digest []byte) (claim.Verdict, error)
	// Finish records the answer of a run whose claim is held.
	Finish(name string, held claim.Verdict, a claim.Answer)
	// Break records that a run whose claim is held ended without an answer.
	Break(name string, held claim.Verdict, reason outcome.Reason)
	// Release gives back a claim of an attempt that never will start.
	Release(name string, a claim.Attempt, digest []byte)
	// Pending returns the number of writes that are not done.
	Pending() int
}

// beginning says what to do with an attempt whose turn has come.
type beginning uint8

const (
	goOn     beginning = iota // run it
	ended                     // it has been answered or refused
	deferred                  // the object API did not answer: queue it again
)

// keyed reports whether the attempt has an idempotency key.
func (at *attempt) keyed() bool { return at.submit.IdempotencyKey != "" }

// claimAttempt returns the attempt's name in claims.
func (at *attempt) claimAttempt() claim.Attempt {
	return claim.Attempt{Request: at.submit.Request, Number: at.submit.Attempt}
}

// begin checks that an attempt may start and claims its idempotency key.
func (a *Agent) begin(ctx context.Context, at *attempt, load dispatch.Report) beginning {
	if reason := a.startRefusal(at); reason != outcome.NoReason {
		a.refuseStart(at, reason, load)
		return ended
	}
	if !at.keyed() {
		return goOn
	}
	b := a.take(ctx, at, load)
	if b != goOn {
		return b
	}
	if reason := a.startRefusal(at); reason != outcome.NoReason {
		a.refuseStart(at, reason, load)
		return ended
	}
	return goOn
}

// take claims the attempt's key and passes on what its record decides.
func (a *Agent) take(ctx context.Context, at *attempt, load dispatch.Report) beginning {
	if !a.gate.enter(time.Now()) {
		return deferred
	}
	ctx, cancel := context.WithTimeout(ctx, takePatience)
	defer cancel()
	v, err := a.opts.Claims.Take(ctx, at.submit.IdempotencyKey, at.claimAttempt(), at.submit.BodyDigest)
	a.gate.leave(time.Now(), err == nil)
	if err != nil {
		at.mayHold = at.mayHold || claims.IsKind(err, claims.Unsettled)
		a.opts.Log.At(event.ClaimDeferred).Str("request", at.submit.Request).Uint32("attempt", at.submit.Attempt).Err(err).Send()
		return deferred
	}
	if v.Kind == claim.Run {
		at.mayHold = true
		at.held = &v
		a.opts.Log.At(event.ClaimTaken).Str("request", at.submit.Request).Uint32("attempt", at.submit.Attempt).Send()
		return goOn
	}
	at.mayHold = false
	a.opts.Log.At(event.ClaimDecided).Str("request", at.submit.Request).Uint32("attempt", at.submit.Attempt).
		Stringer("state", v.Record.State).Stringer("reason", v.Reason).Send()
	switch v.Kind {
	case claim.Replay:
		at.answer.replay(time.Now(), v.Record.Answer)
	case claim.NotRun:
		at.answer.refuse(time.Now(), v.Reason, load)
	default:
		at.answer.end(time.Now(), outcome.Unknown, v.Reason)
	}
	return ended
}

// startRefusal returns the reason why an attempt may not start now, although
// its turn has come: its time has passed, or its sender may have given up.
func (a *Agent) startRefusal(at *attempt) outcome.Reason {
	now := time.Now()
	switch {
	case !now.Before(at.request.StartBy):
		return at.expiry()
	case a.pulse.paused(now), !at.answer.attached():
		return outcome.TargetLost
	}
	return outcome.NoReason
}

// expiry returns the reason for an attempt whose start-by time has passed.
func (at *attempt) expiry() outcome.Reason {
	if at.deferred {
		return outcome.StoreUnavailable
	}
	return outcome.Expired
}

// refuseStart refuses an attempt whose turn had come.
func (a *Agent) refuseStart(at *attempt, reason outcome.Reason, load dispatch.Report) {
	a.opts.Log.At(event.RequestNotRun).Str("request", at.submit.Request).Uint32("attempt", at.submit.Attempt).
		Stringer("reason", reason).Send()
	a.release(at)
	at.answer.refuse(time.Now(), reason, load)
}

// release gives back what an attempt that never will start may hold.
func (a *Agent) release(at *attempt) {
	if at.mayHold {
		at.mayHold = false
		a.opts.Claims.Release(at.submit.IdempotencyKey, at.claimAttempt(), at.submit.BodyDigest)
	}
}

// settle records what became of a run whose claim is held.
func (a *Agent) settle(at *attempt) {
	if at.held == nil {
		return
	}
	o, reason, status, contentType := at.answer.result()
	switch o {
	case outcome.NotRun:
		a.release(at)
	case outcome.Answered:
		a.opts.Claims.Finish(at.submit.IdempotencyKey, *at.held, claim.Answer{
			Status:      status,
			ContentType: contentType,
			Body:        at.recorder.kept,
			Oversize:    at.recorder.oversize,
		})
	default:
		a.opts.Claims.Break(at.submit.IdempotencyKey, *at.held, reason)
	}
}

// record keeps the start of the answer's body if the attempt has a key.
func (at *attempt) record(result *engine.Answer) {
	if at.keyed() {
		at.recorder.ReadCloser = result.Body
		result.Body = &at.recorder
	}
}

// recorder passes a body on and keeps it while it is small.
type recorder struct {
	io.ReadCloser
	kept     []byte
	oversize bool
}

// Read implements io.Reader.
func (r *recorder) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if len(r.kept)+n > claim.MaxReplayBytes {
		r.oversize, r.kept = true, nil
	}
	if !r.oversize {
		r.kept = append(r.kept, p[:n]...)
	}
	return n, err
}

// claimDeferred: the object API did not settle an attempt's claim.
type claimDeferred struct{ key dispatch.RequestKey }

func (e claimDeferred) apply(_ context.Context, a *Agent, _ time.Time) {
	if at := a.attempts[e.key]; at != nil {
		at.deferred = true
		time.AfterFunc(deferPause, func() { a.post(claimRetried(e)) })
	}
}

// claimRetried: a deferred attempt is to be queued again.
type claimRetried struct{ key dispatch.RequestKey }

func (e claimRetried) apply(_ context.Context, a *Agent, now time.Time) {
	at := a.attempts[e.key]
	if at == nil {
		return
	}
	if reason := a.dispatcher.Submit(now, at.request); reason != outcome.NoReason {
		a.refuse(at, reason)
	}
}
