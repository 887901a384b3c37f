package claim

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/borageusher/borageusher/pkg/outcome"
)

// fakeStore is an object API with the record of one key. It loses responses and
// lets writes take effect late.
type fakeStore struct {
	record     *Record
	version    uint64
	newest     uint64 // last version given out; versions also increase across a deletion
	lateWrites []Call // writes that the caller has given up on
}

func (s *fakeStore) perform(c Call) Reply {
	if c.Kind == Read {
		if s.record == nil {
			return Reply{Kind: Missing}
		}
		return Reply{Kind: Done, Version: s.version, Record: s.read()}
	}
	if c.Expect != s.version {
		return Reply{Kind: Conflict}
	}
	r, err := Decode(Encode(c.Record))
	if err != nil {
		panic(err)
	}
	s.newest++
	s.record, s.version = &r, s.newest
	return Reply{Kind: Done, Version: s.version}
}

func (s *fakeStore) read() Record {
	r, err := Decode(Encode(*s.record))
	if err != nil {
		panic(err)
	}
	return r
}

// advance makes the next call of op with a drawn result: it succeeds, it is
// refused, its response is lost, or it is lost and takes effect later or never.
func (s *fakeStore) advance(t *rapid.T, op *Operation) {
	c, ok := op.Next()
	if !ok {
		return
	}
	switch rapid.SampledFrom([]string{"answered", "answered", "answered", "answered", "answered", "lost", "late", "never", "refused"}).Draw(t, "result") {
	case "answered":
		op.ApplyReply(s.perform(c))
	case "lost":
		s.perform(c)
		op.ApplyReply(Reply{Kind: Failed})
	case "late":
		if c.Kind == Write {
			s.lateWrites = append(s.lateWrites, c)
		}
		op.ApplyReply(Reply{Kind: Failed})
	case "refused":
		op.ApplyReply(Reply{Kind: Refused})
	case "never":
		op.ApplyReply(Reply{Kind: Failed})
	}
}

// modelAttempt is the state of one attempt at the entryd and at the targetd.
type modelAttempt struct {
	name     Attempt
	target   int
	crashes  int // of its target when the attempt was sent
	received bool
	replied  bool        // the target has sent its reply
	reply    VerdictKind // valid once replied
	acquire  *Operation  // at the target, nil until the attempt is received
	release  *Operation  // nil unless the start-by time passed before acquire ended
	running  bool
	held     Verdict    // of acquire, once running
	finish   *Operation // write of the outcome, nil until the run ends
	void     *Operation // at the entryd, nil until it stops waiting for the reply
}

// modelRequest is one request of the caller. All requests use the same key and
// body.
type modelRequest struct {
	attempts []*modelAttempt
	result   VerdictKind // reported to the caller, Undecided until then
}

func (r *modelRequest) last() *modelAttempt { return r.attempts[len(r.attempts)-1] }

// protocolModel is a state-machine model of all processes and the store for one
// key. Its exported methods are the actions of rapid.StateMachineActions.
type protocolModel struct {
	store    fakeStore
	requests []*modelRequest
	crashes  [2]int          // by target
	runs     map[Attempt]int // number of runs started
	digest   []byte          // of the body
}

const (
	modelRequests = 4
	modelAttempts = 3
)

func (p *protocolModel) writer(target int) Writer {
	return Writer{Name: fmt.Sprint("t", target), Incarnation: fmt.Sprint(p.crashes[target])}
}

// live reports whether the target has not crashed since a was sent.
func (p *protocolModel) live(a *modelAttempt) bool { return a.crashes == p.crashes[a.target] }

// pick draws an attempt for which match holds, or skips the action if there is
// none.
func (p *protocolModel) pick(t *rapid.T, match func(r *modelRequest, a *modelAttempt) bool) (*modelRequest, *modelAttempt) {
	var requests []*modelRequest
	var attempts []*modelAttempt
	for _, r := range p.requests {
		for _, a := range r.attempts {
			if match(r, a) {
				requests, attempts = append(requests, r), append(attempts, a)
			}
		}
	}
	if len(attempts) == 0 {
		t.Skip("no attempt matches")
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

// skipMostly skips seven of eight uses of an action that ends operations in
// progress, so that most of them complete.
func skipMostly(t *rapid.T) {
	if rapid.IntRange(0, 7).Draw(t, "skip unless zero") != 0 {
		t.Skip("skipped most of the time")
	}
}

// SendRequest sends the caller's request once more, through any entryd.
func (p *protocolModel) SendRequest(t *rapid.T) {
	if len(p.requests) == modelRequests {
		t.Skip("number of requests reached")
	}
	p.requests = append(p.requests, &modelRequest{})
	p.send(t, len(p.requests)-1)
}

// ReceiveAttempt lets a target receive an attempt, possibly long after it was
// sent.
func (p *protocolModel) ReceiveAttempt(t *rapid.T) {
	_, a := p.pick(t, func(_ *modelRequest, a *modelAttempt) bool { return p.live(a) && !a.received })
	a.received = true
	a.acquire = NewAcquire(Claim{Attempt: a.name, Writer: p.writer(a.target), Digest: p.digest})
}

// AdvanceClaim makes a target's next call of a claim, and starts the run once the
// claim is held.
func (p *protocolModel) AdvanceClaim(t *rapid.T) {
	_, a := p.pick(t, func(_ *modelRequest, a *modelAttempt) bool {
		return p.live(a) && a.acquire != nil && !a.replied && !a.running
	})
	p.store.advance(t, a.acquire)
	a.acquire.Next()
	switch v := a.acquire.Verdict(); v.Kind {
	case Undecided:
	case Run:
		a.held = v
		a.running = true
		p.runs[a.name]++
	default:
		a.replied, a.reply = true, v.Kind
	}
}

// ExpireStart lets the start-by time of an attempt pass before its claim has
// ended.
func (p *protocolModel) ExpireStart(t *rapid.T) {
	_, a := p.pick(t, func(_ *modelRequest, a *modelAttempt) bool {
		return p.live(a) && a.acquire != nil && !a.replied && !a.running
	})
	a.replied, a.reply = true, NotRun
	a.release = NewRelease(Claim{Attempt: a.name, Writer: p.writer(a.target), Digest: p.digest})
}

// FinishRun ends a run, with or without an answer.
func (p *protocolModel) FinishRun(t *rapid.T) {
	_, a := p.pick(t, func(_ *modelRequest, a *modelAttempt) bool { return p.live(a) && a.running && a.finish == nil })
	a.replied = true
	if rapid.Bool().Draw(t, "answered") {
		a.reply = Replay
		a.finish = NewRecordAnswer(a.held, Answer{Status: 200})
		return
	}
	a.reply = Unknown
	a.finish = NewRecordInterruption(a.held, outcome.EngineFailed)
}

// AdvanceOutcomeWrite makes a target's next call of a write in the background:
// of an outcome or of a release.
func (p *protocolModel) AdvanceOutcomeWrite(t *rapid.T) {
	_, a := p.pick(t, func(_ *modelRequest, a *modelAttempt) bool { return p.live(a) && (a.finish != nil || a.release != nil) })
	if a.finish != nil {
		p.store.advance(t, a.finish)
		return
	}
	p.store.advance(t, a.release)
}

// ReceiveReply lets an entryd receive the target's reply.
func (p *protocolModel) ReceiveReply(t *rapid.T) {
	r, a := p.pick(t, func(r *modelRequest, a *modelAttempt) bool {
		return a.replied && a.void == nil && r.result == Undecided && a == r.last()
	})
	p.conclude(t, r, a.reply)
}

// TimeOutAttempt lets an entryd stop waiting for an attempt and begin to void it.
func (p *protocolModel) TimeOutAttempt(t *rapid.T) {
	skipMostly(t)
	_, a := p.pick(t, func(r *modelRequest, a *modelAttempt) bool {
		return a.void == nil && r.result == Undecided && a == r.last()
	})
	a.void = NewVoid(a.name, p.digest)
}

// AdvanceVoid makes an entryd's next call of a void.
func (p *protocolModel) AdvanceVoid(t *rapid.T) {
	r, a := p.pick(t, func(r *modelRequest, a *modelAttempt) bool {
		return a.void != nil && r.result == Undecided && a == r.last()
	})
	p.store.advance(t, a.void)
	a.void.Next()
	if v := a.void.Verdict(); v.Kind != Undecided {
		p.conclude(t, r, v.Kind)
	}
}

// conclude reports the verdict to the caller or, if the attempt did not run, may
// send a further attempt.
func (p *protocolModel) conclude(t *rapid.T, r *modelRequest, k VerdictKind) {
	if k == NotRun && len(r.attempts) < modelAttempts && rapid.Bool().Draw(t, "retry") {
		for i := range p.requests {
			if p.requests[i] == r {
				p.send(t, i)
			}
		}
		return
	}
	r.result = k
}

// CrashTarget crashes a target and restarts it. It loses the attempts in progress;
// replies that were sent may still arrive.
func (p *protocolModel) CrashTarget(t *rapid.T) {
	skipMostly(t)
	p.crashes[rapid.IntRange(0, 1).Draw(t, "target")]++
}

// ApplyLateWrite performs a write on which its caller has given up. It takes effect
// if the object still has the expected version.
func (p *protocolModel) ApplyLateWrite(t *rapid.T) {
	if len(p.store.lateWrites) == 0 {
		t.Skip("no late write")
	}
	i := rapid.IntRange(0, len(p.store.lateWrites)-1).Draw(t, "write")
	c := p.store.lateWrites[i]
	p.store.lateWrites = append(p.store.lateWrites[:i:i], p.store.lateWrites[i+1:]...)
	p.store.perform(c)
}

// Check verifies the two invariants: at most one run, and NotRun is reported only
// for requests that did not run.
func (p *protocolModel) Check(t *rapid.T) {
	total := 0
	for _, n := range p.runs {
		total += n
	}
	if total > 1 {
		t.Fatalf("%d runs of one key: %v", total, p.runs)
	}
	for i, r := range p.requests {
		for _, a := range r.attempts {
			if r.result == NotRun && p.runs[a.name] > 0 {
				t.Fatalf("request %d was reported as not run, but attempt %v ran", i, a.name)
			}
		}
	}
}

// TestProtocol guards against a second run of a request, and against NotRun for a
// request that ran. Both could come about when crashes, lost responses and late
// writes interleave with retries by the caller and by entryds.
func TestProtocol(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &protocolModel{runs: map[Attempt]int{}, digest: []byte("d")}
		t.Repeat(rapid.StateMachineActions(p))
	})
}
