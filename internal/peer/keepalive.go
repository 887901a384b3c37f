package peer

import "time"

// Intervals and timeouts of heartbeats. A connection is busy while requests
// are in flight on it and for busyPeriod after the last message of a request;
// otherwise it is idle.
const (
	HeartbeatInterval  = 500 * time.Millisecond // maximum time between messages on a busy connection
	SilenceTimeout     = 2 * time.Second        // after which a silent busy connection is closed
	IdleInterval       = 5 * time.Second        // between heartbeats on an idle connection
	IdleSilenceTimeout = 12 * time.Second       // after which a silent idle connection is closed
	busyPeriod         = 5 * time.Second
	busyNoticeDelay    = time.Second // within which the peer is notified that the connection became busy
)

// keepalive computes when the next heartbeat is due and when the silence
// timeout expires. A sender that becomes idle announces it in a heartbeat, so that
// both ends agree on the timeout in spite of differing clocks and delays.
type keepalive struct {
	lastSent          time.Time
	lastReceived      time.Time
	lastRequest       time.Time // last message of a request, in either direction
	lastRequestSent   time.Time // last message of a request that was sent
	active            bool      // the last heartbeat sent says that requests are in flight
	peerActive        bool      // the last heartbeat received says that requests are in flight
	announcedIdle     bool      // the last message announced that the next may take IdleInterval
	busyExpected      bool      // the peer must send a message every HeartbeatInterval
	busyExpectedSince time.Time
}

func newKeepalive(now time.Time) keepalive {
	return keepalive{lastSent: now, lastReceived: now, lastRequest: now, busyExpected: true, busyExpectedSince: now}
}

// busy reports whether the connection is busy.
func (k *keepalive) busy(now time.Time) bool {
	return k.active || k.peerActive || now.Sub(k.lastRequest) < busyPeriod
}

// prepareHeartbeat sets the Idle field of a heartbeat that is about to be
// written and records what the heartbeat announces.
func (k *keepalive) prepareHeartbeat(now time.Time, m Heartbeat) Heartbeat {
	k.active = m.Active
	m.Idle = !k.busy(now)
	k.announcedIdle = m.Idle
	return m
}

// recordSent records that a message was written; request is true for a message
// of a request.
func (k *keepalive) recordSent(now time.Time, request bool) {
	k.lastSent = now
	if !request {
		return
	}
	k.lastRequest = now
	k.lastRequestSent = now
	k.announcedIdle = false
	k.expectBusy(now)
}

// recordReceived records that a message other than a heartbeat was read;
// request is true for a message of a request.
func (k *keepalive) recordReceived(now time.Time, request bool) {
	k.lastReceived = now
	if request {
		k.lastRequest = now
		k.expectBusy(now)
	}
}

// recordHeartbeat records that a heartbeat was read. The announcement of an
// idle connection is ignored while own requests are in flight, and for
// busyNoticeDelay after one was sent, because the two may have crossed.
func (k *keepalive) recordHeartbeat(now time.Time, m Heartbeat) {
	k.lastReceived = now
	k.peerActive = m.Active
	awaiting := k.active || now.Sub(k.lastRequestSent) < busyNoticeDelay
	if !m.Idle {
		k.expectBusy(now)
	} else if !awaiting {
		k.busyExpected = false
	}
}

// expectBusy puts SilenceTimeout in force, counted from now at the earliest.
func (k *keepalive) expectBusy(now time.Time) {
	if !k.busyExpected {
		k.busyExpected = true
		k.busyExpectedSince = now
	}
}

// heartbeatDueAt returns when the next heartbeat is due.
func (k *keepalive) heartbeatDueAt(now time.Time) time.Time {
	if k.busy(now) || !k.announcedIdle {
		return k.lastSent.Add(HeartbeatInterval)
	}
	return k.lastSent.Add(IdleInterval)
}

// silenceDeadline returns when the silence timeout expires unless a message is
// received before.
func (k *keepalive) silenceDeadline() time.Time {
	if !k.busyExpected {
		return k.lastReceived.Add(IdleSilenceTimeout)
	}
	from := k.lastReceived
	if k.busyExpectedSince.After(from) {
		from = k.busyExpectedSince
	}
	return from.Add(SilenceTimeout)
}
