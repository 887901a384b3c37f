package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulatedRun is a request at a target that has no answer yet.
type simulatedRun struct {
	segments []string
	sentAt   time.Time
	answerAt time.Time
}

// simulatedService is a service whose targets crash, in steps of a millisecond.
type simulatedService struct {
	rng     *rand.Rand
	list    SegmentList
	now     time.Time
	running [][]simulatedRun // by target
	backAt  []time.Time      // when a crashed target is back
	served  []time.Time
	crashes []time.Time
	arrived []time.Time // requests with the deadly segment at targets
	convict map[Fingerprint]bool
}

// The simulated deployment.
const (
	simulatedSeeds   = 12
	simulatedTargets = 9
	simulatedDocs    = 330 // segments of a third of a percent of the requests each
	simulatedTopics  = 3   // segments of one in fifty requests each, with long prompts
	simulatedRate    = 130 // requests a second
	simulatedDown    = 3500 * time.Millisecond
)

func newSimulatedService(seed uint64) *simulatedService {
	return &simulatedService{
		rng:     rand.New(rand.NewPCG(seed, 5)),
		now:     start,
		running: make([][]simulatedRun, simulatedTargets),
		backAt:  make([]time.Time, simulatedTargets),
		convict: map[Fingerprint]bool{},
	}
}

// step simulates one millisecond. A share of the requests has the deadly segment.
func (s *simulatedService) step(deadlyShare float64) {
	s.now = s.now.Add(time.Millisecond)
	if s.rng.Float64() < simulatedRate/1000.0 {
		s.send(deadlyShare)
	}
	for i := range s.running {
		s.answer(i)
	}
}

// send sends a request to a live target, unless one of its segments is convicted.
func (s *simulatedService) send(deadlyShare float64) {
	read := time.Duration(50+s.rng.IntN(500)) * time.Millisecond
	segments := []string{"common", fmt.Sprint("doc", s.rng.IntN(simulatedDocs))}
	switch p := s.rng.Float64(); {
	case p < deadlyShare:
		segments = append(segments, "deadly")
	case p > 0.94:
		read *= 3
		segments = []string{"common2", fmt.Sprint("topic", s.rng.IntN(simulatedTopics))}
	}
	i := s.rng.IntN(simulatedTargets)
	if s.now.Before(s.backAt[i]) {
		return
	}
	for _, name := range segments {
		if s.list.Classify(s.now, testSegment(name)) == Convicted {
			return
		}
	}
	if segments[len(segments)-1] == "deadly" {
		s.arrived = append(s.arrived, s.now)
	}
	s.running[i] = append(s.running[i], simulatedRun{segments: segments, sentAt: s.now, answerAt: s.now.Add(read)})
}

// answer answers the requests that a target has read.
func (s *simulatedService) answer(i int) {
	if !slices.ContainsFunc(s.running[i], func(r simulatedRun) bool { return !r.answerAt.After(s.now) }) {
		return
	}
	var rest []simulatedRun
	for _, r := range s.running[i] {
		if r.answerAt.After(s.now) {
			rest = append(rest, r)
			continue
		}
		if r.segments[len(r.segments)-1] == "deadly" {
			s.crash(i)
			return
		}
		s.served = append(s.served, s.now)
		for _, name := range r.segments {
			_, convicted := s.list.Answer(s.now, testSegment(name))
			s.recordConvicted(convicted)
		}
	}
	s.running[i] = rest
}

// crash crashes a target.
func (s *simulatedService) crash(i int) {
	c := SegmentCrash{Name: fmt.Sprint(len(s.crashes)), Service: "s", At: s.now}
	if n := len(s.served); n >= MinServiceAnswers {
		c.ServedAt = s.served[n-MinServiceAnswers]
	}
	last := map[string]time.Time{}
	for _, r := range s.running[i] {
		for _, name := range r.segments {
			last[name] = r.sentAt
		}
	}
	for name, at := range last {
		c.Exposed = append(c.Exposed, Exposure{Segment: testSegment(name), SentAt: at})
	}
	s.crashes = append(s.crashes, s.now)
	s.running[i] = nil
	s.backAt[i] = s.now.Add(simulatedDown)
	_, convicted := s.list.Add(c)
	s.recordConvicted(convicted)
}

func (s *simulatedService) recordConvicted(segments []Fingerprint) {
	for _, f := range segments {
		s.convict[f] = true
	}
}

// crashSome crashes a share of the live targets within some milliseconds.
func (s *simulatedService) crashSome(share float64) {
	for i := range s.running {
		if s.now.Before(s.backAt[i]) || s.rng.Float64() > share {
			continue
		}
		s.crash(i)
		for range s.rng.IntN(5) {
			s.step(0)
		}
	}
}

// TestDeadlySegment checks that a segment that crashes each target is convicted within
// the users' bound, that requests of one in five with it are enough to crash nearly all
// targets, and that no other segment is convicted, though targets crash for other reasons
// meanwhile.
func TestDeadlySegment(t *testing.T) {
	for seed := range uint64(simulatedSeeds) {
		s := newSimulatedService(seed)
		share := []float64{0.01, 0.05, 0.2}[seed%3]
		for ms := range 30_000 {
			if seed%2 == 1 && ms%5000 == 4500 {
				s.crashSome(0.4)
			}
			deadly := share
			if ms < 2000 {
				deadly = 0
			}
			s.step(deadly)
		}
		if !s.convict[testSegment("deadly")] || len(s.convict) != 1 {
			t.Errorf("seed %d: convicted %v", seed, s.names())
		}
		if got := s.list.Classify(s.now, testSegment("deadly")); got != Convicted {
			t.Errorf("seed %d: deadly segment is %v", seed, got)
		}
		if late := s.lateArrivals(); late > 3 {
			t.Errorf("seed %d: %d requests with the segment reached targets late, %d targets crashed", seed, late, len(s.crashes))
		}
	}
}

// TestTargetsFailTogether checks that targets that fail together, all of them or some, at
// any moments, convict no segment.
func TestTargetsFailTogether(t *testing.T) {
	for seed := range uint64(simulatedSeeds) {
		s := newSimulatedService(seed)
		share := []float64{1, 0.5, 0.33, 0.1}[seed%4]
		next := 2000
		for ms := range 60_000 {
			if ms == next {
				s.crashSome(share)
				next += 100 + s.rng.IntN(6000)
			}
			s.step(0)
		}
		if len(s.convict) > 0 {
			t.Errorf("seed %d: convicted %v at %d crashes", seed, s.names(), len(s.crashes))
		}
	}
}

// names returns the names of the convicted segments.
func (s *simulatedService) names() []string {
	names := []string{"common", "common2", "deadly"}
	for i := range simulatedDocs {
		names = append(names, fmt.Sprint("doc", i))
	}
	for i := range simulatedTopics {
		names = append(names, fmt.Sprint("topic", i))
	}
	var out []string
	for _, name := range names {
		if s.convict[testSegment(name)] {
			out = append(out, name)
		}
	}
	return out
}

// lateArrivals returns the number of requests with the deadly segment that reached
// targets later than 4 s after the fifth crash under it.
func (s *simulatedService) lateArrivals() int {
	if len(s.crashes) < 5 {
		return 0
	}
	late := 0
	for _, at := range s.arrived {
		if at.After(s.crashes[4].Add(4 * time.Second)) {
			late++
		}
	}
	return late
}
