package claim

import "github.com/borageusher/borageusher/pkg/outcome"

// NewTake returns the operation by which a targetd claims a request before it
// runs it. It ends with Run, NotRun, Replay or Unknown. Without a race it is
// one write.
func NewTake(c Claim) *Operation {
	return &Operation{planner: taking{c}, known: true}
}

// taking decides claims.
type taking struct{ want Claim }

func (t taking) plan(current *Record) step {
	if current == nil {
		return t.write(&Record{})
	}
	if !current.sameRequest(t.want.Digest) {
		return ended(NotRun, outcome.KeyMismatch)
	}
	if current.excludes(t.want.Attempt) {
		return ended(NotRun, outcome.TargetLost)
	}
	switch current.State {
	case Void:
		return t.write(current)
	case Claimed:
		return t.planClaimed(current)
	}
	return repeated(current)
}

// planClaimed decides against a claim that stands. An entryd makes a later
// attempt only when the earlier ones never will run, so it may take over the
// claim of an earlier attempt that was not given back.
func (t taking) planClaimed(current *Record) step {
	holder := current.Claim
	switch {
	case holder.Attempt == t.want.Attempt && holder.Writer == t.want.Writer:
		return ended(Run, outcome.NoReason)
	case holder.Attempt.Request == t.want.Attempt.Request && holder.Attempt.Number < t.want.Attempt.Number:
		return t.write(current)
	case holder.Attempt.Request == t.want.Attempt.Request:
		return ended(NotRun, outcome.TargetLost)
	case holder.Writer.Name == t.want.Writer.Name && holder.Writer.Incarnation != t.want.Writer.Incarnation:
		return died(current)
	}
	return ended(Unknown, outcome.KeyInProgress)
}

func (t taking) write(current *Record) step {
	next := Record{State: moved(current.State, take), Claim: t.want, Voided: current.Voided}
	return step{write: &next, verdict: Verdict{Kind: Run}}
}

// died notes that the process which claimed has ended without an outcome.
func died(current *Record) step {
	next := *current
	next.State = moved(current.State, breakUp)
	next.Reason = outcome.TargetLost
	return step{write: &next, verdict: Verdict{Kind: Unknown, Reason: outcome.TargetLost}}
}

// repeated decides on a request that ran before.
func repeated(current *Record) step {
	switch {
	case current.State != Answered:
		return ended(Unknown, current.Reason)
	case current.Answer.Oversize:
		return ended(Unknown, outcome.ResultExpired)
	}
	return ended(Replay, outcome.NoReason)
}

func ended(kind VerdictKind, reason outcome.Reason) step {
	return step{verdict: Verdict{Kind: kind, Reason: reason}}
}
