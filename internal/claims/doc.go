// Package claims stores the claims of requests with an idempotency key in the
// object API. It performs the operations of package claim: it makes their
// calls, with a timeout for each call and a backoff after each failed one, and
// counts the calls by purpose.
//
// Each process has one Ledger. Outcomes and releases are written in the
// background, from a bounded queue.
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
