// Package routing holds the traffic rules that operators set. They select the service
// of a request by host and path prefix, and determine whether the request may be
// retried and within which limits it is handled.
//
// A Configuration is immutable. A request is handled under the configuration that was
// in force when it arrived.
//
// # Usage
//
//	route, ok := cfg.Match("desk.example", "/fees/17")
//	if !ok {
//		// 404
//	}
//	service := route.Pick(draw) // draw in [0,1)
package routing
