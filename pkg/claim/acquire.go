package claim

import "github.com/borageusher/borageusher/pkg/outcome"

// NewAcquire returns the operation by which a targetd claims the key of a request
// before it runs the request. It ends with Run, NotRun, Replay or Unknown. If the
// key has no record and no other process writes one, it takes a single write.
func NewAcquire(c Claim) *Operation {
	return &Operation{planner: acquirePlanner{c}, fresh: true}
}

// acquirePlanner plans the operation of NewAcquire.
type acquirePlanner struct{ claim Claim }

func (p acquirePlanner) plan(current *Record) step {
	if current == nil {
		return p.write(&Record{})
	}
	if !current.sameRequest(p.claim.Digest) {
		return verdictStep(NotRun, outcome.KeyMismatch)
	}
	if current.hasVoided(p.claim.Attempt) {
		return verdictStep(NotRun, outcome.TargetLost)
	}
	switch current.State {
	case Void:
		return p.write(current)
	case Claimed:
		return p.planClaimed(current)
	}
	return verdictForOutcome(current)
}

// planClaimed plans for a record in state Claimed. An entryd makes a further
// attempt only when the earlier ones will never run, so the further attempt may
// replace the claim of an earlier one that was not released.
func (p acquirePlanner) planClaimed(current *Record) step {
	holder := current.Claim
	switch {
	case holder.Attempt == p.claim.Attempt && holder.Writer == p.claim.Writer:
		return verdictStep(Run, outcome.NoReason)
	case holder.Attempt.Request == p.claim.Attempt.Request && holder.Attempt.Number < p.claim.Attempt.Number:
		return p.write(current)
	case holder.Attempt.Request == p.claim.Attempt.Request:
		return verdictStep(NotRun, outcome.TargetLost)
	case holder.Writer.Name == p.claim.Writer.Name && holder.Writer.Incarnation != p.claim.Writer.Incarnation:
		return interruptClaim(current)
	}
	return verdictStep(Unknown, outcome.KeyInProgress)
}

func (p acquirePlanner) write(current *Record) step {
	next := Record{State: nextState(current.State, triggerClaim), Claim: p.claim, Voided: current.Voided}
	return step{write: &next, verdict: Verdict{Kind: Run}}
}

// interruptClaim records that the process which holds the claim has ended
// without writing an outcome.
func interruptClaim(current *Record) step {
	next := *current
	next.State = nextState(current.State, triggerInterrupt)
	next.Reason = outcome.TargetLost
	return step{write: &next, verdict: Verdict{Kind: Unknown, Reason: outcome.TargetLost}}
}

// verdictForOutcome returns the verdict on a request whose record already holds
// an outcome.
func verdictForOutcome(current *Record) step {
	switch {
	case current.State != Answered:
		return verdictStep(Unknown, current.Reason)
	case current.Answer.BodyOmitted:
		return verdictStep(Unknown, outcome.ResultExpired)
	}
	return verdictStep(Replay, outcome.NoReason)
}

func verdictStep(kind VerdictKind, reason outcome.Reason) step {
	return step{verdict: Verdict{Kind: kind, Reason: reason}}
}
