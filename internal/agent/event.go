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

// loopEvent is an event that the event loop applies to the agent.
type loopEvent interface {
	apply(ctx context.Context, a *Agent, now time.Time)
}

// submitted is the event of an attempt received from an entryd.
type submitted struct {
	conn       sender
	submit     peer.Submit
	receivedAt time.Time // when the message was read
}

func (e submitted) apply(_ context.Context, a *Agent, now time.Time) {
	key := dispatch.RequestKey{Request: e.submit.Request, Attempt: e.submit.Attempt}
	if a.attempts[key] != nil {
		return // the entryd never sends an attempt twice
	}
	at := &attempt{
		submit: e.submit,
		answer: newAnswer(key, a.replyConn(now, e)),
		request: &dispatch.Request{
			Key:      key,
			Team:     e.submit.Team,
			Adapter:  e.submit.Adapter,
			Priority: e.submit.Priority,
			StartBy:  now.Add(e.submit.StartWithin),
			Suspect:  e.submit.Suspect,
		},
	}
	a.attempts[key] = at
	if reason := a.admit(now, at); reason != outcome.NoReason {
		a.refuse(at, reason)
		return
	}
	a.opts.Log.Event(event.RequestQueued).Str("request", key.Request).Uint32("attempt", key.Attempt).Send()
}

// admit queues at or returns the reason to refuse it.
func (a *Agent) admit(now time.Time, at *attempt) outcome.Reason {
	cfg := a.opts.Configurations.Current()
	switch {
	case a.history.has(at.request.Key):
		return outcome.TargetLost
	case a.replaced:
		return outcome.WrongTarget
	case cfg == nil:
		return outcome.NotReady
	case at.submit.Epoch != a.opts.Self.Epoch,
		at.submit.Owner != a.opts.Self.Team,
		at.submit.Service != a.opts.Self.Service:
		return outcome.WrongTarget
	case !at.submit.Suspect && a.isLocalSuspect(now, at):
		return outcome.EngineCrashed
	}
	return a.dispatcher.Submit(now, at.request)
}

// resumed is the event of an entryd that resumes an answer over another connection.
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
	reply := newAnswer(key, e.conn)
	if !a.history.provablyNotRun(key, e.resume.Age) {
		reply.firstSeq = e.resume.Next // so that the End states the number of parts that the entryd has received
		reply.end(now, outcome.Unknown, outcome.TargetLost)
		return
	}
	// The attempt never arrived. If it still arrives over the old connection, it
	// must be refused, because it is reported as not run here.
	a.history.add(now, key, false, e.resume.StartWithin)
	reply.refuse(now, outcome.TargetLost, a.dispatcher.Report())
}

// cancelled is the event of a cancellation by an entryd whose caller has
// disconnected.
type cancelled struct{ key dispatch.RequestKey }

func (e cancelled) apply(_ context.Context, a *Agent, _ time.Time) {
	if at := a.attempts[e.key]; at != nil {
		a.abandon(at)
	}
}

// acked is the event of an entryd's acknowledgement of the parts that it has
// consumed.
type acked struct {
	key   dispatch.RequestKey
	next  uint64
	ended bool
}

func (e acked) apply(_ context.Context, a *Agent, _ time.Time) {
	if at := a.attempts[e.key]; at != nil {
		at.answer.ack(e.next, e.ended)
	}
}

// disconnected is the event of the end of a peer session.
type disconnected struct{ conn sender }

func (e disconnected) apply(_ context.Context, a *Agent, now time.Time) {
	delete(a.sessions, e.conn)
	delete(a.allocators.names, e.conn)
	for _, at := range a.attempts {
		at.answer.detach(now, e.conn)
	}
}

// finished is the event of the end of a started attempt.
type finished struct{ key dispatch.RequestKey }

func (e finished) apply(_ context.Context, a *Agent, now time.Time) {
	a.opts.Log.Event(event.RequestFinished).Str("request", e.key.Request).Uint32("attempt", e.key.Attempt).Send()
	a.dispatcher.Finished(now, e.key)
	if at := a.attempts[e.key]; at != nil {
		at.cancel = nil
	}
}

// loaded is the event of the end of a load order.
type loaded struct {
	id adapter.ID
	ok bool
}

func (e loaded) apply(ctx context.Context, a *Agent, now time.Time) {
	a.perform(ctx, a.dispatcher.Loaded(now, e.id, e.ok))
}

// unloaded is the event of the end of an unload order.
type unloaded struct{ id adapter.ID }

func (e unloaded) apply(_ context.Context, a *Agent, _ time.Time) { a.dispatcher.Unloaded(e.id) }

// engineReported is the event of a state report read from the engine.
type engineReported struct {
	state engine.State
	asOf  uint64 // residency generation that the report is known to reflect
}

func (e engineReported) apply(ctx context.Context, a *Agent, now time.Time) {
	if e.state.FencingToken > a.opts.Self.Epoch {
		replaced{by: e.state.FencingToken}.apply(ctx, a, now)
	}
	if a.bootID != 0 && e.state.BootID != a.bootID {
		a.opts.Log.Event(event.EngineRestarted).Uint64("boot", e.state.BootID).Send()
		a.dispatcher.EngineRestarted()
	}
	a.bootID = e.state.BootID
	a.engineUp = true
	a.reconcile(ctx, e.state, e.asOf)
}

// configured is the event of a new configuration in force.
type configured struct{ cfg *configuration.Configuration }

func (e configured) apply(_ context.Context, a *Agent, _ time.Time) {
	a.dispatcher.SetQuotas(newLendingQuotas(e.cfg, a.opts.Self))
}
