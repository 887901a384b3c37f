// Package target describes the targets that requests are sent to: an engine or
// a plain service on a target VM, with the targetd beside it.
//
// # Usage
//
// A targetd describes itself in one Target and registers it; an entryd keeps
// the registered ones and gives those that match a request to package
// placement.
package target
