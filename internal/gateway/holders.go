package gateway

import (
	"github.com/borageusher/borageusher/pkg/holder"
)

// holderSet are targets whose targetds can hold state that entryds share.
type holderSet struct {
	targets []*targetState
	set     holder.Set // the targetds
}

// holders returns the targets that a condition applies to. The caller holds mu.
func (f *Fleet) holders(applies func(*targetState) bool) holderSet {
	return f.holdersAs(applies, func(*targetState, *holder.Process) {})
}

// holdersAs does what holders does, and has refine change the processes. The caller holds
// mu.
func (f *Fleet) holdersAs(applies func(*targetState) bool, refine func(*targetState, *holder.Process)) holderSet {
	var targets []*targetState
	for _, t := range f.targets {
		if applies(t) {
			targets = append(targets, t)
		}
	}
	processes := make([]holder.Process, len(targets))
	for i, t := range targets {
		processes[i] = holder.Process{Name: t.replica.ID, Hash: t.vmHash, Zone: t.replica.Zone}
		refine(t, &processes[i])
	}
	return holderSet{targets, holder.NewSet(processes)}
}

// best returns the holder for a key, nil if none can be reached, and whether it is the best
// of all.
func (s *holderSet) best(key uint64) (t *targetState, first bool) {
	c := s.set.Best(key)
	if c.Index < 0 {
		return nil, false
	}
	return s.targets[c.Index], c.First
}
