// Package claim implements the protocol by which a request with an idempotency
// key runs at most once.
//
// Each key has one record in the platform's object API, which is updated by
// compare-and-swap on the object's version. Of conflicting updates the first
// takes effect: a targetd that writes the state Claimed may run the request; an
// entryd that adds an attempt to the record's Voided attempts has proved that
// this attempt will never run. After the run the targetd writes the outcome, and
// with it the answer for replay if that is small enough (MaxReplayBytes).
//
// The package does no I/O. An Operation is a state machine: it returns the next
// call of the object API, takes the reply to it, and ends with a Verdict. If the
// response to a write was lost, the Operation reads the record back to determine
// whether the write took effect. It tolerates every order of events that the
// object API allows, including a write that takes effect long after its caller
// has given up on it.
//
// # Usage
//
//	op := claim.NewAcquire(claim.Claim{Attempt: a, Writer: self, Digest: d})
//	for {
//		call, ok := op.Next()
//		if !ok {
//			break
//		}
//		op.ApplyReply(perform(call))
//	}
//	if op.Verdict().Kind == claim.Run {
//		// start the request
//	}
package claim
