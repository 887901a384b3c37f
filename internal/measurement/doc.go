// Package measurement evaluates routing, adapter residency, request scheduling and
// the load budget together, by discrete-event simulation of the users'
// deployments. Its benchmarks print the metrics of each policy, its tests check
// the performance goals. It holds test files only.
//
// # Usage
//
//	go test -run '^$' -bench Fleet ./internal/measurement
package measurement
