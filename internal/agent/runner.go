package agent

import (
	"context"
	"io"
	"time"

	"github.com/borageusher/borageusher/internal/engine"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/pkg/outcome"
)

// cancelTimeout limits the call that cancels a request at the engine.
const cancelTimeout = 2 * time.Second

// start runs an attempt in its own goroutine.
func (a *Agent) start(ctx context.Context, at *attempt) {
	ctx, cancel := context.WithCancel(ctx)
	at.cancel = cancel
	at.bootID = a.bootID
	load := a.dispatcher.Report()
	go func() {
		defer cancel()
		switch a.prepareStart(ctx, at, load) {
		case startRun:
			a.post(a.runAndRecord(ctx, at))
		case startDeferred:
			a.post(finished{key: at.request.Key})
			a.post(claimDeferred{key: at.request.Key})
		default:
			a.post(finished{key: at.request.Key})
		}
	}()
}

// runAndRecord runs an attempt and records its outcome, unless the engine did not
// run it, so that it may be requeued.
func (a *Agent) runAndRecord(ctx context.Context, at *attempt) loopEvent {
	e := a.run(ctx, at)
	if _, ran := e.(finished); ran {
		a.recordOutcome(at)
	}
	return e
}

// run sends the request to the engine and relays the response. It returns finished,
// or notRun if the engine did not run the request; then nothing has been sent to
// the sender.
func (a *Agent) run(ctx context.Context, at *attempt) loopEvent {
	a.opts.Log.Event(event.RequestStarted).Str("request", at.submit.Request).Uint32("attempt", at.submit.Attempt).
		Stringer("adapter", at.submit.Adapter).Send()
	result, err := a.opts.Engine.Run(ctx, engine.Request{
		ID:           at.submit.Request,
		Method:       at.submit.Method,
		Path:         at.submit.Path,
		ContentType:  at.submit.ContentType,
		Body:         at.submit.Body,
		NeedsAdapter: !at.submit.Adapter.IsZero(),
	})
	switch {
	case engine.IsKind(err, engine.NotStarted):
		return notRun{key: at.request.Key, engineDown: true}
	case engine.IsKind(err, engine.NotResident):
		return notRun{key: at.request.Key}
	case ctx.Err() != nil:
		a.cancelRun(at)
		at.answer.end(time.Now(), outcome.Unknown, outcome.Cancelled)
	case err != nil:
		a.endInterrupted(at)
	default:
		at.captureBody(result)
		a.relay(ctx, at, result)
	}
	return finished{key: at.request.Key}
}

// relay copies an engine's response to the attempt's answer part by part and ends
// it. An event stream of a model that ends without its terminator ends with an
// unknown outcome. If the answer has been abandoned, a run without an idempotency
// key is cancelled; one with a key continues, so that its outcome can be recorded.
func (a *Agent) relay(ctx context.Context, at *attempt, result *engine.Response) {
	defer func() { _ = result.Body.Close() }() // was read to its end or is discarded
	at.answer.start(time.Now(), result.Status, result.ContentType)
	streams := !at.submit.Adapter.IsZero() && isEventStream(result.ContentType)
	var tail streamTail
	buf := make([]byte, maxPartBytes)
	for {
		n, err := result.Body.Read(buf)
		if n > 0 && !at.answer.add(time.Now(), buf[:n]) && !at.keyed() {
			a.cancelRun(at)
			at.answer.end(time.Now(), outcome.Unknown, outcome.Cancelled)
			return
		}
		tail.write(buf[:n])
		if err == io.EOF && streams && !tail.complete() {
			at.answer.end(time.Now(), outcome.Unknown, outcome.EngineFailed)
			return
		}
		if err == io.EOF {
			at.answer.end(time.Now(), outcome.Answered, outcome.NoReason)
			return
		}
		if err != nil {
			if ctx.Err() == nil {
				a.endInterrupted(at)
				return
			}
			a.cancelRun(at)
			at.answer.end(time.Now(), outcome.Unknown, outcome.Cancelled)
			return
		}
	}
}

// cancelRun cancels the request at the engine.
func (a *Agent) cancelRun(at *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := a.opts.Engine.Cancel(ctx, at.submit.Request); err != nil {
		a.opts.Log.Event(event.EngineUnreachable).Str("request", at.submit.Request).Err(err).Send()
	}
}
