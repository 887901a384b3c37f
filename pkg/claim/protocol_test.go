package claim

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/borageusher/borageusher/pkg/outcome"
)

// memory is the record of one key in an object API that loses answers and lets
// writes take effect late.
type memory struct {
	record  *Record
	version uint64
	newest  uint64 // versions grow also over a record's deletion
	late    []Call // writes that the caller has given up on
}

func (m *memory) perform(c Call) Reply {
	if c.Kind == Read {
		if m.record == nil {
			return Reply{Kind: Missing}
		}
		return Reply{Kind: Done, Version: m.version, Record: m.read()}
	}
	if c.Expect != m.version {
		return Reply{Kind: Conflict}
	}
	r, err := Decode(Encode(c.Record))
	if err != nil {
		panic(err)
	}
	m.newest++
	m.record, m.version = &r, m.newest
	return Reply{Kind: Done, Version: m.version}
}

func (m *memory) read() Record {
	r, err := Decode(Encode(*m.record))
	if err != nil {
		panic(err)
	}
	return r
}

// advance makes one call of op, whose fate is drawn: it is answered, its
// answer is lost, or it takes effect later or never.
func (m *memory) advance(t *rapid.T, op *Operation) {
	c, ok := op.Next()
	if !ok {
		return
	}
	switch rapid.SampledFrom([]string{"answered", "answered", "answered", "answered", "answered", "lost", "late", "never", "refused"}).Draw(t, "fate") {
	case "answered":
		op.Tell(m.perform(c))
	case "lost":
		m.perform(c)
		op.Tell(Reply{Kind: Failed})
	case "late":
		if c.Kind == Write {
			m.late = append(m.late, c)
		}
		op.Tell(Reply{Kind: Failed})
	case "refused":
		op.Tell(Reply{Kind: Refused})
	case "never":
		op.Tell(Reply{Kind: Failed})
	}
}

// modelAttempt is one attempt as the entryd and the targetd see it.
type modelAttempt struct {
	name     Attempt
	target   int
	crashes  int // of its target when it was sent
	received bool
	told     bool // the target's answer is on its way
	answer   VerdictKind
	take     *Operation // at the target, nil before its turn
	release  *Operation
	running  bool
	held     Verdict
	finish   *Operation
	void     *Operation // at the entryd, once it has given up waiting
}

// modelRequest is one request of the caller; all use the same key and body.
type modelRequest struct {
	attempts []*modelAttempt
	result   VerdictKind // what the caller was told, Undecided before
}

func (r *modelRequest) last() *modelAttempt { return r.attempts[len(r.attempts)-1] }

// protocolModel is the whole system for one key.
type protocolModel struct {
	store    memory
	requests []*modelRequest
	crashes  [2]int
	runs     map[Attempt]int
	digest   []byte
}

const (
	modelRequests = 4
	modelAttempts = 3
)

func (p *protocolModel) writer(target int) Writer {
	return Writer{Name: fmt.Sprint("t", target), Incarnation: fmt.Sprint(p.crashes[target])}
}

func (p *protocolModel) live(a *modelAttempt) bool { return a.crashes == p.crashes[a.target] }

// pick draws an attempt that which holds for, or skips the action.
func (p *protocolModel) pick(t *rapid.T, which func(r *modelRequest, a *modelAttempt) bool) (*modelRequest, *modelAttempt) {
	var requests []*modelRequest
	var attempts []*modelAttempt
	for _, r := range p.requests {
		for _, a := range r.attempts {
			if which(r, a) {
				requests, attempts = append(requests, r), append(attempts, a)
			}
		}
	}
	if len(attempts) == 0 {
		t.Skip("nothing to do")
	}
	i := rapid.IntRange(0, len(attempts)-1).Draw(t, "attempt")
	return requests[i], attempts[i]
}

func (p *protocolModel) send(t *rapid.T, i int) {
	r := p.requests[i]
	target := rapid.IntRange(0, 1).Draw(t, "target")
	r.attempts = append(r.attempts, &modelAttempt{
		name:    Attempt{Request: fmt.Sprint("r", i), Number: uint32(len(r.attempts) + 1)},
		target:  target,
		crashes: p.crashes[target],
	})
}

// rarely skips most uses of an action that ends what is under way.
func rarely(t *rapid.T) {
	if rapid.IntRange(0, 7).Draw(t, "rarely") != 0 {
		t.Skip("rare")
	}
}

// Call: the caller sends the request again, through whichever entryd.
func (p *protocolModel) Call(t *rapid.T) {
	if len(p.requests) == modelRequests {
		t.Skip("enough requests")
	}
	p.requests = append(p.requests, &modelRequest{})
	p.send(t, len(p.requests)-1)
}

// Receive: a target takes an attempt, perhaps long after it was sent.
func (p *protocolModel) Receive(t *rapid.T) {
	_, a := p.pick(t, func(_ *modelRequest, a *modelAttempt) bool { return p.live(a) && !a.received })
	a.received = true
	a.take = NewTake(Claim{Attempt: a.name, Writer: p.writer(a.target), Digest: p.digest})
}

// Take: a target makes a call of a claim and starts the run once it is held.
func (p *protocolModel) Take(t *rapid.T) {
	_, a := p.pick(t, func(_ *modelRequest, a *modelAttempt) bool {
		return p.live(a) && a.take != nil && !a.told && !a.running
	})
	p.store.advance(t, a.take)
	a.take.Next()
	switch v := a.take.Verdict(); v.Kind {
	case Undecided:
	case Run:
		a.held = v
		a.running = true
		p.runs[a.name]++
	default:
		a.told, a.answer = true, v.Kind
	}
}

// GiveUp: the start-by time of an attempt passes before its claim is settled.
func (p *protocolModel) GiveUp(t *rapid.T) {
	_, a := p.pick(t, func(_ *modelRequest, a *modelAttempt) bool {
		return p.live(a) && a.take != nil && !a.told && !a.running
	})
	a.told, a.answer = true, NotRun
	a.release = NewRelease(Claim{Attempt: a.name, Writer: p.writer(a.target), Digest: p.digest})
}

// Finish: a run ends, with an answer or broken off.
func (p *protocolModel) Finish(t *rapid.T) {
	_, a := p.pick(t, func(_ *modelRequest, a *modelAttempt) bool { return p.live(a) && a.running && a.finish == nil })
	a.told = true
	if rapid.Bool().Draw(t, "answered") {
		a.answer = Replay
		a.finish = NewFinish(a.held, Answer{Status: 200})
		return
	}
	a.answer = Unknown
	a.finish = NewBreak(a.held, outcome.EngineFailed)
}

// Record: a target makes a call of a background write.
func (p *protocolModel) Record(t *rapid.T) {
	_, a := p.pick(t, func(_ *modelRequest, a *modelAttempt) bool { return p.live(a) && (a.finish != nil || a.release != nil) })
	if a.finish != nil {
		p.store.advance(t, a.finish)
		return
	}
	p.store.advance(t, a.release)
}

// Hear: an entryd hears the target's answer, tells the caller or goes elsewhere.
func (p *protocolModel) Hear(t *rapid.T) {
	r, a := p.pick(t, func(r *modelRequest, a *modelAttempt) bool {
		return a.told && a.void == nil && r.result == Undecided && a == r.last()
	})
	p.conclude(t, r, a.answer)
}

// Lose: an entryd gives up waiting and voids the attempt.
func (p *protocolModel) Lose(t *rapid.T) {
	rarely(t)
	_, a := p.pick(t, func(r *modelRequest, a *modelAttempt) bool {
		return a.void == nil && r.result == Undecided && a == r.last()
	})
	a.void = NewVoid(a.name, p.digest)
}

// Void: an entryd makes a call of a void.
func (p *protocolModel) Void(t *rapid.T) {
	r, a := p.pick(t, func(r *modelRequest, a *modelAttempt) bool {
		return a.void != nil && r.result == Undecided && a == r.last()
	})
	p.store.advance(t, a.void)
	a.void.Next()
	if v := a.void.Verdict(); v.Kind != Undecided {
		p.conclude(t, r, v.Kind)
	}
}

func (p *protocolModel) conclude(t *rapid.T, r *modelRequest, k VerdictKind) {
	if k == NotRun && len(r.attempts) < modelAttempts && rapid.Bool().Draw(t, "elsewhere") {
		for i := range p.requests {
			if p.requests[i] == r {
				p.send(t, i)
			}
		}
		return
	}
	r.result = k
}

// Crash: a target is killed and starts again.
func (p *protocolModel) Crash(t *rapid.T) {
	rarely(t)
	p.crashes[rapid.IntRange(0, 1).Draw(t, "target")]++
}

// Late: a write takes effect whose caller has given up on it.
func (p *protocolModel) Late(t *rapid.T) {
	if len(p.store.late) == 0 {
		t.Skip("nothing is late")
	}
	i := rapid.IntRange(0, len(p.store.late)-1).Draw(t, "write")
	c := p.store.late[i]
	p.store.late = append(p.store.late[:i:i], p.store.late[i+1:]...)
	p.store.perform(c)
}

// Check holds the two promises: at most one run, and no false "not run".
func (p *protocolModel) Check(t *rapid.T) {
	total := 0
	for _, n := range p.runs {
		total += n
	}
	if total > 1 {
		t.Fatalf("%d runs: %v", total, p.runs)
	}
	for i, r := range p.requests {
		for _, a := range r.attempts {
			if r.result == NotRun && p.runs[a.name] > 0 {
				t.Fatalf("request %d was told not run, but %v ran", i, a.name)
			}
		}
	}
}

func TestProtocol(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &protocolModel{runs: map[Attempt]int{}, digest: []byte("d")}
		t.Repeat(rapid.StateMachineActions(p))
	})
}
