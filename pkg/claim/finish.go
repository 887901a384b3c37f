package claim

import "github.com/borageusher/borageusher/pkg/outcome"

// NewFinish returns the operation by which a targetd records the answer of a
// run whose claim it holds; record and version are those of the claim's
// verdict. It ends with Settled. Without a race it is one write.
func NewFinish(held Verdict, a Answer) *Operation {
	if len(a.Body) > MaxReplayBytes {
		a.Body, a.Oversize = nil, true
	}
	return holding(held, finishing{claim: held.Record.Claim, state: answer, answer: a})
}

// NewBreak returns the operation by which a targetd records that a run whose
// claim it holds ended without an answer. It ends with Settled.
func NewBreak(held Verdict, reason outcome.Reason) *Operation {
	return holding(held, finishing{claim: held.Record.Claim, state: breakUp, reason: reason})
}

// NewRelease returns the operation by which a targetd gives back a claim that
// it holds, or may hold, of a request that it has not started and never will.
// It ends with Settled.
func NewRelease(c Claim) *Operation {
	return &Operation{planner: releasing{c}}
}

func holding(held Verdict, p planner) *Operation {
	current := held.Record
	return &Operation{planner: p, known: true, current: &current, version: held.Version}
}

// finishing decides the record of an outcome.
type finishing struct {
	claim  Claim
	state  trigger
	answer Answer
	reason outcome.Reason
}

func (f finishing) plan(current *Record) step {
	if current == nil || !sameHolder(current.Claim, f.claim) {
		return ended(Settled, outcome.NoReason)
	}
	if current.State != Claimed && (current.State != Broken || f.state != answer) {
		return ended(Settled, outcome.NoReason)
	}
	next := *current
	next.State = moved(current.State, f.state)
	next.Answer = f.answer
	next.Reason = f.reason
	return step{write: &next, verdict: Verdict{Kind: Settled}}
}

// releasing decides the return of a claim. Where there is no record it writes
// one, so that a claim that is still under way cannot take effect later.
type releasing struct{ claim Claim }

func (r releasing) plan(current *Record) step {
	next := Record{Claim: Claim{Digest: r.claim.Digest}}
	if current != nil {
		if current.State != Claimed || !sameHolder(current.Claim, r.claim) {
			return ended(Settled, outcome.NoReason)
		}
		next = *current
	}
	next.State = moved(next.State, void)
	return step{write: &next, verdict: Verdict{Kind: Settled}}
}

func sameHolder(a, b Claim) bool { return a.Attempt == b.Attempt && a.Writer == b.Writer }
