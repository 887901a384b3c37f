// Package claims stores the claims of requests with an idempotency key in the
// object API. It performs the operations of package claim: it makes their
// calls, with a timeout for each call and a backoff after each failed one, and
// counts the calls by purpose.
//
// Each process has one Client. Outcomes and releases are written in the
// background, from a bounded queue.
//
// # Usage
//
//	c := claims.New(claims.Options{...})
//	go c.Run(ctx)
//	v, err := c.Acquire(ctx, name, attempt, digest)
//	if err == nil && v.Kind == claim.Run {
//		// run the request, then
//		c.RecordAnswer(name, v, answer)
//	}
package claims
