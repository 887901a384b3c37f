// Package upstream sends requests to targets over HTTP/1.1 and says exactly
// what is known of each afterwards: never sent, refused, answered, or sent with
// an outcome that is not known.
//
// It keeps its own connections instead of net/http's Transport, because the
// Transport repeats requests by itself, and because an answer that belongs to
// an earlier request must be recognised by its id and skipped.
//
// # Usage
//
//	c := upstream.New(upstream.Options{Dialect: dialect})
//	answer, err := c.Do(ctx, addr, req)
//	if upstream.WasSent(err) {
//		// the request may have run
//	}
package upstream
