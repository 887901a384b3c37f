// Package engine implements the HTTP client for the backend of a target: a model
// engine, which accepts completions and orders to load and unload adapters, or a
// plain service, which accepts any HTTP request.
//
// The client is that of net/http rather than that of hertz, the HTTP framework of
// the daemons' servers, because the end of a call's context must abort the request
// at the engine immediately.
//
// # Usage
//
//	c := engine.New(addr, epoch)
//	if err := c.Load(ctx, id); err != nil {
//		return err
//	}
//	response, err := c.Run(ctx, engine.Request{ID: "r1", Method: "POST", Path: "/v1/completions", Body: body})
package engine
