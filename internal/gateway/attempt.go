package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/upstream"
	"github.com/borageusher/borageusher/pkg/routing"
)

// mostBody bounds an answer that is read as a whole.
const mostBody = 32 << 20

// attempt sends the call to a target and relays the answer.
func (g *Gateway) attempt(ctx context.Context, w http.ResponseWriter, c *call, p proposal) outcome {
	now := time.Now()
	req := c.request
	req.Header = g.Dialect.Forward(c.header, Attempt{
		Instance:  p.replica.ID,
		Left:      c.left(now),
		Urgency:   c.route.Urgency,
		LastEvent: c.lastEvent,
	})
	g.Log.At(event.AttemptSent).
		Str("request", c.meta.ID).
		Str("target", p.replica.ID).
		Int("load", p.load).
		Int("ahead", p.ahead).
		Dur("wait", p.wait).
		Dur("state_age", p.age).
		Send()
	c.note("sent", p)
	g.Scope.Counter("attempts").Inc(1)
	within, cancel := g.limitAttempt(ctx, c)
	defer cancel()
	sent := g.Fleet.begin(now, p.node, c, cancel)
	defer g.Fleet.end(p.node, c.adapter, sent)
	answer, err := g.Client.Do(within, p.replica.Addr, &req)
	if err != nil {
		return g.noAnswer(ctx, c, p, err, now)
	}
	defer answer.Close()
	c.sent++
	meta := g.Dialect.Answer(answer.Status, answer.Header)
	if meta.NotRun && answer.Status != http.StatusBadRequest {
		return g.refusal(c, p, answer, meta)
	}
	c.ran++
	c.tried[p.replica.ID] = true
	g.Fleet.observe(time.Now(), p.node, meta.Load)
	if isStream(answer) && meta.Signed && !meta.Encoded {
		out := g.relay(w, c, answer, func(at time.Time, first bool) {
			g.Fleet.heardFrom(at, sent)
			if first {
				g.Fleet.answered(p.node, sent, p.ahead, at.Sub(now))
			}
		})
		return g.finish(ctx, c, p, out, now)
	}
	return g.finish(ctx, c, p, g.relayWhole(w, c, answer, meta), now)
}

// Bounds of an attempt that may be repeated elsewhere in time.
const (
	// attemptPart is the part of the objective after which an attempt without an
	// answer is given up: what is left suffices for another.
	attemptPart = 0.6
	// usualTimes is how many times as long as usual an answer may take at least.
	usualTimes = 4
)

// limitAttempt bounds an attempt of a safe request that another one may follow,
// so that a target that answers nothing does not take all its time.
func (g *Gateway) limitAttempt(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	if c.route.Kind != routing.Safe || c.ran+1 >= c.route.MaxAttempts {
		return context.WithCancel(ctx)
	}
	usual := g.Fleet.usual(c.service)
	if usual == 0 {
		return context.WithCancel(ctx)
	}
	limit := max(time.Duration(attemptPart*float64(c.route.Objective)), usualTimes*usual)
	return context.WithTimeout(ctx, limit)
}

// isStream reports whether an answer consists of events.
func isStream(a *upstream.Answer) bool {
	return a.Status == http.StatusOK && strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}

// finish notes what an attempt that ran tells of the target.
func (g *Gateway) finish(ctx context.Context, c *call, p proposal, out outcome, begun time.Time) outcome {
	now := time.Now()
	switch out {
	case delivered:
		first := now
		if c.firstEvent.After(begun) {
			first = c.firstEvent
		}
		g.Fleet.served(p.node, first.Sub(begun), now.Sub(begun))
	case broken, failed:
		if ctx.Err() != nil {
			g.blameSilence(now, c, p, begun)
			break
		}
		if out == broken {
			g.Crashes.noteBroken(now, p.node.start, c)
		}
		g.Fleet.failed(now, p.node)
		g.ended(c, p, out, nil)
	}
	return out
}

// noAnswer notes an attempt that has no answer.
func (g *Gateway) noAnswer(ctx context.Context, c *call, p proposal, err error, begun time.Time) outcome {
	now := time.Now()
	if !upstream.WasSent(err) {
		c.unsent++
		c.refused[p.replica.ID] = true
		if ctx.Err() == nil {
			if errors.Is(err, syscall.ECONNREFUSED) {
				g.Crashes.noteDown(now, p.node.start)
			}
			g.Fleet.unreachable(now, p.node)
			g.ended(c, p, notSent, err)
		}
		return notSent
	}
	c.sent++
	c.ran++
	c.tried[p.replica.ID] = true
	if ctx.Err() == nil {
		g.Fleet.failed(now, p.node)
		g.Crashes.noteBroken(now, p.node.start, c)
		g.Client.Forget(p.replica.Addr)
	} else {
		g.blameSilence(now, c, p, begun)
	}
	g.ended(c, p, broken, err)
	return broken
}

// blameSilence counts an attempt that the caller gave up as a failure of the
// target if nothing had come of it in the whole objective.
func (g *Gateway) blameSilence(now time.Time, c *call, p proposal, begun time.Time) {
	if c.firstEvent.Before(begun) && now.Sub(begun) > c.route.Objective {
		g.Fleet.failed(now, p.node)
	}
}

// refusal notes an attempt that the target proved not to have run.
func (g *Gateway) refusal(c *call, p proposal, a *upstream.Answer, meta AnswerMeta) outcome {
	_, _ = io.Copy(io.Discard, io.LimitReader(a, mostBody)) // the status is all that counts
	c.refused[p.replica.ID] = true
	g.Fleet.observe(time.Now(), p.node, meta.Load)
	if a.Status == http.StatusMisdirectedRequest {
		g.Fleet.lacks(p.node, c.adapter)
	}
	g.ended(c, p, refused, errors.New(http.StatusText(a.Status)))
	return refused
}

// note keeps a decision for the line that a failed call ends with.
func (c *call) note(what string, p proposal) {
	c.trail = append(c.trail, fmt.Sprintf("%s %s load=%d wait=%s age=%s at=%s", what, p.replica.ID, p.load,
		p.wait.Round(time.Millisecond), p.age.Round(time.Millisecond), time.Since(c.start).Round(time.Millisecond)))
}

// ended logs and counts an attempt that did not answer the call.
func (g *Gateway) ended(c *call, p proposal, out outcome, err error) {
	g.Scope.Tagged(map[string]string{"outcome": outcomeNames[out]}).Counter("attempts_failed").Inc(1)
	g.Log.At(event.AttemptEnded).
		Str("request", c.meta.ID).
		Str("target", p.replica.ID).
		Str("outcome", outcomeNames[out]).
		Err(err).
		Send()
}

// relayWhole reads the whole answer and passes it on.
func (g *Gateway) relayWhole(w http.ResponseWriter, c *call, a *upstream.Answer, meta AnswerMeta) outcome {
	body, err := io.ReadAll(io.LimitReader(a, mostBody))
	switch {
	case err != nil:
		return broken
	case a.Status < 300 && (!meta.Signed || meta.Encoded):
		return broken // not the target's answer
	case promises(a.Status):
		return broken // the target did not prove that the request has not run
	}
	answer := &whole{status: a.Status, header: a.Header, body: body}
	if a.Status >= 500 && c.idempotent() && !c.started {
		c.fallback = answer
		return failed
	}
	if c.started {
		return broken // a stream can't go on with this
	}
	a.Close() // before the caller sends its next request
	g.deliver(w, answer)
	return delivered
}

// promises reports whether a status tells callers that a request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
