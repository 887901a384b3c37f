// Package outcome defines the outcomes that are reported to a caller about a request,
// and the reasons for them.
//
// There are three mutually exclusive outcomes:
//
//   - Answered: the whole answer follows or has been delivered.
//   - NotRun: it is proved that the request did not run and never will.
//   - Unknown: the request may have run.
//
// NotRun may be reported only by a process that can prove it: the targetd that refused
// the request before starting it, the entryd that never wrote it to a connection, or
// the process that voided the attempt, see package claim.
//
// # Usage
//
//	if o == outcome.NotRun && reason.RetryElsewhere() {
//		// safe to retry on another target
//	}
package outcome
