package peer

import "time"

// Unknown is the value of a time that is not known.
const Unknown = time.Duration(-1)

// SegmentCrash states the shared prompt segments of the requests that were in flight
// and had no answer when an engine crashed. Times are ages, so that the clocks of the
// processes need not agree.
type SegmentCrash struct {
	ID       uint64 // unique, because several targetds forward the same report
	Engine   string // identifies the start of the engine
	Service  string
	Age      time.Duration   // since the crash
	Served   []time.Duration // since the service began the last answers that the sender has not stated before
	Segments []ExposedSegment
}

// ExposedSegment is a segment that was in flight at a crash.
type ExposedSegment struct {
	Segment  []byte        // fingerprint
	Sent     time.Duration // since the last request with it was sent
	Answered time.Duration // since a target began to answer a request with it, Unknown if none is known
}

// SegmentAnswers states that targets began to answer requests with segments that were
// in flight at a crash.
type SegmentAnswers struct {
	Age      time.Duration // since the answer
	Segments [][]byte      // fingerprints
}

// After returns the message as it is to be sent when the given time has passed.
func (m SegmentCrash) After(d time.Duration) SegmentCrash {
	m.Age += d
	served := make([]time.Duration, len(m.Served))
	for i, age := range m.Served {
		served[i] = age + d
	}
	m.Served = served
	segments := make([]ExposedSegment, len(m.Segments))
	for i, s := range m.Segments {
		segments[i] = ExposedSegment{Segment: s.Segment, Sent: s.Sent + d, Answered: ageAfter(s.Answered, d)}
	}
	m.Segments = segments
	return m
}

// After returns the message as it is to be sent when the given time has passed.
func (m SegmentAnswers) After(d time.Duration) SegmentAnswers {
	m.Age += d
	return m
}

func ageAfter(age, d time.Duration) time.Duration {
	if age < 0 {
		return Unknown
	}
	return age + d
}

// ageToWire returns an age in milliseconds, negative if it is unknown.
func ageToWire(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

func ageFromWire(ms int64) time.Duration {
	if ms < 0 {
		return Unknown
	}
	return time.Duration(ms) * time.Millisecond
}

type segmentCrashWire struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Engine   string
	Service  string
	AgeMS    int64
	ServedMS []int64
	Segments []exposedSegmentWire
}

type exposedSegmentWire struct {
	_          struct{} `cbor:",toarray"`
	Segment    []byte
	SentMS     int64
	AnsweredMS int64
}

func segmentCrashToWire(m SegmentCrash) *segmentCrashWire {
	w := &segmentCrashWire{ID: m.ID, Engine: m.Engine, Service: m.Service, AgeMS: ageToWire(m.Age)}
	for _, age := range m.Served {
		w.ServedMS = append(w.ServedMS, ageToWire(age))
	}
	for _, s := range m.Segments {
		w.Segments = append(w.Segments, exposedSegmentWire{Segment: s.Segment, SentMS: ageToWire(s.Sent), AnsweredMS: ageToWire(s.Answered)})
	}
	return w
}

func (w *segmentCrashWire) message() Message {
	m := SegmentCrash{ID: w.ID, Engine: w.Engine, Service: w.Service, Age: ageFromWire(w.AgeMS)}
	for _, ms := range w.ServedMS {
		m.Served = append(m.Served, ageFromWire(ms))
	}
	for _, s := range w.Segments {
		m.Segments = append(m.Segments, ExposedSegment{Segment: s.Segment, Sent: ageFromWire(s.SentMS), Answered: ageFromWire(s.AnsweredMS)})
	}
	return m
}

type segmentAnswersWire struct {
	_        struct{} `cbor:",toarray"`
	AgeMS    int64
	Segments [][]byte
}

func (w *segmentAnswersWire) message() Message {
	return SegmentAnswers{Age: ageFromWire(w.AgeMS), Segments: w.Segments}
}
