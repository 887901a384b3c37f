// Package claim decides who may run a request that has an idempotency key.
//
// There is one record for each key in the platform's object API. Whoever
// changes it first wins: a targetd that writes Claimed runs the request; an
// entryd that puts an attempt into Voided has proved that this attempt never
// will run. The outcome is written after the run, with a small answer for
// replay.
//
// The package does no I/O. An Operation names the next call of the object API,
// is told the reply, and ends in a Verdict. A write whose answer was lost is
// settled by reading the record back, so an Operation may be fed replies in any
// order of events that the object API allows, also a write that takes effect
// long after its caller gave up on it.
//
// # Usage
//
//	op := claim.NewTake(claim.Claim{Attempt: a, Writer: self, Digest: d})
//	for {
//		call, ok := op.Next()
//		if !ok {
//			break
//		}
//		op.Tell(perform(call))
//	}
//	if op.Verdict().Kind == claim.Run {
//		// start the request
//	}
package claim
