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

// maxAttempts bounds the targets that one request is sent to. Targets that
// can't be reached don't count.
const maxAttempts = 4

// Targets gives the known targets.
type Targets interface {
	Targets() []target.Target
}

// router is the end of the filter chain: it offers a call to targets until one
// answers.
type router struct {
	targets  Targets
	views    *views
	suspects Suspects
	links    *links
	loads    *loads
	claims   Claims
	log      event.Log
	scope    tally.Scope
}

// Handle implements Handler.
func (r *router) Handle(ctx context.Context, c *Call, _ time.Time) Result {
	result := r.offer(ctx, c)
	if result.Outcome == outcome.NotRun && c.MayHaveRun {
		result.Outcome = outcome.Unknown // an earlier attempt may have run
	}
	return result
}

// offer offers the call to targets until one answers or none is left.
func (r *router) offer(ctx context.Context, c *Call) Result {
	r.loads.request(c)
	tried := map[string]bool{}
	last := rejected(outcome.NoTarget, "no target can take the request")
	sent := 0
	for n := uint32(1); sent < maxAttempts; n++ {
		now := time.Now()
		if !now.Before(c.Deadline) {
			return rejected(outcome.Expired, "the deadline passed before the request started")
		}
		if result, ok := judge(r.suspects, c, now); n > 1 && !ok {
			return result // others have found out since
		}
		t, why, ok := r.choose(c, now, avoid(c, tried))
		if !ok {
			t, why, ok = r.choose(c, now, tried)
		}
		if !ok {
			break
		}
		tried[t.Name] = true
		r.log.At(event.RouteChosen).Str("request", c.ID).Uint32("attempt", n).Str("target", t.Name).
			Stringer("adapter", c.Adapter).Str("reason", routeReason(n, why, last)).Send()
		result := noteCrash(c, t.Name, r.attempt(ctx, c, t, n, now))
		c.MayHaveRun = c.MayHaveRun || result.Outcome == outcome.Unknown
		if !result.Unsent {
			sent++
		}
		if !mayRetry(c, result) {
			r.observe(c, result, now)
			return result
		}
		r.log.At(event.RouteRefused).Str("request", c.ID).Uint32("attempt", n).Str("target", t.Name).
			Stringer("reason", result.Reason).Send()
		last = result
		if !r.loads.mayRetry(c, result) {
			r.log.At(event.RetryRefused).Str("request", c.ID).Str("owner", c.Owner).Str("service", c.Service).Send()
			break
		}
		r.scope.Counter("retries").Inc(1)
	}
	last.After = r.loads.after(c, last)
	return last
}

// observe learns how long an answered attempt took.
func (r *router) observe(c *Call, result Result, began time.Time) {
	if result.Outcome == outcome.Answered {
		r.loads.answered(c, time.Since(began))
	}
}

func routeReason(n uint32, why placement.Reason, last Result) string {
	if n == 1 {
		return why.String()
	}
	return why.String() + "_after_" + last.Reason.String()
}

// mayRetry reports whether a result leaves the call to be offered elsewhere.
func mayRetry(c *Call, result Result) bool {
	switch {
	case c.Response.Started(), result.Outcome == outcome.Answered:
		return false
	case result.Outcome == outcome.NotRun:
		return result.Reason.Elsewhere()
	}
	return c.Repeatable() && result.Reason.Elsewhere()
}

// choose returns the target for the next attempt and why it was chosen.
func (r *router) choose(c *Call, now time.Time, tried map[string]bool) (target.Target, placement.Reason, bool) {
	v := r.views.get(c, r.targets.Targets())
	if c.Suspect {
		return v.chooseForTrial(c, now, tried)
	}
	return v.choose(c, r.links.hints, now, tried)
}

// fits reports whether t may run c: a target of the service itself, or one of
// the same base model whose owner lends to the caller's team.
func fits(c *Call, t target.Target) bool {
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
	return ok && s.Kind == configuration.Model && s.Base == c.Base && s.Lending.Lends(c.Team.Name)
}

// attempt offers the call to one target and relays the answer.
func (r *router) attempt(ctx context.Context, c *Call, t target.Target, n uint32, now time.Time) Result {
	l := r.links.get(t)
	dialCtx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	p, err := l.submit(dialCtx, submitOf(c, t, n, now))
	if err != nil {
		unreachable := rejected(outcome.TargetLost, "the target cannot be reached")
		unreachable.Unsent = true
		return unreachable
	}
	defer l.forget(p)
	return r.settle(ctx, c, n, relay(ctx, c, l, p))
}

func submitOf(c *Call, t target.Target, n uint32, now time.Time) peer.Submit {
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
		StartBy:     c.Deadline.Sub(now),
		Suspect:     c.Suspect,
	}
	if c.IdempotencyKey != "" {
		s.IdempotencyKey = c.claimName()
		s.BodyDigest = c.claimDigest()
	}
	return s
}

// relay passes an answer to the caller and acknowledges what it took.
func relay(ctx context.Context, c *Call, l *link, p *pending) Result {
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

// relayMessage handles one message of an answer and reports whether it was the
// last one.
func relayMessage(c *Call, l *link, m peer.Message) (Result, bool) {
	switch m := m.(type) {
	case peer.Refusal:
		l.send(peer.Ack{Request: m.Request, Attempt: m.Attempt, Ended: true})
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
		if (m.Seq+1)%ackEvery == 0 {
			l.send(peer.Ack{Request: m.Request, Attempt: m.Attempt, Next: m.Seq + 1})
		}
	case peer.End:
		l.send(peer.Ack{Request: m.Request, Attempt: m.Attempt, Next: m.Count, Ended: true})
		return Result{Outcome: m.Outcome, Reason: m.Reason}, true
	}
	return Result{}, false
}
