// Package claims keeps the claims of requests with an idempotency key in the
// object API. It performs the operations of package claim: it makes their
// calls, with a timeout for each and a pause between failed ones, and counts
// the calls by purpose.
//
// A Ledger serves one process. What is written after a run is written in the
// background, from a bounded backlog.
//
// # Usage
//
//	l := claims.New(claims.Options{...})
//	go l.Run(ctx)
//	v, err := l.Take(ctx, name, attempt, digest)
//	if err == nil && v.Kind == claim.Run {
//		// run the request, then
//		l.Finish(name, v, answer)
//	}
package claims
