package claim

import "github.com/borageusher/borageusher/pkg/outcome"

// NewVoid returns the operation by which an entryd finds out whether an
// attempt that it lost has run, and if not, keeps it from ever running. It
// ends with NotRun, Replay or Unknown.
func NewVoid(a Attempt, digest []byte) *Operation {
	return &Operation{planner: voiding{attempt: a, digest: digest}, known: true}
}

// voiding decides voids.
type voiding struct {
	attempt Attempt
	digest  []byte
}

func (v voiding) plan(current *Record) step {
	lost := Verdict{Kind: NotRun, Reason: outcome.TargetLost}
	if current == nil {
		return v.write(&Record{Claim: Claim{Digest: v.digest}}, lost)
	}
	if !current.sameRequest(v.digest) {
		return ended(NotRun, outcome.KeyMismatch)
	}
	switch current.State {
	case Void:
		if current.excludes(v.attempt) {
			return step{verdict: lost}
		}
		return v.write(current, lost)
	case Claimed:
		return v.planClaimed(current, lost)
	}
	return repeated(current)
}

// planClaimed decides against a claim that stands. A claim of an earlier
// attempt at the same request is one that was not given back. Beside another
// request's claim the attempt may stay: it can only run if that one did not.
func (v voiding) planClaimed(current *Record, lost Verdict) step {
	switch holder := current.Claim.Attempt; {
	case holder == v.attempt:
		return ended(Unknown, outcome.TargetLost)
	case holder.Request == v.attempt.Request:
		return v.write(current, lost)
	}
	return ended(Unknown, outcome.KeyInProgress)
}

// write excludes the attempt, or gives up when the record can hold no more.
func (v voiding) write(current *Record, after Verdict) step {
	if len(current.Voided) >= MaxVoided {
		return ended(Unknown, outcome.TargetLost)
	}
	next := *current
	next.State = moved(current.State, void)
	next.Voided = append(append([]Attempt(nil), current.Voided...), v.attempt)
	return step{write: &next, verdict: after}
}
