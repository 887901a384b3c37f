package agent

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/internal/engine"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/dispatch"
	"github.com/borageusher/borageusher/pkg/outcome"
)

// Bounds of the recovery from an engine restart.
const (
	maxRequeues        = 3                      // requeues of one attempt that the engine did not run
	engineStartTimeout = 2 * time.Second        // requests and loads wait this long for a restarting engine
	loadRetryInterval  = 100 * time.Millisecond // between load orders to a restarting engine
)

// notRun is the event of a request that the engine provably did not run.
type notRun struct {
	key        dispatch.RequestKey
	engineDown bool // the engine accepts no requests; otherwise it lacks the adapter
}

func (e notRun) apply(_ context.Context, a *Agent, now time.Time) {
	at := a.attempts[e.key]
	if at == nil {
		a.dispatcher.Finished(now, e.key)
		return
	}
	at.cancel = nil
	if e.engineDown && a.engineUp {
		a.engineUp = false
		a.engineDownSince = now
	}
	if reason := a.requeue(now, at, !e.engineDown); reason != outcome.NoReason {
		a.refuse(at, reason)
		return
	}
	a.opts.Log.Event(event.RequestRequeued).Str("request", e.key.Request).Uint32("attempt", e.key.Attempt).
		Stringer("adapter", at.submit.Adapter).Send()
	a.requestEngineState()
}

// requeue queues at again or returns the reason to refuse it. adapterMissing is
// set if the engine lacks the adapter.
func (a *Agent) requeue(now time.Time, at *attempt, adapterMissing bool) outcome.Reason {
	at.requeues++
	switch {
	case a.isLocalSuspect(now, at):
		a.dispatcher.Finished(now, at.request.Key)
		return outcome.EngineCrashed
	case at.answer.isAbandoned():
		a.dispatcher.Finished(now, at.request.Key)
		return outcome.Cancelled
	case at.requeues > maxRequeues && a.engineUp:
		a.dispatcher.Finished(now, at.request.Key)
		return outcome.LoadFailed
	case a.opts.PlainService, at.requeues > maxRequeues:
		a.dispatcher.Finished(now, at.request.Key)
		return outcome.EngineFailed
	}
	return a.dispatcher.Requeue(now, at.request.Key, adapterMissing)
}

// replaced is the event of another process that has registered this target.
type replaced struct{ by uint64 } // epoch of the other process, zero if unknown

func (e replaced) apply(ctx context.Context, a *Agent, _ time.Time) {
	if a.replaced {
		return
	}
	a.replaced = true
	a.opts.Log.Event(event.TargetReplaced).Uint64("epoch", a.opts.Self.Epoch).Uint64("by", e.by).Send()
	a.perform(ctx, a.dispatcher.Drain())
}

// next returns the actions to carry out now. No request starts before the
// engine's own list of adapters is known. When the engine has been down for
// longer than engineStartTimeout, all queued requests are refused, so that their
// senders retry them elsewhere.
func (a *Agent) next(now time.Time) []dispatch.Action {
	switch {
	case a.opts.PlainService || a.engineUp:
		return a.dispatcher.Next(now)
	case now.Sub(a.engineDownSince) > engineStartTimeout:
		return a.dispatcher.RefuseAll(outcome.EngineFailed)
	}
	return a.dispatcher.Expire(now)
}

// reconcile corrects the residency table according to the engine's list of
// adapters in s. asOf is the table's generation up to which the list is current.
func (a *Agent) reconcile(ctx context.Context, s engine.State, asOf uint64) {
	if a.replaced {
		return
	}
	var held []adapter.ID
	for _, name := range s.Loaded {
		if id, err := adapter.ParseID(name); err == nil {
			held = append(held, id)
		}
	}
	correction := a.dispatcher.Reconcile(held, asOf)
	for _, id := range correction.Adopted {
		a.opts.Log.Event(event.AdapterAdopted).Stringer("adapter", id).Send()
	}
	for _, id := range correction.Lost {
		a.opts.Log.Event(event.AdapterMissing).Stringer("adapter", id).Send()
	}
	for _, id := range correction.Unload {
		a.opts.Log.Event(event.AdapterUnloading).Stringer("adapter", id).Str("reason", "engine_full").Send()
		go a.unload(ctx, id)
	}
}

// requestEngineState makes watchEngine poll the engine's state without waiting
// for its next interval.
func (a *Agent) requestEngineState() {
	select {
	case a.stateRequests <- struct{}{}:
	default: // a poll is requested already
	}
}

// loadWithRetry orders a load. It repeats the order for up to engineStartTimeout
// while the engine is restarting.
func (a *Agent) loadWithRetry(ctx context.Context, id adapter.ID) error {
	until := time.Now().Add(engineStartTimeout)
	for {
		err := a.opts.Engine.Load(ctx, id)
		restarting := engine.IsKind(err, engine.Unavailable) || engine.IsKind(err, engine.Uncertain)
		if !restarting || time.Now().After(until) {
			return err
		}
		select {
		case <-time.After(loadRetryInterval):
		case <-ctx.Done():
			return err
		}
	}
}

// stopIfFenced stops the agent's work if err shows that the engine rejected an
// order because a newer process has fenced this one off.
func (a *Agent) stopIfFenced(err error) {
	if engine.IsKind(err, engine.Fenced) {
		a.post(replaced{})
	}
}
