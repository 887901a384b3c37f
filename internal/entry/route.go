package entry

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/placement"
	"github.com/borageusher/borageusher/pkg/target"
)

// maxAttempts bounds the targets that one request is offered to.
const maxAttempts = 4

// routeRetryAfter is what callers are told to wait when no target takes a request.
const routeRetryAfter = time.Second

// Targets gives the known targets.
type Targets interface {
	Targets() []target.Target
}

// router is the end of the filter chain: it offers a call to targets until one
// answers.
type router struct {
	region  string
	targets Targets
	links   *links
	log     event.Log
	scope   tally.Scope
}

// Handle implements Handler.
func (r *router) Handle(ctx context.Context, c *Call, _ time.Time) Result {
	tried := map[string]bool{}
	last := rejected(outcome.NoTarget, "no target can take the request")
	for n := uint32(1); n <= maxAttempts; n++ {
		now := time.Now()
		if !now.Before(c.Deadline) {
			return rejected(outcome.Expired, "the deadline passed before the request started")
		}
		t, ok := r.choose(c, now, tried)
		if !ok {
			break
		}
		tried[t.Name] = true
		r.log.At(event.RouteChosen).Str("request", c.ID).Uint32("attempt", n).Str("target", t.Name).
			Stringer("adapter", c.Adapter).Str("reason", routeReason(n, last)).Send()
		result := r.attempt(ctx, c, t, n, now)
		if !mayRetry(c, result) {
			return result
		}
		r.log.At(event.RouteRefused).Str("request", c.ID).Uint32("attempt", n).Str("target", t.Name).
			Stringer("reason", result.Reason).Send()
		r.scope.Counter("retries").Inc(1)
		last = result
	}
	last.After = routeRetryAfter
	return last
}

func routeReason(n uint32, last Result) string {
	if n == 1 {
		return "home"
	}
	return "retry_after_" + last.Reason.String()
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

// choose returns the target for the next attempt.
func (r *router) choose(c *Call, now time.Time, tried map[string]bool) (target.Target, bool) {
	var fitting []target.Target
	var candidates []placement.Candidate
	for _, t := range r.targets.Targets() {
		if t.State != target.Live || !fits(c, t) {
			continue
		}
		cand := placement.Candidate{
			Hash:     placement.Hash(t.Name),
			Region:   t.Region,
			Slots:    t.Slots,
			Tried:    tried[t.Name],
			Borrowed: t.Team != c.Owner,
		}
		if l := r.links.peek(t.Name); l != nil {
			cand.InFlight = l.inFlight()
			cand.Tried = cand.Tried || !l.usable(now)
		}
		fitting = append(fitting, t)
		candidates = append(candidates, cand)
	}
	key := c.Adapter.String()
	if c.Adapter.IsZero() {
		key = c.ID
	}
	i, ok := placement.Choose(placement.Hash(key), candidates, r.region)
	if !ok {
		return target.Target{}, false
	}
	return fitting[i], true
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
		return rejected(outcome.TargetLost, "the target cannot be reached")
	}
	defer l.forget(p)
	return relay(ctx, c, l, p)
}

func submitOf(c *Call, t target.Target, n uint32, now time.Time) peer.Submit {
	s := peer.Submit{
		Request:        c.ID,
		Attempt:        n,
		Revision:       c.Configuration.Revision,
		Epoch:          t.Epoch,
		Team:           c.Team.Name,
		Owner:          t.Team,
		Service:        t.Service,
		Adapter:        c.Adapter,
		Method:         c.Method,
		Path:           c.TargetPath,
		ContentType:    c.ContentType,
		Body:           c.TargetBody,
		Priority:       c.Priority,
		StartBy:        c.Deadline.Sub(now),
		IdempotencyKey: c.IdempotencyKey,
	}
	if c.IdempotencyKey != "" {
		digest := sha256.Sum256(c.Body)
		s.BodyDigest = digest[:]
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
		return rejected(m.Reason, "the target refused the request before running it"), true
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
