// Package scale measures what a node costs, with real processes on loopback
// addresses: processor time, memory, bytes and calls to the object API against
// the number of targets, entries, adapters and changes.
//
// Its tests are experiments: they print tables and slopes, and fail only when
// a stated goal is missed by the programs rather than by the machine. They run
// under the build tag scale, so that "make test" stays quick.
//
// # Usage
//
//	make scale                       # all experiments, some minutes
//	go test -tags scale -v ./internal/scale -run TestPathCost
package scale
