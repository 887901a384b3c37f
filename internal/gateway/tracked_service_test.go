package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/quarantine"
)

// trackedRun is a request at a target that has no answer yet, or that is held.
type trackedRun struct {
	entryd   int
	call     *call
	ids      []string
	deadly   bool
	run      *segmentRun
	heldAt   time.Time
	answerAt time.Duration // after it was sent
}

// trackedService is a service behind entryds that share their reports, in steps of a
// millisecond.
type trackedService struct {
	targets  int
	rate     float64       // requests a second
	shares   []float64     // of the requests with each deadly segment
	long     time.Duration // time to read the longest prompts
	crashing []int         // targets that crash by themselves
	every    time.Duration // how often they do

	rng     *rand.Rand
	now     time.Time
	entryds []*segmentTracker
	running [][]*trackedRun
	held    []*trackedRun
	backAt  []time.Time
	starts  int            // crashes of all kinds
	crashes []time.Time    // under deadly requests
	arrived []time.Time    // deadly requests at targets
	refused map[string]int // sound requests by convicted segment
	sent    []trackedMessage
}

func newTrackedService(seed uint64, entryds, targets int, rate float64, shares ...float64) *trackedService {
	s := &trackedService{
		targets: targets, rate: rate, shares: shares, long: 1500 * time.Millisecond,
		rng: rand.New(rand.NewPCG(seed, 9)), now: time.Unix(1e9, 0),
		running: make([][]*trackedRun, targets), backAt: make([]time.Time, targets), refused: map[string]int{},
	}
	for i := range entryds {
		s.entryds = append(s.entryds, newSegmentTracker(func(m peer.Message) {
			s.sent = append(s.sent, trackedMessage{i, m})
		}, event.Discard()))
	}
	return s
}

// trackedMessage is a message of an entryd to all others.
type trackedMessage struct {
	from    int
	message peer.Message
}

// deliver passes the messages on. A tracker that sends one holds its lock.
func (s *trackedService) deliver() {
	for len(s.sent) > 0 {
		m := s.sent[0]
		s.sent = s.sent[1:]
		for i, t := range s.entryds {
			if i == m.from {
				continue
			}
			switch m := m.message.(type) {
			case peer.SegmentCrash:
				for range crashReportFanout { // each of the targetds forwards it
					t.applyCrash(s.now, m)
				}
			case peer.SegmentAnswers:
				t.applyAnswers(s.now, m)
			}
		}
	}
}

// step simulates one millisecond.
func (s *trackedService) step() {
	s.deliver()
	s.now = s.now.Add(time.Millisecond)
	if s.rng.Float64() < s.rate/1000 {
		s.arrive()
	}
	var held []*trackedRun
	for _, r := range s.held {
		if !s.send(r) {
			held = append(held, r)
		}
	}
	s.held = held
	for i := range s.running {
		s.answer(i)
	}
	for _, i := range s.crashing {
		if s.rng.Float64() < float64(time.Millisecond)/float64(s.every) && !s.now.Before(s.backAt[i]) {
			s.crash(i)
		}
	}
}

// arrive sends or holds a new request.
func (s *trackedService) arrive() {
	ids := []string{"common", fmt.Sprint("doc", s.rng.IntN(330))}
	r := &trackedRun{entryd: s.rng.IntN(len(s.entryds)), heldAt: s.now, answerAt: time.Duration(50+s.rng.IntN(500)) * time.Millisecond}
	p := s.rng.Float64()
	for i, share := range s.shares {
		if p < share && !r.deadly {
			ids, r.deadly = append(ids, fmt.Sprint("deadly", i)), true
		}
		p -= share
	}
	if !r.deadly && s.rng.Float64() > 0.94 {
		ids = []string{"common2", fmt.Sprint("topic", s.rng.IntN(3))}
		r.answerAt = s.long/2 + time.Duration(s.rng.Float64()*float64(s.long))
	}
	r.call = &call{service: "s", segments: segmentFingerprints("s", ids)}
	r.ids = ids
	if !s.send(r) {
		s.held = append(s.held, r)
	}
}

// send sends a request to a live target. It reports false if the request is held.
func (s *trackedService) send(r *trackedRun) bool {
	t := s.entryds[r.entryd]
	var up []int
	for i := range s.running {
		if !s.now.Before(s.backAt[i]) {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return s.now.Sub(r.heldAt) > 2*time.Second // no target
	}
	run, verdict := t.begin(s.now, r.call, s.now.Sub(r.heldAt) >= maxHeldTime)
	switch verdict {
	case quarantine.Convicted:
		if !r.deadly {
			for _, id := range r.ids {
				if t.list.Classify(s.now, quarantine.SegmentFingerprint("s", id)) == quarantine.Convicted {
					s.refused[id]++
				}
			}
		}
		return true
	case quarantine.Suspect:
		return false
	}
	if r.deadly {
		s.arrived = append(s.arrived, s.now)
	}
	r.run = run
	i := up[s.rng.IntN(len(up))]
	s.running[i] = append(s.running[i], r)
	return true
}

// answer answers the requests that a target has read.
func (s *trackedService) answer(i int) {
	var rest []*trackedRun
	for _, r := range s.running[i] {
		if s.now.Before(r.run.sentAt.Add(r.answerAt)) {
			rest = append(rest, r)
			continue
		}
		if r.deadly {
			s.crashes = append(s.crashes, s.now)
			s.crash(i)
			return
		}
		t := s.entryds[r.entryd]
		t.recordAnswer(s.now, r.run)
		t.end(r.run)
	}
	s.running[i] = rest
}

// crash crashes a target.
func (s *trackedService) crash(i int) {
	name := fmt.Sprint(i, "-", s.starts)
	s.starts++
	for _, r := range s.running[i] {
		s.entryds[r.entryd].recordBroken(s.now, name, r.run)
		s.entryds[r.entryd].end(r.run)
	}
	s.running[i] = nil
	s.backAt[i] = s.now.Add(3500 * time.Millisecond)
	for _, t := range s.entryds {
		t.reportCrash(s.now, s.now, name)
	}
}

// late returns the number of deadly requests that reached targets later than 4 s after
// the fifth crash.
func (s *trackedService) late() int {
	if len(s.crashes) < 5 {
		return 0
	}
	n := 0
	for _, at := range s.arrived {
		if at.After(s.crashes[4].Add(4 * time.Second)) {
			n++
		}
	}
	return n
}

// play plays the service for a time. Its faults begin after 4 s.
func (s *trackedService) play(length time.Duration) {
	shares, crashing := s.shares, s.crashing
	s.shares, s.crashing = nil, nil
	for at := time.Duration(0); at < length; at += time.Millisecond {
		if at == 4*time.Second {
			s.shares, s.crashing = shares, crashing
		}
		s.step()
	}
}

// Requests with a deadly segment kept crashing targets where none of many entryds had
// begun enough answers between two crashes.
func TestDeadlySegmentAtManyEntryds(t *testing.T) {
	for seed := range uint64(4) {
		s := newTrackedService(seed, 20, 9, 40, 0.2)
		s.play(34 * time.Second)
		if late := s.late(); late > 3 {
			t.Errorf("seed %d: %d requests with the segment reached targets late, %d targets crashed", seed, late, len(s.crashes))
		}
	}
}

// Sound segments of long prompts were convicted beside two deadly ones.
func TestSoundSegmentBesideTwoDeadly(t *testing.T) {
	for seed := range uint64(8) {
		s := newTrackedService(seed, 3, 9, 130, 0.05, 0.05)
		s.play(34 * time.Second)
		if len(s.refused) > 0 {
			t.Errorf("seed %d: sound requests refused by segment: %v", seed, s.refused)
		}
	}
}

// Sound segments of long prompts were convicted where the only targets of a service
// crashed by themselves.
func TestFewTargetsCrash(t *testing.T) {
	for targets := 1; targets <= 2; targets++ {
		for seed := range uint64(4) {
			s := newTrackedService(seed, 3, targets, 40)
			s.every = 2 * time.Second
			for i := range targets {
				s.crashing = append(s.crashing, i)
			}
			s.play(time.Minute)
			if len(s.refused) > 0 {
				t.Errorf("%d targets, seed %d: sound requests refused by segment after %d crashes: %v", targets, seed, s.starts, s.refused)
			}
		}
	}
}

// Requests with a deadly segment kept crashing targets where a service got few others.
func TestDeadlySegmentAtLittleTraffic(t *testing.T) { testLittleTraffic(t, 3, 5) }

// The same where a service begins hardly any answer between the crashes.
func TestDeadlySegmentAtFewAnswers(t *testing.T) { testLittleTraffic(t, 0.5, 1, 2) }

// testLittleTraffic plays a service at the given requests a second, of which two in three
// have a deadly segment.
func testLittleTraffic(t *testing.T, rates ...float64) {
	t.Helper()
	for _, rate := range rates {
		for seed := range uint64(6) {
			s := newTrackedService(seed, 3, 9, rate, 0.66)
			s.play(time.Minute)
			if late := s.late(); late > 3 {
				t.Errorf("%g requests a second, seed %d: %d requests with the segment reached targets late, %d targets crashed", rate, seed, late, len(s.crashes))
			}
			if len(s.refused) > 0 {
				t.Errorf("%g requests a second, seed %d: sound requests refused by segment: %v", rate, seed, s.refused)
			}
		}
	}
}
