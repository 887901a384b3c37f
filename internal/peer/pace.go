package peer

import "time"

// Times of the heartbeats. A connection is busy while requests are in flight
// on it and for busyTime after the last message of a request.
const (
	HeartbeatInterval  = 500 * time.Millisecond // between messages of a busy connection
	SilenceTimeout     = 2 * time.Second        // after which a silent busy connection is dropped
	IdleInterval       = 5 * time.Second        // between heartbeats of an idle connection
	IdleSilenceTimeout = 12 * time.Second       // after which a silent idle connection is dropped
	busyTime           = 5 * time.Second
	answerTime         = time.Second // in which a peer hears that a connection became busy
)

// pace decides when a connection owes a heartbeat and when it has been silent
// for too long. A sender that turns idle says so in a heartbeat, so that both
// ends agree on the timeout although their clocks and delays differ.
type pace struct {
	lastSent    time.Time
	lastHeard   time.Time
	lastTraffic time.Time // last message of a request, in either direction
	lastOwn     time.Time // last message of a request that was sent
	active      bool      // own heartbeats say that requests are in flight
	peerActive  bool      // the peer's heartbeats say so
	saidSlow    bool      // the last message told the peer that the next may take IdleInterval
	expectFast  bool      // the peer owes messages at HeartbeatInterval
	fastSince   time.Time
}

func newPace(now time.Time) pace {
	return pace{lastSent: now, lastHeard: now, lastTraffic: now, expectFast: true, fastSince: now}
}

// busy reports whether heartbeats are sent at HeartbeatInterval.
func (p *pace) busy(now time.Time) bool {
	return p.active || p.peerActive || now.Sub(p.lastTraffic) < busyTime
}

// beat completes an own heartbeat that is about to be written.
func (p *pace) beat(now time.Time, m Heartbeat) Heartbeat {
	p.active = m.Active
	m.Slow = !p.busy(now)
	p.saidSlow = m.Slow
	return m
}

// sent notes that a message was written.
func (p *pace) sent(now time.Time, request bool) {
	p.lastSent = now
	if !request {
		return
	}
	p.lastTraffic = now
	p.lastOwn = now
	p.saidSlow = false
	p.expect(now)
}

// heard notes that a message other than a heartbeat was read.
func (p *pace) heard(now time.Time, request bool) {
	p.lastHeard = now
	if request {
		p.lastTraffic = now
		p.expect(now)
	}
}

// heardBeat notes that a heartbeat was read.
func (p *pace) heardBeat(now time.Time, m Heartbeat) {
	p.lastHeard = now
	p.peerActive = m.Active
	awaiting := p.active || now.Sub(p.lastOwn) < answerTime
	if !m.Slow {
		p.expect(now)
	} else if !awaiting {
		p.expectFast = false
	}
}

func (p *pace) expect(now time.Time) {
	if !p.expectFast {
		p.expectFast = true
		p.fastSince = now
	}
}

// nextBeat returns when the next heartbeat is due.
func (p *pace) nextBeat(now time.Time) time.Time {
	if p.busy(now) || !p.saidSlow {
		return p.lastSent.Add(HeartbeatInterval)
	}
	return p.lastSent.Add(IdleInterval)
}

// silentAt returns when the connection counts as silent unless something is heard.
func (p *pace) silentAt() time.Time {
	if !p.expectFast {
		return p.lastHeard.Add(IdleSilenceTimeout)
	}
	from := p.lastHeard
	if p.fastSince.After(from) {
		from = p.fastSince
	}
	return from.Add(SilenceTimeout)
}
