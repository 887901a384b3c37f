// Package routing holds the traffic rules that operators set: which service a
// request goes to, by host and path, and how it may be treated.
//
// A Configuration is immutable. A request is handled under the one that was in
// force when it arrived.
//
// # Usage
//
//	route, ok := cfg.Match("desk.example", "/fees/17")
//	if !ok {
//		// 404
//	}
//	service := route.Pick(draw) // draw in [0,1)
package routing
