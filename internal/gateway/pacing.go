package gateway

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/assignment"
)

// Limits of pacing.
const (
	// paceTimeout is how long a call waits for the first answer to its offer: a round
	// trip between regions, and the time in which a busy targetd is scheduled.
	paceTimeout = 150 * time.Millisecond
	// maxReselections is how often a call chooses again because the answer of a
	// targetd showed that its engine is busier than known. Each takes a round trip.
	maxReselections = 2
	// waitForecastFactor limits the wait for admission to this multiple of its
	// forecast, plus paceTimeout. Then the targetd counts as lost, and the request is
	// sent without its admission.
	waitForecastFactor = 2
)

// offer is a prompt that was offered to a targetd. The fleet's mu guards its fields
// but answers.
type offer struct {
	target  *targetState
	conn    *peer.Conn
	id      uint64
	answers chan peer.PromptAnswer // closed when the connection ends
	stop    <-chan struct{}        // closed when the call has to choose another target
	ahead   int                    // tokens of other prompts, according to the last answer
	paced   bool                   // the prompt may have to wait for its admission
	ended   bool
}

// pace waits until the targetd of the selected target admits the call's prompt. It
// returns the offer to end once the prompt was read, nil if the targetd does not pace
// prompts. If again is set, the call has to choose a target again; if reason is not
// empty, it has failed.
func (g *Gateway) pace(ctx context.Context, c *call, sel selection) (o *offer, again bool, reason string) {
	start := time.Now()
	o = g.Fleet.offerPrompt(start, sel.target, c, g.urgencyAt(start, c, sel))
	if o == nil {
		return nil, false, ""
	}
	if sel.isDistantAndFree() && !o.paced {
		return o, false, "" // the offer only keeps the targetd's count
	}
	answer, state := awaitAnswer(ctx, o, paceTimeout)
	if state == answered {
		answer, state, again, reason = g.awaitAdmission(ctx, c, sel, o, answer)
	}
	g.Scope.Histogram("pacing_seconds", latencyBuckets).RecordDuration(time.Since(start))
	switch {
	case again || reason != "":
		g.Fleet.endOffer(o)
		return nil, again, reason
	case state == callEnded:
		g.Fleet.endOffer(o)
		return nil, false, "timeout"
	case state == connectionLost && c.reselections < maxReselections:
		c.reselections++
		return nil, true, ""
	case !g.Fleet.remainsChosen(time.Now(), sel, c):
		g.Fleet.endOffer(o)
		return nil, true, ""
	case !answer.Admitted:
		g.Log.Event(event.PacingSkipped).Str("request", c.meta.ID).Str("target", sel.replica.ID).
			Dur("waited", time.Since(start)).Int("ahead", answer.Ahead).Send()
	}
	return o, false, ""
}

// isDistantAndFree reports whether the target is in another region and not known to be
// busy. A round trip there takes longer than its answer could save.
func (s selection) isDistantAndFree() bool {
	return s.target.distance == assignment.OtherRegion && s.backlog == 0 && s.load < s.replica.Slots
}

// awaitAdmission handles the first answer to an offer. Unless the prompt was admitted
// at an engine with free slots, it checks whether another holder of the adapter is
// better now, or whether the call is to be rejected, and then waits for the admission.
// A target that would have to load the adapter first is no alternative: its load is
// less well known, and the load delays those that others wait for.
func (g *Gateway) awaitAdmission(
	ctx context.Context, c *call, sel selection, o *offer, first peer.PromptAnswer,
) (answer peer.PromptAnswer, state answerState, again bool, reason string) {
	if first.Admitted && first.Requests < sel.replica.Slots {
		return first, answered, false, ""
	}
	now := time.Now()
	c.offeredTarget = sel.target
	defer func() { c.offeredTarget = nil }()
	next, ok := g.chooseHolder(now, c)
	switch {
	case ok && next.target != sel.target && c.reselections < maxReselections:
		c.reselections++
		c.recordDecision("leaves", sel)
		return first, answered, true, ""
	case ok && next.target == sel.target:
		if reason = g.rejects(now, c, next, false); reason != "" {
			return first, answered, false, reason
		}
	}
	if first.Admitted {
		return first, answered, false, ""
	}
	limit := min(waitForecastFactor*next.wait+paceTimeout, callerTimeout(c.route.Objective)-now.Sub(c.start))
	answer, state, reason = g.awaitTurn(ctx, c, sel, o, first, next.wait, limit)
	if state != answered {
		answer = first
	}
	return answer, state, false, reason
}

// awaitTurn waits for the admission of a prompt for at most limit. wait is its forecast
// when it was offered with first as the answer. If the forecast gets so much worse that the
// caller would leave first, it returns the reason to reject the call.
func (g *Gateway) awaitTurn(
	ctx context.Context, c *call, sel selection, o *offer, first peer.PromptAnswer, wait, limit time.Duration,
) (answer peer.PromptAnswer, state answerState, reason string) {
	start := time.Now()
	read := g.Fleet.readTimeOf(c.service, first.Ahead)
	for {
		left := limit - time.Since(start)
		answer, state = awaitAnswer(ctx, o, min(left, waitPollInterval))
		if state != unanswered || o.stopped() || left <= waitPollInterval {
			return answer, state, ""
		}
		now := time.Now()
		// Newcomers wait behind the prompt, so their forecast is used only if its own has
		// passed, and then up to the time by which it has: a prompt that is a little late is
		// about to be admitted.
		current := wait + g.Fleet.readTimeOf(c.service, first.Ahead) - read - now.Sub(start)
		next, ok := g.Fleet.chooseResident(now, c)
		if !ok || next.target != sel.target {
			continue
		}
		if current > 0 {
			next.wait = current
		} else {
			next.wait = min(next.wait, -current)
		}
		if reason = g.rejects(now, c, next, true); reason != "" {
			return answer, state, reason
		}
	}
}

// stopped reports whether the call has to choose another target.
func (o *offer) stopped() bool {
	select {
	case <-o.stop:
		return true
	default:
		return false
	}
}

// readTimeOf returns the time in which an engine of the service reads prompts.
func (f *Fleet) readTimeOf(service string, tokens int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(tokens) * f.tokenTime(service)
}

// remainsChosen reports whether the selected target may still be sent the call after
// a wait: it serves, does not leave unless it did when it was selected, and holds the
// announced version of the adapter, if any.
func (f *Fleet) remainsChosen(now time.Time, sel selection, c *call) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return sel.target.usableFor(now, sel.leaving) && f.suits(now, c, sel.target) && (c.model == "" || sel.target.hasVersion(c.adapter, f.version(c.adapter)))
}

// answerState is the result of waiting for an answer.
type answerState uint8

const (
	answered answerState = iota
	unanswered
	connectionLost
	callEnded
)

// awaitAnswer waits for the next answer to an offer, until the limit or until its
// target turns the call away.
func awaitAnswer(ctx context.Context, o *offer, limit time.Duration) (peer.PromptAnswer, answerState) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case m, ok := <-o.answers:
		if !ok {
			return peer.PromptAnswer{}, connectionLost
		}
		return m, answered
	case <-timer.C:
		return peer.PromptAnswer{}, unanswered
	case <-o.stop:
		return peer.PromptAnswer{}, unanswered
	case <-ctx.Done():
		return peer.PromptAnswer{}, callEnded
	}
}

// offerPrompt offers a call's prompt to the targetd of t with an urgency. It returns nil if
// that does not pace prompts.
func (f *Fleet) offerPrompt(now time.Time, t *targetState, c *call, urgency int) *offer {
	if c.model == "" {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !t.takesOffers(now) {
		return nil
	}
	t.lastOffer++
	var gap time.Duration
	if now.Before(t.pacedUntil) {
		gap = c.route.MaxEventGap
	}
	o := &offer{
		target:  t,
		conn:    t.conn,
		id:      t.lastOffer,
		answers: make(chan peer.PromptAnswer, 2),
		stop:    t.turnedAway,
		ahead:   t.estimatedBacklog(now, f.tokenTimeAt(now, t)),
		paced:   gap > 0,
	}
	_, err := t.conn.Send(peer.PromptOffer{
		ID:        o.id,
		Tokens:    c.promptTokens(),
		TokenTime: f.tokenTimeAt(now, t),
		Gap:       gap,
		Urgency:   urgency,
	})
	if err != nil {
		return nil // the connection has ended
	}
	t.offers[o.id] = o
	return o
}

// takesOffers reports whether the targetd is offered prompts.
func (t *targetState) takesOffers(now time.Time) bool {
	return t.conn != nil && t.paces && !t.targetdSilent(now)
}

// endOffer tells the targetd that the engine has read the prompt, or that it is not
// sent. It has no effect for nil and for an offer that has ended.
func (f *Fleet) endOffer(o *offer) {
	if o == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endOfferLocked(o)
}

// endOfferLocked does what endOffer does. The caller holds mu.
func (f *Fleet) endOfferLocked(o *offer) {
	if o == nil || o.ended {
		return
	}
	o.ended = true
	delete(o.target.offers, o.id)
	_, _ = o.conn.Send(peer.PromptDone{ID: o.id}) // an ended connection ends its offers
}

// applyPromptAnswer records the load that a targetd states in an answer and passes the
// answer on.
func (f *Fleet) applyPromptAnswer(now time.Time, t *targetState, m peer.PromptAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := t.offers[m.ID]
	if o == nil {
		return // the call has ended
	}
	o.ahead = m.Ahead
	t.observeBacklog(now, m.Ahead)
	t.observeLoad(now, Load{Running: m.Requests, Slots: t.replica.Slots})
	select {
	case o.answers <- m:
	default: // more answers than the protocol allows
	}
}

// applyPacing records that the targetd of t is offered prompts, and if it was already
// that they have to be paced.
func (f *Fleet) applyPacing(now time.Time, t *targetState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.paces {
		t.pacedUntil = now.Add(peer.PacingValidity)
	}
	t.paces = t.conn != nil
}

// endPacing ends the offers on a connection that has ended. The caller holds mu.
func (t *targetState) endPacing() {
	t.paces, t.pacedUntil = false, time.Time{}
	for id, o := range t.offers {
		o.ended = true
		close(o.answers)
		delete(t.offers, id)
	}
}

// tokenTime returns the time in which an engine of the service reads a token of a
// prompt, zero if it is not known yet. The caller holds mu.
func (f *Fleet) tokenTime(service string) time.Duration {
	return f.latencyOf(service).readTime.Slope()
}

// observeBacklog records the tokens of prompts that the engine has to read.
func (t *targetState) observeBacklog(now time.Time, tokens int) {
	t.backlog, t.backlogAt, t.unreadAtBacklog = tokens, now, t.unreadTokens
}

// estimatedBacklog returns the estimated number of tokens of prompts that the engine
// has to read: those known from the last answer, less those read since, plus those
// of this gateway sent since.
func (t *targetState) estimatedBacklog(now time.Time, tokenTime time.Duration) int {
	known := 0
	if tokenTime > 0 {
		known = max(0, t.backlog-int(now.Sub(t.backlogAt)/tokenTime))
	}
	return max(t.unreadTokens, known+t.unreadTokens-t.unreadAtBacklog)
}
