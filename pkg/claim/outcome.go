package claim

import "github.com/borageusher/borageusher/pkg/outcome"

// NewRecordAnswer returns the operation by which a targetd records the answer of a
// run whose claim it holds; held is the verdict of the operation that acquired the
// claim. It ends with Recorded. If no other process has changed the record since,
// it takes a single write.
func NewRecordAnswer(held Verdict, a Answer) *Operation {
	if len(a.Body) > MaxReplayBytes {
		a.Body, a.BodyOmitted = nil, true
	}
	return newHeldOperation(held, outcomePlanner{claim: held.Record.Claim, outcomeTrigger: triggerAnswer, answer: a})
}

// NewRecordInterruption returns the operation by which a targetd records that a
// run whose claim it holds ended without an answer; held is the verdict of the
// operation that acquired the claim. It ends with Recorded.
func NewRecordInterruption(held Verdict, reason outcome.Reason) *Operation {
	return newHeldOperation(held, outcomePlanner{claim: held.Record.Claim, outcomeTrigger: triggerInterrupt, reason: reason})
}

// NewRelease returns the operation by which a targetd releases a claim that it
// holds, or may hold, on a request that it has not started and never will. It
// ends with Recorded.
func NewRelease(c Claim) *Operation {
	return &Operation{planner: releasePlanner{c}}
}

// newHeldOperation returns an operation that starts from the record of a held claim
// without reading it.
func newHeldOperation(held Verdict, p planner) *Operation {
	current := held.Record
	return &Operation{planner: p, fresh: true, current: &current, version: held.Version}
}

// outcomePlanner plans the operations of NewRecordAnswer and NewRecordInterruption.
type outcomePlanner struct {
	claim          Claim
	outcomeTrigger trigger
	answer         Answer
	reason         outcome.Reason
}

// plan leaves the record unchanged unless the claim is still held. An answer also
// replaces an interruption, which a later incarnation of the process records on
// the assumption that this one has ended.
func (p outcomePlanner) plan(current *Record) step {
	if current == nil || !sameHolder(current.Claim, p.claim) {
		return verdictStep(Recorded, outcome.NoReason)
	}
	if current.State != Claimed && (current.State != Interrupted || p.outcomeTrigger != triggerAnswer) {
		return verdictStep(Recorded, outcome.NoReason)
	}
	next := *current
	next.State = nextState(current.State, p.outcomeTrigger)
	next.Answer = p.answer
	next.Reason = p.reason
	return step{write: &next, verdict: Verdict{Kind: Recorded}}
}

// releasePlanner plans the operation of NewRelease. If the record does not exist,
// it creates one, so that a write of the claim that is still in flight conflicts
// and cannot take effect later.
type releasePlanner struct{ claim Claim }

func (r releasePlanner) plan(current *Record) step {
	next := Record{Claim: Claim{Digest: r.claim.Digest}}
	if current != nil {
		if current.State != Claimed || !sameHolder(current.Claim, r.claim) {
			return verdictStep(Recorded, outcome.NoReason)
		}
		next = *current
	}
	next.State = nextState(next.State, triggerVoid)
	return step{write: &next, verdict: Verdict{Kind: Recorded}}
}

// sameHolder reports whether a and b are the claim of the same attempt and writer.
func sameHolder(a, b Claim) bool { return a.Attempt == b.Attempt && a.Writer == b.Writer }
