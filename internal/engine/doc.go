// Package engine is the client of what stands behind a target: a model engine,
// which takes orders and completions, or a plain service, which takes any HTTP
// request.
//
// Calls use net/http's client rather than hertz's, because ending a call when
// its context ends must reach the engine at once.
//
// # Usage
//
//	c := engine.New(addr, epoch)
//	if err := c.Load(ctx, id); err != nil {
//		return err
//	}
//	answer, err := c.Run(ctx, engine.Request{ID: "r1", Method: "POST", Path: "/v1/completions", Body: body})
package engine
