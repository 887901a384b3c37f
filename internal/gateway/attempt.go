package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/upstream"
	"github.com/borageusher/borageusher/pkg/routing"
)

// attempt sends the call, whose prompt was offered with o, to a target and relays the
// response. It ends run.
func (g *Gateway) attempt(ctx context.Context, w http.ResponseWriter, c *call, sel selection, o *offer, run *segmentRun) outcome {
	now := time.Now()
	defer g.CrashTracker.segments.end(run)
	if o != nil {
		sel.backlog = o.ahead
	}
	req := c.request
	req.Header = g.HeaderCodec.TargetHeader(c.header, AttemptMeta{
		Instance:    sel.replica.ID,
		Remaining:   c.remaining(now),
		Urgency:     g.urgencyAt(now, c, sel),
		LastEventID: c.lastEventID,
		Identified:  c.identified,
		Workspace:   c.workspaceName(),
	})
	g.Log.Event(event.AttemptSent).
		Str("request", c.meta.ID).
		Str("target", sel.replica.ID).
		Str("version", sel.replica.Version).
		Int("load", sel.load).
		Int("ahead", sel.backlog).
		Dur("wait", sel.wait).
		Dur("state_age", sel.stateAge).
		Dur("permit", c.permitWait).
		Send()
	c.recordDecision("sent", sel)
	c.permitTarget, c.permitRefusals, c.permitUntil = nil, 0, time.Time{}
	g.Scope.Counter("attempts").Inc(1)
	attemptCtx, cancel := g.withAttemptTimeout(ctx, c)
	defer cancel()
	version := g.Fleet.softwareVersion(now, sel.target)
	active := g.Fleet.beginAttempt(now, sel.target, c, o, cancel)
	defer g.Fleet.endAttempt(sel.target, c.adapter, active)
	g.Scope.Counter("prompt_tokens").Inc(int64(active.promptTokens))
	g.Scope.Counter("prompt_tokens_cached").Inc(int64(active.sent.cached))
	defer func() { c.memory.shrink(c.fallbackHeld) }()
	g.recordUse(now, c)
	resp, err := g.Client.Do(attemptCtx, sel.replica.Addr, &req)
	if err != nil {
		if !upstream.WasSent(err) {
			g.withdrawUse(time.Now(), c, now)
		}
		return g.handleNoResponse(ctx, c, sel, run, err, now)
	}
	defer resp.Close()
	g.Scope.Counter("responses_skipped").Inc(int64(resp.Skipped))
	c.attemptsSent++
	meta := g.HeaderCodec.ParseResponse(resp.Status, resp.Header)
	if resp.Status != http.StatusMisdirectedRequest { // else another incarnation may answer
		g.CrashTracker.recordAlive(now, sel.target.incarnation)
	}
	g.Fleet.observeNotice(time.Now(), now, sel.target, meta)
	g.Fleet.observeRateLimit(time.Now(), sel.target, now, meta.RateLimit)
	g.Fleet.observeSender(time.Now(), now, sel.target, senderOf(resp.Status, meta, sel.replica.ID, c.model != ""))
	// A 400 is relayed as the final response even if the request did not run, and a
	// success contradicts a refusal.
	refusal := meta.NotRun && resp.Status >= 300 && resp.Status != http.StatusBadRequest
	if refusal {
		resp.Discard() // only the status counts
	}
	if refusal && !resp.Followed() {
		g.withdrawUse(time.Now(), c, now)
		return g.handleRefusal(c, sel, resp, meta)
	}
	c.possibleRuns++
	c.tried[sel.replica.ID] = true
	g.Fleet.observeLoad(time.Now(), sel.target, meta.Load)
	if refusal { // what follows may be the response of a run
		return g.recordResult(ctx, c, sel, run, broken, errors.New("a refusal was followed by other bytes"), now)
	}
	if !isEventStream(resp) || !meta.Signed || meta.Reencoded || meta.NotRun {
		out, err := g.relayBuffered(w, c, resp, meta)
		if out == delivered && resp.Status < 300 && c.model == "" { // failures may be fast
			end := time.Now()
			g.Fleet.observePlain(end, sel.target, sel.load, end.Sub(now))
		}
		return g.recordResult(ctx, c, sel, run, out, err, now)
	}
	onBegin := func(at time.Time) { g.Fleet.recordEventBegin(at, active) }
	onEvent := func(at time.Time, first bool) error {
		if first && c.continues() && g.Fleet.softwareVersion(at, sel.target) != c.softwareVersion {
			return errVersionChanged
		}
		if !c.headerSent {
			if !c.takesUp() {
				g.Fleet.beginVersion(at, c, sel.target, version)
			}
			g.Fleet.recordOrigin(at, c, sel.target)
		} else {
			g.Fleet.confirmVersion(at, c, sel.target)
		}
		if first {
			active.firstEventAt = at
			g.Fleet.recordFirstEvent(at, sel.target, active, sel.backlog, at.Sub(now))
		} else {
			g.Fleet.recordGap(at, active, c.route.MaxEventGap)
			// A target that crashes while it writes may have sent one event.
			g.CrashTracker.segments.recordAnswer(at, run)
		}
		active.events++
		g.Fleet.recordActivity(at, active)
		return nil
	}
	out, err := g.relayStream(w, c, resp, onBegin, onEvent)
	if errors.Is(err, errVersionChanged) { // not a failure of the target
		g.logFailedAttempt(c, sel, out, nil, err)
		return out
	}
	if out == delivered {
		g.Fleet.observeEvents(time.Now(), sel.target, active.events, c.lastEventAt.Sub(active.firstEventAt))
	}
	if active.unfinished.Load() && out == broken {
		err = errEventTooSlow
	}
	return g.recordResult(ctx, c, sel, run, out, err, now)
}

// Timeout of an attempt that leaves time for another one.
const (
	// attemptTimeoutShare is the share of the objective after which an attempt
	// without a response is canceled; the remainder suffices for another
	// attempt.
	attemptTimeoutShare = 0.6
	// minMeanDurations is the lower bound of an attempt's timeout, in mean
	// response times of the service.
	minMeanDurations = 4
)

// withAttemptTimeout returns a context that ends an attempt of a safe request
// early when another attempt may follow, so that an unresponsive target does not
// use up the call's time.
func (g *Gateway) withAttemptTimeout(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	if c.route.Kind != routing.Safe || c.possibleRuns+1 >= c.route.MaxAttempts {
		return context.WithCancel(ctx)
	}
	mean := g.Fleet.meanDuration(c.service)
	if mean == 0 {
		return context.WithCancel(ctx)
	}
	limit := max(time.Duration(attemptTimeoutShare*float64(c.route.Objective)), minMeanDurations*mean)
	return context.WithTimeout(ctx, limit)
}

// isEventStream reports whether a response is a stream of server-sent events.
func isEventStream(resp *upstream.Response) bool {
	return resp.Status == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// recordResult updates the target's statistics after an attempt that got a
// response. err is the reason if the response is not usable.
func (g *Gateway) recordResult(ctx context.Context, c *call, sel selection, run *segmentRun, out outcome, err error, start time.Time) outcome {
	now := time.Now()
	switch out {
	case delivered:
		g.CrashTracker.segments.recordAnswer(now, run)
		first := now
		if c.firstEvent.After(start) {
			first = c.firstEvent
		}
		g.Fleet.observeLatency(now, sel.target, first.Sub(start), now.Sub(start))
	case broken, failed:
		if ctx.Err() != nil {
			g.recordSilence(now, c, sel, start)
			break
		}
		if out == broken {
			g.CrashTracker.recordBroken(now, sel.target.incarnation, c, run, err)
			g.probeAfterBreak(now, sel)
		}
		g.Fleet.recordFailure(now, sel.target)
		g.logFailedAttempt(c, sel, out, nil, err)
	}
	return out
}

// handleNoResponse records an attempt that failed before a response, and returns
// its outcome: notSent if the target can't have received the request, otherwise
// broken.
func (g *Gateway) handleNoResponse(ctx context.Context, c *call, sel selection, run *segmentRun, err error, start time.Time) outcome {
	now := time.Now()
	if !upstream.WasSent(err) {
		c.connectFailures++
		c.refused[sel.replica.ID] = true
		if ctx.Err() == nil {
			if errors.Is(err, syscall.ECONNREFUSED) {
				g.probeAfterBreak(now, sel)
				g.Fleet.recordRefusedConn(now, sel.target)
			}
			g.Fleet.recordConnectFailure(now, sel.target)
			g.logFailedAttempt(c, sel, notSent, nil, err)
		}
		return notSent
	}
	c.attemptsSent++
	c.possibleRuns++
	c.tried[sel.replica.ID] = true
	if ctx.Err() == nil {
		g.Fleet.recordFailure(now, sel.target)
		g.CrashTracker.recordBroken(now, sel.target.incarnation, c, run, err)
		g.probeAfterBreak(now, sel)
		g.Client.CloseIdleTo(sel.replica.Addr)
	} else {
		g.recordSilence(now, c, sel, start)
	}
	g.logFailedAttempt(c, sel, broken, nil, err)
	return broken
}

// recordSilence handles an attempt that ended because the caller disconnected or
// the call's deadline passed. It counts as a failure of the target if it ran for
// longer than the objective without a first event.
func (g *Gateway) recordSilence(now time.Time, c *call, sel selection, start time.Time) {
	if c.firstEvent.Before(start) && now.Sub(start) > c.route.Objective {
		g.Fleet.recordFailure(now, sel.target)
	}
}

// handleRefusal records an attempt that the target proved not to have run.
func (g *Gateway) handleRefusal(c *call, sel selection, resp *upstream.Response, meta ResponseMeta) outcome {
	c.refused[sel.replica.ID] = true
	g.Fleet.observeLoad(time.Now(), sel.target, meta.Load)
	if resp.Status == http.StatusMisdirectedRequest { // another incarnation, or the adapter is not resident
		g.Fleet.removeResident(sel.target, c.adapter)
	}
	g.logFailedAttempt(c, sel, refused, resp, errors.New(http.StatusText(resp.Status)))
	return refused
}

// recordDecision appends a routing decision to the history, which is logged if
// the call fails.
func (c *call) recordDecision(what string, sel selection) {
	c.history = append(c.history, fmt.Sprintf("%s %s load=%d wait=%s age=%s at=%s", what, sel.replica.ID, sel.load,
		sel.wait.Round(time.Millisecond), sel.stateAge.Round(time.Millisecond), time.Since(c.start).Round(time.Millisecond)))
}

// logFailedAttempt logs and counts an attempt that produced no final response
// for the call. refusal is nil unless the target refused it.
func (g *Gateway) logFailedAttempt(c *call, sel selection, out outcome, refusal *upstream.Response, err error) {
	g.Scope.Tagged(map[string]string{"outcome": outcomeNames[out]}).Counter("attempts_failed").Inc(1)
	e := g.Log.Event(event.AttemptEnded).
		Str("request", c.meta.ID).
		Str("target", sel.replica.ID).
		Str("outcome", outcomeNames[out])
	if refusal != nil {
		e = e.Int("status", refusal.Status).Int("earlier", refusal.Earlier).Int("skipped", refusal.Skipped)
	}
	e.Err(err).Send()
}

// relayBuffered reads a response and writes it to the caller. A body of more than
// maxBufferedBytes, or for which there is no memory, is passed on as it arrives. A 5xx
// response to an idempotent call is kept as the call's fallback instead. If the outcome
// is not delivered, it returns the reason.
func (g *Gateway) relayBuffered(w http.ResponseWriter, c *call, upstreamResp *upstream.Response, meta ResponseMeta) (outcome, error) {
	status := upstreamResp.Status
	switch {
	case status < 300 && !meta.Signed:
		return broken, errors.New("the response is not signed")
	case status < 300 && meta.NotRun:
		return broken, errors.New("the response is a success that is marked as not run")
	case status < 300 && meta.Reencoded:
		return broken, errors.New("the response has another encoding than the target's")
	case impliesNotRun(status):
		return broken, errors.Newf("status %d without proof that the request has not run", status)
	case c.headerSent:
		return broken, errors.New("a started stream can't continue with another response")
	}
	headBytes := c.memory.bytes
	body, err := readBuffered(upstreamResp, upstreamResp.Length, c.memory.reserve)
	long := errors.Is(err, errNotBuffered)
	if err != nil && !long {
		return broken, err
	}
	resp := &bufferedResponse{status: status, header: upstreamResp.Header, body: body}
	if status >= 500 && c.idempotent() {
		if long {
			return failed, err
		}
		c.fallback, c.fallbackHeld = resp, c.memory.bytes-c.fallbackHeld
		return failed, errors.Newf("status %d", status)
	}
	if long {
		return g.relayLong(w, c, upstreamResp, body, headBytes)
	}
	upstreamResp.Close() // frees the connection before the caller sends its next request
	if err := g.writeResponse(w, resp); err != nil {
		return callerLeft, nil
	}
	return delivered, nil
}

// relayLong writes a response whose body begins with head to the caller, and
// passes on the rest of the body as it arrives. It returns all but kept of the call's
// memory once the head is written.
func (g *Gateway) relayLong(w http.ResponseWriter, c *call, resp *upstream.Response, head []byte, kept int64) (outcome, error) {
	_ = http.NewResponseController(w).SetWriteDeadline(c.deadline.Add(writeMargin)) // not supported by httptest.ResponseRecorder
	g.writeHeader(w, resp.Status, resp.Header, resp.Length)
	c.headerSent, c.unrepeatable = true, true
	if _, err := w.Write(head); err != nil {
		return callerLeft, nil
	}
	c.memory.shrink(kept)
	body := &errorRecorder{r: resp}
	// The type hides io.ReaderFrom, which would use a larger buffer.
	if _, err := io.CopyBuffer(struct{ io.Writer }{w}, body, make([]byte, freeBufferBytes)); err != nil && body.err == nil {
		return callerLeft, nil
	}
	if body.err != nil {
		return broken, body.err
	}
	return delivered, nil
}

// errorRecorder records the error of a reader, which io.Copy does not distinguish
// from that of the writer.
type errorRecorder struct {
	r   io.Reader
	err error // nil at the end of the input
}

// Read implements io.Reader.
func (e *errorRecorder) Read(p []byte) (int, error) {
	n, err := e.r.Read(p)
	if err != nil && err != io.EOF {
		e.err = err
	}
	return n, err
}

// impliesNotRun reports whether callers take a status as proof that a request
// has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooEarly, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}
