package claim

import "github.com/borageusher/borageusher/pkg/outcome"

// NewVoid returns the operation by which an entryd voids an attempt whose
// outcome it does not know: unless the attempt has already claimed the key, it
// will never run. The operation ends with NotRun, Replay or Unknown.
func NewVoid(a Attempt, digest []byte) *Operation {
	return &Operation{planner: voidPlanner{attempt: a, digest: digest}, fresh: true}
}

// voidPlanner plans the operation of NewVoid.
type voidPlanner struct {
	attempt Attempt
	digest  []byte
}

func (v voidPlanner) plan(current *Record) step {
	lost := Verdict{Kind: NotRun, Reason: outcome.TargetLost}
	if current == nil {
		return v.write(&Record{Claim: Claim{Digest: v.digest}}, lost)
	}
	if !current.sameRequest(v.digest) {
		return verdictStep(NotRun, outcome.KeyMismatch)
	}
	switch current.State {
	case Void:
		if current.hasVoided(v.attempt) {
			return step{verdict: lost}
		}
		return v.write(current, lost)
	case Claimed:
		return v.planClaimed(current, lost)
	}
	return verdictForOutcome(current)
}

// planClaimed plans for a record in state Claimed. A claim by an earlier attempt
// at the same request was not released, and is voided. If another request holds
// the claim, the attempt is not voided and its outcome stays unknown; it can run
// only if that request did not.
func (v voidPlanner) planClaimed(current *Record, lost Verdict) step {
	switch holder := current.Claim.Attempt; {
	case holder == v.attempt:
		return verdictStep(Unknown, outcome.TargetLost)
	case holder.Request == v.attempt.Request:
		return v.write(current, lost)
	}
	return verdictStep(Unknown, outcome.KeyInProgress)
}

// write adds the attempt to the voided ones. It ends with Unknown if the record
// has reached MaxVoided.
func (v voidPlanner) write(current *Record, after Verdict) step {
	if len(current.Voided) >= MaxVoided {
		return verdictStep(Unknown, outcome.TargetLost)
	}
	next := *current
	next.State = nextState(current.State, triggerVoid)
	next.Voided = append(append([]Attempt(nil), current.Voided...), v.attempt)
	return step{write: &next, verdict: after}
}
