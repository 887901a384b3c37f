package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/holder"
)

// Limits of the wait for permits.
const (
	// firstPermitShare is the share of the objective that a call waits for the first
	// permit. If it takes longer, the call chooses again, as the answer says how long. It
	// equals assignment.slackFraction, the extra wait for which a target is kept.
	firstPermitShare = 0.3
	// permitWaitShare is the share of the objective that a call waits for permits in all,
	// so that its answer can still be on time.
	permitWaitShare = 0.5
	// maxPermitRefusals is the number of refused permits after which a call is rejected.
	// Each takes a round trip.
	maxPermitRefusals = 3
	// permitValidity is how long a call keeps a permit while it waits for an adapter or for
	// the admission of its prompt: a quarter of the time over which the users' rules count
	// a target's requests.
	permitValidity = time.Second
)

// reasonRateLimited is the reason of a call that can't get a permit in time.
const reasonRateLimited = "rate_limited"

// permitRequest is a request for a permit that was sent to an issuer.
type permitRequest struct {
	target  *targetState           // that limits its rate
	limit   *rateLimit             // of the target
	issuer  *targetState           // whose targetd was asked, nil for this process
	conn    *peer.Conn             // to that targetd
	id      uint64                 // unique in the fleet
	answers chan peer.PermitAnswer // closed when the connection ends
	stop    <-chan struct{}        // closed when the call has to choose another target
}

// hasPermit reports whether the call may be sent to a target that limits its rate.
func (c *call) hasPermit(now time.Time, t *targetState) bool {
	return c.permitTarget == t && now.Sub(c.permitAt) <= permitValidity
}

// awaitPermit waits for a permit to send the call to the selected target if that limits
// its request rate. If again is set, the call has to choose a target again; if reason is
// not empty, it has failed.
func (g *Gateway) awaitPermit(ctx context.Context, c *call, sel selection) (again bool, reason string) {
	start := time.Now()
	delay, limited := g.Fleet.permitDelay(start, sel.target)
	if !limited || c.hasPermit(start, sel.target) {
		return false, ""
	}
	if c.permitUntil.IsZero() {
		c.permitUntil = start.Add(min(time.Duration(permitWaitShare*float64(c.route.Objective)), c.remaining(start)/2))
	}
	within := max(0, c.permitUntil.Sub(start))
	switch {
	case c.permitRefusals >= maxPermitRefusals || (c.permitRefusals > 0 && delay > within):
		c.retryAfter = delay + rand.N(delay+1) // so that the callers don't return together
		return false, reasonRateLimited
	case c.permitRefusals == 0:
		within = min(within, time.Duration(firstPermitShare*float64(c.route.Objective)))
	}
	p := g.Fleet.requestPermit(start, sel.target, c, within)
	answer, state := awaitPermitAnswer(ctx, p, within+paceTimeout)
	now := time.Now()
	g.Fleet.endPermitRequest(now, p, answer, state)
	c.permitWait += now.Sub(start)
	g.Scope.Histogram("permit_wait_seconds", latencyBuckets).RecordDuration(now.Sub(start))
	switch {
	case state == callEnded:
		return false, "timeout"
	case answer.Granted:
		c.permitTarget, c.permitAt = sel.target, now
		return !g.Fleet.remainsChosen(now, sel, c), ""
	}
	g.Scope.Counter("permits_refused").Inc(1)
	c.permitRefusals++
	c.recordDecision("lacks_permit", sel)
	return true, ""
}

// awaitPermitAnswer waits for the answer to a request, until the limit or until its
// target turns the call away.
func awaitPermitAnswer(ctx context.Context, p *permitRequest, limit time.Duration) (peer.PermitAnswer, answerState) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case m, ok := <-p.answers:
		if !ok {
			return peer.PermitAnswer{}, connectionLost
		}
		return m, answered
	case <-timer.C:
		return peer.PermitAnswer{}, unanswered
	case <-p.stop:
		return peer.PermitAnswer{}, unanswered
	case <-ctx.Done():
		return peer.PermitAnswer{}, callEnded
	}
}

// needsPermit reports whether the call needs a permit for t and has none.
func (f *Fleet) needsPermit(now time.Time, c *call, t *targetState) bool {
	_, limited := f.permitDelay(now, t)
	return limited && !c.hasPermit(now, t)
}

// permitDelay returns the estimated time until a further request to t gets a permit, and
// whether it needs one.
func (f *Fleet) permitDelay(now time.Time, t *targetState) (delay time.Duration, limited bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return t.limit.permitDelay(now), t.limit.enforced()
}

// requestPermit asks the issuer of t for a permit within a time. If none can be reached,
// this process issues it for an equal part of the rate.
func (f *Fleet) requestPermit(now time.Time, t *targetState, c *call, within time.Duration) *permitRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastPermit++
	p := &permitRequest{target: t, limit: t.limit, id: f.lastPermit, answers: make(chan peer.PermitAnswer, 1), stop: t.turnedAway}
	p.limit.requested++
	p.limit.askedAt = now
	m := peer.PermitRequest{ID: p.id, Limit: t.statedLimit(now), Urgency: c.urgency, Within: within}
	if p.issuer = f.permitIssuer(now, t); p.issuer != nil {
		p.conn = p.issuer.conn
		if _, err := p.conn.Send(m); err == nil {
			p.issuer.permitRequests[p.id] = p.answers
		} else {
			close(p.answers) // the connection has ended
		}
		return p
	}
	entryds := f.highestEntrydCount()
	if entryds == 0 {
		entryds = defaultEntrydCount
	}
	m.Limit.PerSecond, m.Limit.Age = m.Limit.PerSecond/float64(entryds), 0
	f.permits.Request(now, nil, m, func(a peer.PermitAnswer) { p.answers <- a })
	return p
}

// endPermitRequest ends a request, with its answer if it has one.
func (f *Fleet) endPermitRequest(now time.Time, p *permitRequest, answer peer.PermitAnswer, state answerState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p.limit.requested--
	if state == answered {
		p.limit.nextAt = now.Add(answer.Wait)
	}
	if p.issuer == nil {
		f.permits.Cancel(now, nil, p.id)
		return
	}
	delete(p.issuer.permitRequests, p.id)
	if state == unanswered || state == callEnded {
		_, _ = p.conn.Send(peer.PermitCancel{ID: p.id}) // an ended connection ends its requests
	}
}

// applyPermitAnswer passes the answer of a targetd on.
func (f *Fleet) applyPermitAnswer(t *targetState, m peer.PermitAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	answers, ok := t.permitRequests[m.ID]
	if !ok {
		return // the call has ended
	}
	delete(t.permitRequests, m.ID)
	answers <- m // has room, because there is only one answer
}

// endPermitRequests ends the requests on a connection that has ended. The caller holds
// mu.
func (t *targetState) endPermitRequests() {
	for id, answers := range t.permitRequests {
		close(answers)
		delete(t.permitRequests, id)
	}
}

// permitIssuer returns the target whose targetd issues the permits for t: t itself, or one
// near it, because the requests cross the same network. All entryds that have the same
// connections agree on it. It returns nil if none is connected. The caller holds mu.
func (f *Fleet) permitIssuer(now time.Time, t *targetState) *targetState {
	connected := func(o *targetState) bool {
		return o.conn != nil && !o.targetdSilent(now) && (o == t || o.accepts(now))
	}
	s := f.holdersAs(connected, func(o *targetState, p *holder.Process) {
		p.Hash = o.hash // of the whole address, as in earlier releases, with which this one has to agree
		p.Distance = int(f.zoneDistance(t, o))
		if o == t {
			p.Distance = -1
		}
	})
	issuer, _ := s.best(t.hash)
	return issuer
}

// stateLimit tells the issuer of the permits for t of a limit or of its end. The caller
// holds mu.
func (f *Fleet) stateLimit(now time.Time, t *targetState) {
	if issuer := f.permitIssuer(now, t); issuer != nil {
		_, _ = issuer.conn.Send(t.statedLimit(now)) // requests for permits state it again
	}
}

// statedLimit returns the message that states the limit of t.
func (t *targetState) statedLimit(now time.Time) peer.RateLimit {
	l := t.limit
	return peer.RateLimit{Target: t.incarnation, Limited: l.limited, PerSecond: l.perSecond, Age: now.Sub(l.learnedAt)}
}
