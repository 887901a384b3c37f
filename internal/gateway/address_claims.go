package gateway

import (
	"time"

	"github.com/borageusher/borageusher/pkg/target"
)

// supersedes reports whether the entry a means that the target of b, at the same address,
// has ended: a is a later start of a target of that service. An entry of another service
// proves nothing, because any writer may name any address, and a target rejects requests
// that are meant for another one.
func supersedes(a, b target.Replica) bool {
	return a.ID != b.ID && a.Addr == b.Addr && a.Service == b.Service && a.Started.After(b.Started)
}

// isSuperseded reports whether a target has started later at the address of r. An entry
// outlives its target for a while. The caller holds mu.
func (f *Fleet) isSuperseded(r target.Replica) bool {
	for _, t := range f.targets {
		if supersedes(t.replica, r) {
			return true
		}
	}
	return false
}

// dropSuperseded drops the targets that have ended according to r. The caller holds mu.
func (f *Fleet) dropSuperseded(now time.Time, r target.Replica) {
	for _, t := range f.targets {
		if supersedes(r, t.replica) {
			f.logState(t.replica, "superseded")
			f.drop(now, t)
		}
	}
}
