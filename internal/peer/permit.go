package peer

import "time"

// RateLimit states how many requests a second a target takes from all entryds together.
// An entryd sends it to the targetd that issues the permits for the target, which passes
// it on to the other entryds. Processes of earlier releases know none of the messages in
// this file.
type RateLimit struct {
	Target    string // incarnation
	Limited   bool   // false if the limit has ended
	PerSecond float64
	Age       time.Duration // since the target said so
}

// PermitRequest asks a targetd for a permit to send one request to a target that limits
// its rate. It states the limit for a targetd that does not know it.
type PermitRequest struct {
	ID      uint64 // unique on the connection
	Limit   RateLimit
	Urgency int           // 0 is the most urgent
	Within  time.Duration // time for which the request can wait
}

// PermitAnswer answers a PermitRequest: when the request may be sent, or at once if that
// is not possible in time.
type PermitAnswer struct {
	ID      uint64
	Granted bool
	Wait    time.Duration // until a further request of the same urgency would get a permit
}

// PermitCancel gives up a PermitRequest that has no answer yet.
type PermitCancel struct {
	ID uint64
}

// After returns the message as it is to be sent when the given time has passed.
func (m RateLimit) After(d time.Duration) RateLimit {
	m.Age += d
	return m
}

type rateLimitWire struct {
	_         struct{} `cbor:",toarray"`
	Target    string
	Limited   bool
	PerSecond float64
	AgeMS     int64
}

func rateLimitToWire(m RateLimit) rateLimitWire {
	return rateLimitWire{Target: m.Target, Limited: m.Limited, PerSecond: m.PerSecond, AgeMS: m.Age.Milliseconds()}
}

func (w *rateLimitWire) message() Message { return w.rateLimit() }

func (w *rateLimitWire) rateLimit() RateLimit {
	return RateLimit{Target: w.Target, Limited: w.Limited, PerSecond: w.PerSecond, Age: time.Duration(w.AgeMS) * time.Millisecond}
}

type permitRequestWire struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Limit    rateLimitWire
	Urgency  int
	WithinMS int64
}

func (w *permitRequestWire) message() Message {
	return PermitRequest{ID: w.ID, Limit: w.Limit.rateLimit(), Urgency: w.Urgency, Within: time.Duration(w.WithinMS) * time.Millisecond}
}

type permitAnswerWire struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Granted bool
	WaitMS  int64
}

func (w *permitAnswerWire) message() Message {
	return PermitAnswer{ID: w.ID, Granted: w.Granted, Wait: time.Duration(w.WaitMS) * time.Millisecond}
}

type permitCancelWire struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
}

func (w *permitCancelWire) message() Message { return PermitCancel{ID: w.ID} }
