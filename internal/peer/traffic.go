package peer

import "github.com/uber-go/tally/v4"

// trafficClass is the purpose of a message, for accounting and keepalives.
type trafficClass uint8

const (
	classHandshake trafficClass = iota
	classHeartbeat
	classGossip // configuration, registrations and surveys
	classRequest
	numTrafficClasses
)

// trafficClassNames are the values of the metric label "purpose".
var trafficClassNames = [numTrafficClasses]string{"handshake", "heartbeat", "spread", "request"}

// trafficClassOf classifies an encoded message.
func trafficClassOf(b []byte) trafficClass {
	if len(b) == 0 {
		return classRequest
	}
	switch messageType(b[0]) {
	case typeHello, typeProof:
		return classHandshake
	case typeHeartbeat:
		return classHeartbeat
	case typeStateRequest, typeStateAnswer, typeSectionAnswer, typeSurvey, typeSurveyAnswer:
		return classGossip
	}
	return classRequest
}

// meter counts the bytes of a connection's messages, without the framing of
// the WebSocket and of lower layers.
type meter struct {
	sent, received [numTrafficClasses]tally.Counter
}

func newMeter(scope tally.Scope, acrossRegions bool) *meter {
	between := "processes"
	if acrossRegions {
		between = "regions"
	}
	m := &meter{}
	for t := range numTrafficClasses {
		for direction, counters := range map[string]*[numTrafficClasses]tally.Counter{"sent": &m.sent, "received": &m.received} {
			tags := map[string]string{"purpose": trafficClassNames[t], "direction": direction, "between": between}
			counters[t] = scope.Tagged(tags).Counter("peer_bytes")
		}
	}
	return m
}

// SetMetrics counts the bytes of the connection's messages in scope, by purpose,
// direction, and whether the peer is outside the given region. It must be
// called before Run.
func (c *Conn) SetMetrics(scope tally.Scope, region string) {
	c.meter = newMeter(scope, c.remote.Region != region)
}

func (c *Conn) countSent(b []byte) {
	c.sentBytes.Add(uint64(len(b)))
	if c.meter != nil {
		c.meter.sent[trafficClassOf(b)].Inc(int64(len(b)))
	}
}

func (c *Conn) countReceived(b []byte) {
	c.recvBytes.Add(uint64(len(b)))
	if c.meter != nil {
		c.meter.received[trafficClassOf(b)].Inc(int64(len(b)))
	}
}
