// Package target describes the targets to which requests are sent. A target is an
// engine or a plain service on a target VM, with a targetd as its sidecar.
//
// # Usage
//
// A targetd registers itself as one Target. An entryd keeps the registered targets and
// passes those that match a request to package placement.
package target
