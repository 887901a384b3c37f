// Package measurement measures the deciders of placement, residency, dispatch
// and load budget together, on the deployments of the users, by benchmarks with
// synthetic time. It holds test files only.
//
// # Usage
//
//	go test -run '^$' -bench Fleet ./internal/measurement
package measurement
