// Package upstream sends requests to targets over HTTP/1.1. The
// result of each request distinguishes whether it was answered, never sent, or
// sent with an unknown outcome.
//
// It has its own connection pool instead of net/http's Transport, because the
// Transport retries requests automatically, and because a late response to an
// earlier request must be recognized by its request id and skipped. A connection
// carries each request id once, so that the id identifies the request on it.
//
// # Usage
//
//	c := upstream.New(codec.RequestID)
//	resp, err := c.Do(ctx, addr, req)
//	if upstream.WasSent(err) {
//		// the request may have run
//	}
package upstream
