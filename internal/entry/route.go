package entry

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/placement"
	"github.com/borageusher/borageusher/pkg/target"
)

// maxAttempts bounds the attempts that are sent per request. Attempts that were
// never sent, such as to unreachable targets, don't count.
const maxAttempts = 4

// Targets provides the known targets. The slice must not be modified, and is
// replaced when a target changes.
type Targets interface {
	Targets() []target.Target
}

// router is the last handler of the filter chain: it sends a call to targets, one
// after the other, until one responds.
type router struct {
	targets  Targets
	views    *viewCache
	suspects Suspects
	links    *linkTable
	stats    *statsTable
	claims   Claims
	log      event.Log
	scope    tally.Scope
}

// Handle implements Handler.
func (r *router) Handle(ctx context.Context, c *Call, _ time.Time) Result {
	result := r.tryTargets(ctx, c)
	if result.Outcome == outcome.NotRun && c.MayHaveRun {
		result.Outcome = outcome.Unknown // an earlier attempt may have run
	}
	return result
}

// tryTargets sends the call to targets until one responds, the retry budget or the
// attempts are exhausted, or no target is left.
func (r *router) tryTargets(ctx context.Context, c *Call) Result {
	r.stats.countRequest(c)
	tried := map[string]bool{}
	last := rejected(outcome.NoTarget, "no target can take the request")
	sent := 0
	for n := uint32(1); sent < maxAttempts; n++ {
		now := time.Now()
		if !now.Before(c.Deadline) {
			return rejected(outcome.Expired, "the deadline passed before the request started")
		}
		if result, ok := checkQuarantine(r.suspects, c, now); n > 1 && !ok {
			return result // crash records may have changed during the earlier attempts
		}
		t, reason, ok := r.choose(c, now, excludeCrashed(c, tried))
		if !ok {
			t, reason, ok = r.choose(c, now, tried) // no target is left except those that crashed
		}
		if !ok {
			break
		}
		tried[t.Name] = true
		r.log.Event(event.RouteChosen).Str("request", c.ID).Uint32("attempt", n).Str("target", t.Name).
			Stringer("adapter", c.Adapter).Str("reason", routeReason(n, reason, last)).Send()
		result := recordCrash(c, t.Name, r.attempt(ctx, c, t, n, now))
		c.MayHaveRun = c.MayHaveRun || result.Outcome == outcome.Unknown
		if !result.Unsent {
			sent++
		}
		if !retryable(c, result) {
			r.observeLatency(c, result, now)
			return result
		}
		r.log.Event(event.RouteRefused).Str("request", c.ID).Uint32("attempt", n).Str("target", t.Name).
			Stringer("reason", result.Reason).Send()
		last = result
		if !r.stats.allowRetry(c, result) {
			r.log.Event(event.RetryRefused).Str("request", c.ID).Str("owner", c.Owner).Str("service", c.Service).Send()
			break
		}
		r.scope.Counter("retries").Inc(1)
	}
	last.RetryAfter = r.stats.retryAfter(c, last)
	return last
}

// observeLatency records the latency of an answered attempt that started at
// startedAt.
func (r *router) observeLatency(c *Call, result Result, startedAt time.Time) {
	if result.Outcome == outcome.Answered {
		r.stats.observeLatency(c, time.Since(startedAt))
	}
}

// routeReason returns the reason for attempt n in the log, with the reason of the
// last failure if it is a retry.
func routeReason(n uint32, reason placement.Reason, last Result) string {
	if n == 1 {
		return reason.String()
	}
	return reason.String() + "_after_" + last.Reason.String()
}

// retryable reports whether the call may be sent to another target after result.
// Unless the attempt certainly did not run, only a repeatable call may.
func retryable(c *Call, result Result) bool {
	switch {
	case c.Response.Started(), result.Outcome == outcome.Answered:
		return false
	case result.Outcome == outcome.NotRun:
		return result.Reason.RetryElsewhere()
	}
	return c.Repeatable() && result.Reason.RetryElsewhere()
}

// choose returns the target for the next attempt and the placement reason, and
// false if there is none besides those in tried.
func (r *router) choose(c *Call, now time.Time, tried map[string]bool) (target.Target, placement.Reason, bool) {
	v := r.views.get(c, r.targets.Targets())
	if c.Suspect {
		return v.chooseForSuspect(c, now, tried)
	}
	return v.choose(c, r.links.hints, now, tried)
}

// eligible reports whether t may run c: it belongs to the service itself, or has
// the same base model and its owner lends capacity to the caller's team.
func eligible(c *Call, t target.Target) bool {
	if t.Team == c.Owner {
		return t.Service == c.Service
	}
	if c.Base == "" {
		return false
	}
	owner := c.Configuration.Team(t.Team)
	if owner == nil {
		return false
	}
	s, ok := owner.Service(t.Service)
	return ok && s.Kind == configuration.ModelService && s.Base == c.Base && s.Lending.Lends(c.Team.Name)
}

// attempt sends the call to t as attempt n and relays the response.
func (r *router) attempt(ctx context.Context, c *Call, t target.Target, n uint32, now time.Time) Result {
	l := r.links.get(t)
	dialCtx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	p, err := l.submit(dialCtx, newSubmit(c, t, n, now))
	if err != nil {
		unreachable := rejected(outcome.TargetLost, "the target cannot be reached")
		unreachable.Unsent = true
		return unreachable
	}
	defer l.remove(p)
	return r.settle(ctx, c, n, relay(ctx, c, l, p))
}

// newSubmit returns the message that submits c to t as attempt n.
func newSubmit(c *Call, t target.Target, n uint32, now time.Time) peer.Submit {
	s := peer.Submit{
		Request:     c.ID,
		Attempt:     n,
		Revision:    c.Configuration.Revision,
		Epoch:       t.Epoch,
		Team:        c.Team.Name,
		Owner:       t.Team,
		Service:     t.Service,
		Adapter:     c.Adapter,
		Method:      c.Method,
		Path:        c.TargetPath,
		ContentType: c.ContentType,
		Body:        c.TargetBody,
		Priority:    c.Priority,
		StartWithin: c.Deadline.Sub(now),
		Suspect:     c.Suspect,
	}
	if c.IdempotencyKey != "" {
		s.IdempotencyKey = c.claimName()
		s.BodyDigest = c.claimDigest()
	}
	return s
}

// relay writes the messages of a response to the caller and acknowledges them. It
// cancels the attempt at the target if the response is lost or ctx ends.
func relay(ctx context.Context, c *Call, l *link, p *pendingAttempt) Result {
	for {
		select {
		case m, ok := <-p.messages:
			if !ok {
				l.send(peer.Cancel{Request: p.submit.Request, Attempt: p.submit.Attempt})
				return Result{Outcome: outcome.Unknown, Reason: outcome.TargetLost, Detail: "the target stopped answering"}
			}
			if result, ended := relayMessage(c, l, m); ended {
				return result
			}
		case <-ctx.Done():
			l.send(peer.Cancel{Request: p.submit.Request, Attempt: p.submit.Attempt})
			return Result{Outcome: outcome.Unknown, Reason: outcome.Cancelled}
		}
	}
}

// relayMessage handles one message of a response. It returns the result and true
// if the response ended with it.
func relayMessage(c *Call, l *link, m peer.Message) (Result, bool) {
	switch m := m.(type) {
	case peer.Refusal:
		l.send(peer.Ack{Request: m.Request, Attempt: m.Attempt, EndReceived: true})
		result := rejected(m.Reason, "the target refused the request before running it")
		result.Running, result.Queued = m.Running, m.Queued
		return result, true
	case peer.Head:
		c.Response.Start(m.Status, m.ContentType)
	case peer.Part:
		if err := c.Response.Write(m.Data); err != nil {
			l.send(peer.Cancel{Request: m.Request, Attempt: m.Attempt})
			return Result{Outcome: outcome.Unknown, Reason: outcome.Cancelled}, true
		}
		if (m.Seq+1)%ackIntervalParts == 0 {
			l.send(peer.Ack{Request: m.Request, Attempt: m.Attempt, Next: m.Seq + 1})
		}
	case peer.End:
		l.send(peer.Ack{Request: m.Request, Attempt: m.Attempt, Next: m.Parts, EndReceived: true})
		return Result{Outcome: m.Outcome, Reason: m.Reason}, true
	}
	return Result{}, false
}
