package peer

import "github.com/uber-go/tally/v4"

// traffic says what a message is sent for.
type traffic uint8

const (
	forHandshake traffic = iota
	forHeartbeats
	forSpread // configuration, members and surveys
	forRequests
	trafficKinds
)

var trafficNames = [trafficKinds]string{"handshake", "heartbeat", "spread", "request"}

// trafficOf classifies an encoded message.
func trafficOf(b []byte) traffic {
	if len(b) == 0 {
		return forRequests
	}
	switch messageType(b[0]) {
	case typeHello, typeProof:
		return forHandshake
	case typeHeartbeat:
		return forHeartbeats
	case typeStateRequest, typeStateAnswer, typeSectionAnswer, typeSurvey, typeSurveyAnswer:
		return forSpread
	}
	return forRequests
}

// meter counts the bytes of a connection's messages, without the framing of
// the transport below.
type meter struct {
	sent, received [trafficKinds]tally.Counter
}

func newMeter(scope tally.Scope, acrossRegions bool) *meter {
	between := "processes"
	if acrossRegions {
		between = "regions"
	}
	m := &meter{}
	for t := range trafficKinds {
		for direction, counters := range map[string]*[trafficKinds]tally.Counter{"sent": &m.sent, "received": &m.received} {
			tags := map[string]string{"purpose": trafficNames[t], "direction": direction, "between": between}
			counters[t] = scope.Tagged(tags).Counter("peer_bytes")
		}
	}
	return m
}

// CountIn has the bytes of messages counted in scope by purpose, direction,
// and whether the peer is in another region than the given one. It must be
// called before Run.
func (c *Conn) CountIn(scope tally.Scope, region string) {
	c.meter = newMeter(scope, c.remote.Region != region)
}

func (c *Conn) countSent(b []byte) {
	c.sentBytes.Add(uint64(len(b)))
	if c.meter != nil {
		c.meter.sent[trafficOf(b)].Inc(int64(len(b)))
	}
}

func (c *Conn) countReceived(b []byte) {
	c.recvBytes.Add(uint64(len(b)))
	if c.meter != nil {
		c.meter.received[trafficOf(b)].Inc(int64(len(b)))
	}
}
