package streams

import (
	"cmp"
	"slices"

	"github.com/borageusher/borageusher/pkg/placement"
)

// Process is a process that can keep origins.
type Process struct {
	Hash uint64 // of its address
	Zone string // availability zone
}

// Holders returns the indices of the processes that keep the origin of a stream, in order
// of preference: in each availability zone the perZone processes of the highest rendezvous
// rank. The loss of a zone leaves the holders of the others, and a process that joins or
// leaves changes only those of its own zone.
func Holders(k Key, processes []Process, perZone int) []int {
	type ranked struct {
		index int
		rank  uint64
	}
	byRank := func(a, b ranked) int { return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.index, b.index)) }
	zones := map[string][]ranked{}
	for i, p := range processes {
		r := ranked{i, placement.Mix(uint64(k) ^ p.Hash)}
		best := zones[p.Zone]
		at, _ := slices.BinarySearchFunc(best, r, byRank)
		best = slices.Insert(best, at, r)
		zones[p.Zone] = best[:min(len(best), perZone)]
	}
	var all []ranked
	for _, best := range zones {
		all = append(all, best...)
	}
	slices.SortFunc(all, byRank)
	out := make([]int, len(all))
	for i, r := range all {
		out[i] = r.index
	}
	return out
}
