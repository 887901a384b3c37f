// Package outcome defines the three things that a caller can be told about a
// request, and the reasons for them.
//
// The three are never mixed:
//
//   - Answered: the whole answer follows or has been delivered.
//   - NotRun: it is proved that the request did not run and never will.
//   - Unknown: the request may have run.
//
// NotRun is a claim about the world, so only a party that can prove it may say
// it: the targetd that refused the request before starting it, the entryd that
// never wrote it to a connection, or the holder of a void claim.
//
// # Usage
//
//	if o == outcome.NotRun && reason.Elsewhere() {
//		// safe to try another target
//	}
package outcome
