package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/holder"
	"github.com/borageusher/borageusher/pkg/routing"
	"github.com/borageusher/borageusher/pkg/streams"
	"github.com/borageusher/borageusher/pkg/target"
)

// Limits of the origins of streams.
const (
	// maxOrigins bounds the memory for origins, at about 150 bytes each, to some MB of the
	// VM's. It is far more than the streams of one entryd in progress at once.
	maxOrigins = 1 << 16
	// originCopies is the number of targetds that keep the origin of a stream, as far as
	// possible in different availability zones. If two are lost at once, one still has it.
	originCopies = 3
	// originSpares is the number of further targetds in each availability zone that are
	// asked for an origin: one of them kept it before another one joined.
	originSpares = 1
	// originWaitShare is the share of the objective for which a call waits for the origin of
	// its stream, so that its answer can still be on time, or of the caller's time if that
	// is less.
	originWaitShare = 0.5
	// takeUpTime is the time after a call's deadline in which its caller may take the stream
	// up: about the longest deadline on the users' data sheets. What callers state as their
	// deadline is not used, because it has no bound.
	takeUpTime = 10 * time.Second
)

// Reasons for which a stream that its caller takes up is not continued.
const (
	reasonOriginUnknown    = "origin_unknown"    // no process knows at which version the stream began
	reasonOriginUnanswered = "origin_unanswered" // some processes did not answer in time
)

// streamOrigins is what a fleet knows of the versions at which streams began. It is
// guarded by the fleet's mu.
type streamOrigins struct {
	known   *streams.Table
	own     map[streams.Key]*ownStream // that callers may take up, until they are delivered
	queries map[streams.Key][]*originQuery
	sent    holder.View // of the targetds when the own origins were sent
}

func newStreamOrigins() streamOrigins {
	return streamOrigins{
		known:   streams.NewTable(maxOrigins),
		own:     map[streams.Key]*ownStream{},
		queries: map[streams.Key][]*originQuery{},
	}
}

// ownStream is a stream that this process relays or relayed.
type ownStream struct {
	origin streams.Origin
	until  time.Time // when its caller gives up
	sentTo []*peer.Conn

	target    *targetState
	started   int64 // start of the target that its targetd reported when the stream began
	begunAt   time.Time
	retracted bool // the target had started again before the stream began
}

// inDoubt reports whether the stream may have begun at a later start of its target than the
// origin names: the targetd reports another one now, and did not report the one before for long
// enough after the stream began.
func (s *ownStream) inDoubt() bool {
	return s.retracted || (s.target.state.Started != s.started && !s.confirmed())
}

// confirmed reports whether the start was reported after the stream began, late enough for a
// restart before that to have been reported. Other targets have no targetd, and their start is
// confirmed before the origin is recorded.
func (s *ownStream) confirmed() bool {
	return !s.target.hasTargetd() || !s.target.startConfirmedAt.Before(s.begunAt.Add(restartReportDelay))
}

// originQuery is a call's wait for the origin of its stream.
type originQuery struct {
	key      streams.Key
	asked    map[*peer.Conn]bool // true for those that need not be waited for any more
	expected []*targetState      // whose targetds may keep the origin if they are connected soon
	changed  chan struct{}       // signals that the origin may be known, or that no process does

	view holder.View // of the targetds when the holders were asked
}

// takesUp reports whether the caller of a request continues a stream that an earlier
// request of it began.
func takesUp(route *routing.Route, m RequestMeta) bool {
	return route.Kind == routing.Stream && m.LastEventID != ""
}

// findOrigin returns the origin of the stream that a request takes up. If it is not
// known, it returns the reason. Unknown origins are never guessed: that one version is
// left does not mean that it began the stream.
func (g *Gateway) findOrigin(ctx context.Context, start time.Time, route *routing.Route, m RequestMeta) (o streams.Origin, reason string) {
	q := g.Fleet.beginOriginQuery(streams.KeyOf(m.StreamID))
	within := route.Objective
	if m.Deadline > 0 {
		within = min(within, m.Deadline)
	}
	timer := time.NewTimer(time.Duration(originWaitShare * float64(within)))
	defer timer.Stop()
	pending := m.StreamID != ""
	for ended := false; pending && !ended; {
		if o, pending = g.Fleet.checkOrigin(time.Now(), q); !pending {
			break
		}
		select {
		case <-q.changed:
		case <-timer.C:
			ended = true
		case <-ctx.Done():
			ended = true
		}
	}
	asked := g.Fleet.endOriginQuery(q)
	reason = originReason(route, o, pending)
	g.Log.Event(event.StreamTakenUp).
		Str("request", m.ID).
		Str("stream", m.StreamID).
		Str("last_event", m.LastEventID).
		Str("service", o.Service).
		Str("version", o.Version).
		Int("asked", asked).
		Dur("waited", time.Since(start)).
		Str("reason", reason).
		Send()
	g.Scope.Tagged(map[string]string{"reason": reason}).Counter("streams_taken_up").Inc(1)
	return o, reason
}

// originReason returns the reason for which a stream of that origin is not continued, empty
// if it may be. If the origin is not known, some processes may not have answered yet.
func originReason(route *routing.Route, o streams.Origin, pending bool) string {
	switch {
	case o.Known() && slices.ContainsFunc(route.Shares, func(s routing.Share) bool { return s.Service == o.Service && s.Weight > 0 }):
		return ""
	case o.Known():
		return reasonVersionGone // the route leads to other services now
	case pending:
		return reasonOriginUnanswered
	}
	return reasonOriginUnknown
}

// knownOrigin returns the origin of a stream if this process knows it.
func (f *Fleet) knownOrigin(now time.Time, k streams.Key) (streams.Origin, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retractDoubtful(now, k)
	o, _, ok := f.origins.known.Origin(now, k)
	return o, ok
}

// retractDoubtful retracts the origin of an own stream if it is in doubt. The caller holds mu.
func (f *Fleet) retractDoubtful(now time.Time, k streams.Key) {
	if s := f.origins.own[k]; s != nil && s.inDoubt() {
		f.retractOrigin(now, k, s)
	}
}

// retractOrigin makes the origin of an own stream unknown here and at the targetds that keep it:
// records that contradict each other name none. The caller holds mu.
func (f *Fleet) retractOrigin(now time.Time, k streams.Key, s *ownStream) {
	if s.retracted {
		return
	}
	s.retracted = true
	unknown := streams.Origin{Service: s.origin.Service}
	f.origins.known.Record(now, k, unknown, s.until)
	for _, c := range s.sentTo {
		_, _ = c.Send(peer.StreamOrigin{Stream: uint64(k), Service: unknown.Service, Within: s.until.Sub(now)}) // a targetd that is lost loses the origin too
	}
	f.log.Event(event.OriginRetracted).Str("target", s.target.replica.ID).Str("version", s.origin.Version).Dur("age", now.Sub(s.begunAt)).Send()
}

// retractUnconfirmed retracts the origins of the own streams that began at t shortly before it was
// known to have started again. The caller holds mu.
func (f *Fleet) retractUnconfirmed(now time.Time, t *targetState) {
	for k, s := range f.origins.own {
		if s.target == t && !s.confirmed() {
			f.retractOrigin(now, k, s)
		}
	}
}

// confirmStart records that the targetd of t has reported the start in its entry until now.
func (f *Fleet) confirmStart(now time.Time, t *targetState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.reportsStart(now) {
		t.startConfirmedAt = now
	}
}

func (f *Fleet) beginOriginQuery(k streams.Key) *originQuery {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := &originQuery{key: k, asked: map[*peer.Conn]bool{}, changed: make(chan struct{}, 1)}
	f.origins.queries[k] = append(f.origins.queries[k], q)
	return q
}

// endOriginQuery ends a query and returns the number of targetds that were asked.
func (f *Fleet) endOriginQuery(q *originQuery) (asked int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rest := slices.DeleteFunc(f.origins.queries[q.key], func(o *originQuery) bool { return o == q })
	f.origins.queries[q.key] = rest
	if len(rest) == 0 {
		delete(f.origins.queries, q.key)
	}
	return len(q.asked)
}

// checkOrigin returns the origin that a query is for, if it is known, or else whether it
// may become known. If targetds were connected or lost, it asks those that were not asked
// yet.
func (f *Fleet) checkOrigin(now time.Time, q *originQuery) (o streams.Origin, pending bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retractDoubtful(now, q.key)
	if o, _, ok := f.origins.known.Origin(now, q.key); ok {
		return o, false
	}
	if q.view.Outdated(&f.membership) {
		f.askHolders(now, q)
	}
	for _, done := range q.asked {
		pending = pending || !done
	}
	for _, t := range q.expected {
		pending = pending || (t.conn == nil && t.expectsOriginConn(now))
	}
	return streams.Origin{}, pending
}

// askHolders asks the targetds that may keep the origin of a query and were not asked yet.
// The caller holds mu.
func (f *Fleet) askHolders(now time.Time, q *originQuery) {
	keepers, newKeepers := f.holders((*targetState).keepsOrigins), f.holders((*targetState).keepsNewOrigins)
	ask := keepers.originHolders(q.key, originSpares)
	for _, t := range append(ask, newKeepers.originHolders(q.key, originSpares)...) {
		if _, ok := q.asked[t.conn]; !ok {
			_, err := t.conn.Send(peer.OriginRequest{Stream: uint64(q.key)})
			q.asked[t.conn] = err != nil
		}
	}
	q.expected = nil
	if expects := func(t *targetState) bool { return t.expectsOriginConn(now) }; len(f.holders(expects).targets) > 0 {
		both := f.holders(func(t *targetState) bool { return t.keepsOrigins() || expects(t) })
		q.expected = both.originHolders(q.key, originSpares)
	}
}

// keepsOrigins reports whether the target's targetd is connected and keeps origins.
func (t *targetState) keepsOrigins() bool { return t.conn != nil && t.conn.KeepsOrigins() }

// keepsNewOrigins reports whether the target's targetd is to be sent further origins.
func (t *targetState) keepsNewOrigins() bool {
	return t.keepsOrigins() && t.replica.State == target.Live && !t.notice.leaving && !t.state.Departing
}

// expectsOriginConn reports whether a connection to a targetd that may keep origins is
// expected soon: the target was discovered recently, or the connection was lost recently.
func (t *targetState) expectsOriginConn(now time.Time) bool {
	if t.closeConn == nil || t.conn != nil {
		return false
	}
	return t.connecting(now) || (!t.originsLostAt.IsZero() && now.Sub(t.originsLostAt) < connectGrace)
}

// originHolders returns those that keep the origin of a stream, in order of preference, and
// in each availability zone as many spares.
func (s *holderSet) originHolders(k streams.Key, spares int) []*targetState {
	var out []*targetState
	for _, i := range s.set.Spread(uint64(k), originCopies, spares) {
		out = append(out, s.targets[i])
	}
	return out
}

// recordOrigin records at which version the call's stream began at t, for the requests that
// may take it up.
func (f *Fleet) recordOrigin(now time.Time, c *call, t *targetState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.softwareVersion == "" || c.streamID() == "" || !c.route.Resumable {
		return
	}
	k, o := streams.KeyOf(c.streamID()), streams.Origin{Service: c.service, Version: c.softwareVersion}
	until := c.deadline.Add(takeUpTime)
	if !f.origins.known.Record(now, k, o, until) {
		return
	}
	s := &ownStream{origin: o, until: until, target: t, started: t.state.Started, begunAt: now}
	f.origins.own[k] = s
	sendOrigin(now, k, s, f.holders((*targetState).keepsNewOrigins))
}

// sendOrigin sends the origin of a stream to the keepers that have not got it yet. The
// caller holds the fleet's mu.
func sendOrigin(now time.Time, k streams.Key, s *ownStream, keepers holderSet) {
	holders := keepers.originHolders(k, 0)
	m := peer.StreamOrigin{Stream: uint64(k), Service: s.origin.Service, Version: s.origin.Version, Within: s.until.Sub(now)}
	for _, t := range holders[:min(len(holders), originCopies)] {
		if slices.Contains(s.sentTo, t.conn) {
			continue
		}
		if _, err := t.conn.Send(m); err == nil { // else the end of the connection moves the holders
			s.sentTo = append(s.sentTo, t.conn)
		}
	}
}

// endStream drops the own stream of a call that was delivered.
func (f *Fleet) endStream(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.origins.own, streams.KeyOf(c.streamID()))
}

// sendMovedOrigins sends the origins of own streams to the targetds that have to keep them
// since others were lost.
func (f *Fleet) sendMovedOrigins(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.origins.sent.Outdated(&f.membership) {
		return
	}
	keepers := f.holders((*targetState).keepsNewOrigins)
	for k, s := range f.origins.own {
		if now.Before(s.until) {
			sendOrigin(now, k, s, keepers)
		}
	}
}

// expireOrigins drops the origins of streams whose callers have given up. The caller holds
// mu.
func (f *Fleet) expireOrigins(now time.Time) {
	f.origins.known.Expire(now)
	for k, s := range f.origins.own {
		if !now.Before(s.until) {
			delete(f.origins.own, k)
		}
	}
}

// applyOriginAnswer passes the answer of a targetd to the calls that wait for it.
func (f *Fleet) applyOriginAnswer(now time.Time, c *peer.Conn, m peer.OriginAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k, o := streams.Key(m.Stream), streams.Origin{Service: m.Service, Version: m.Version}
	queries := f.origins.queries[k]
	if len(queries) > 0 && o.Known() {
		f.origins.known.Record(now, k, o, now.Add(m.Within))
	}
	for _, q := range queries {
		q.asked[c] = true
		q.signal()
	}
}

// moveHolders records that a targetd was connected, or that c was lost if it is not nil.
// The caller holds mu.
func (f *Fleet) moveHolders(lost *peer.Conn) {
	f.membership.Change()
	for _, queries := range f.origins.queries {
		for _, q := range queries {
			if _, ok := q.asked[lost]; ok {
				q.asked[lost] = true
			}
			q.signal()
		}
	}
}

// signal has the call of a query check it again.
func (q *originQuery) signal() {
	select {
	case q.changed <- struct{}{}:
	default:
	}
}
