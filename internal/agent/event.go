package agent

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/internal/engine"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/dispatch"
	"github.com/borageusher/borageusher/pkg/outcome"
)

// agentEvent is something that happened, applied by the loop.
type agentEvent interface {
	apply(ctx context.Context, a *Agent, now time.Time)
}

// submitted: an entryd sent an attempt.
type submitted struct {
	conn   sender
	submit peer.Submit
	read   time.Time // when the message came
}

func (e submitted) apply(_ context.Context, a *Agent, now time.Time) {
	key := dispatch.RequestKey{Request: e.submit.Request, Attempt: e.submit.Attempt}
	if a.attempts[key] != nil {
		return // the entryd never sends an attempt twice
	}
	at := &attempt{
		submit: e.submit,
		answer: newAnswer(key, a.origin(now, e)),
		request: &dispatch.Request{
			Key:      key,
			Team:     e.submit.Team,
			Adapter:  e.submit.Adapter,
			Priority: e.submit.Priority,
			StartBy:  now.Add(e.submit.StartBy),
			Suspect:  e.submit.Suspect,
		},
	}
	a.attempts[key] = at
	if reason := a.admit(now, at); reason != outcome.NoReason {
		a.refuse(at, reason)
		return
	}
	a.opts.Log.At(event.RequestQueued).Str("request", key.Request).Uint32("attempt", key.Attempt).Send()
}

// admit queues at, or returns the reason why it is refused.
func (a *Agent) admit(now time.Time, at *attempt) outcome.Reason {
	cfg := a.opts.Configurations.Current()
	_, void := a.voided[at.request.Key]
	switch {
	case void:
		return outcome.TargetLost
	case cfg == nil:
		return outcome.NotReady
	case at.submit.Epoch != a.opts.Self.Epoch,
		at.submit.Owner != a.opts.Self.Team,
		at.submit.Service != a.opts.Self.Service:
		return outcome.WrongTarget
	}
	return a.dispatcher.Submit(now, at.request)
}

// resumed: an entryd wants an answer to go on over another connection.
type resumed struct {
	conn   sender
	resume peer.Resume
}

func (e resumed) apply(_ context.Context, a *Agent, now time.Time) {
	key := dispatch.RequestKey{Request: e.resume.Request, Attempt: e.resume.Attempt}
	if at := a.attempts[key]; at != nil {
		at.answer.attach(now, e.conn, e.resume.Next)
		return
	}
	// The attempt never arrived. Should it still come over the old connection,
	// it is refused, so that saying "not run" now stays true.
	a.voided[key] = now.Add(e.resume.StartBy)
	unsent := newAnswer(key, e.conn)
	unsent.refuse(now, outcome.TargetLost, a.dispatcher.Report())
}

// cancelled: an entryd's caller went away.
type cancelled struct{ key dispatch.RequestKey }

func (e cancelled) apply(_ context.Context, a *Agent, _ time.Time) {
	if at := a.attempts[e.key]; at != nil {
		a.abandon(at)
	}
}

// acked: an entryd has consumed parts of an answer.
type acked struct {
	key  dispatch.RequestKey
	next uint64
}

func (e acked) apply(_ context.Context, a *Agent, _ time.Time) {
	if at := a.attempts[e.key]; at != nil {
		at.answer.ack(e.next)
	}
}

// disconnected: a peer session ended.
type disconnected struct{ conn sender }

func (e disconnected) apply(_ context.Context, a *Agent, now time.Time) {
	delete(a.sessions, e.conn)
	delete(a.granters.names, e.conn)
	for _, at := range a.attempts {
		at.answer.detach(now, e.conn)
	}
}

// finished: a started request ended.
type finished struct{ key dispatch.RequestKey }

func (e finished) apply(_ context.Context, a *Agent, now time.Time) {
	a.opts.Log.At(event.RequestFinished).Str("request", e.key.Request).Uint32("attempt", e.key.Attempt).Send()
	a.dispatcher.Finished(now, e.key)
	if at := a.attempts[e.key]; at != nil {
		at.cancel = nil
	}
}

// loaded: the engine ended an order to load.
type loaded struct {
	id adapter.ID
	ok bool
}

func (e loaded) apply(ctx context.Context, a *Agent, now time.Time) {
	a.perform(ctx, a.dispatcher.Loaded(now, e.id, e.ok))
}

// unloaded: the engine ended an order to unload.
type unloaded struct{ id adapter.ID }

func (e unloaded) apply(_ context.Context, a *Agent, _ time.Time) { a.dispatcher.Unloaded(e.id) }

// engineReported: the engine said what it holds.
type engineReported struct{ state engine.State }

func (e engineReported) apply(_ context.Context, a *Agent, _ time.Time) {
	if a.boot != 0 && e.state.Boot != a.boot {
		a.opts.Log.At(event.EngineRestarted).Uint64("boot", e.state.Boot).Send()
		a.dispatcher.EngineRestarted()
	}
	a.boot = e.state.Boot
}

// configured: another configuration is in force.
type configured struct{ cfg *configuration.Configuration }

func (e configured) apply(_ context.Context, a *Agent, _ time.Time) {
	a.dispatcher.SetTerms(newLendingTerms(e.cfg, a.opts.Self))
}
