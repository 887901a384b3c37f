// Package scale measures the resource use of the entryd and targetd processes on
// loopback addresses: processor time, memory, network traffic between peers and
// calls to the object API, as functions of the number of targets, entryds,
// adapters and configuration changes.
//
// Its tests are experiments. They print measurements and linear fits, and fail
// only if the programs, rather than the machine, miss a stated goal. They need the
// build tag scale, because they take minutes and "make test" must stay fast.
//
// # Usage
//
//	make scale                       # all experiments, some minutes
//	go test -tags scale -v ./internal/scale -run TestPathCost
package scale
