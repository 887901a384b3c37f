package holder

import (
	"cmp"
	"slices"

	"github.com/borageusher/borageusher/pkg/placement"
)

// Process is a process that can hold state.
type Process struct {
	Name     string // decides between processes of the same hash
	Hash     uint64 // of its address
	Zone     string // availability zone
	Distance int    // Best prefers near processes; the same for all without a preference
	Absent   bool   // it is listed but can't be reached
}

// rank returns the rendezvous rank of the process for a key.
func (p *Process) rank(key uint64) uint64 { return placement.Mix(key ^ p.Hash) }

// precedes reports whether p is a better holder than q.
func (p *Process) precedes(key uint64, q *Process) bool {
	c := cmp.Or(cmp.Compare(p.Distance, q.Distance), cmp.Compare(q.rank(key), p.rank(key)), cmp.Compare(p.Name, q.Name))
	return c < 0
}

// Choice is a single holder.
type Choice struct {
	Index int  // negative if no process can be reached
	First bool // it is the best of all processes, including those that can't be reached
}

// Set is the processes that can hold state at one moment.
type Set struct {
	processes []Process
	zoneOf    []int // zone of each process, counted from zero
	zones     int
}

// NewSet returns a set of processes. It retains the slice.
func NewSet(processes []Process) Set {
	s := Set{processes: processes, zoneOf: make([]int, len(processes))}
	zones := map[string]int{}
	for i := range processes {
		z, ok := zones[processes[i].Zone]
		if !ok {
			z = len(zones)
			zones[processes[i].Zone] = z
		}
		s.zoneOf[i] = z
	}
	s.zones = len(zones)
	return s
}

// Best returns the holder for a key.
func (s *Set) Best(key uint64) Choice {
	best, first := -1, -1
	for i := range s.processes {
		p := &s.processes[i]
		if first < 0 || p.precedes(key, &s.processes[first]) {
			first = i
		}
		if !p.Absent && (best < 0 || p.precedes(key, &s.processes[best])) {
			best = i
		}
	}
	if best < 0 {
		return Choice{Index: -1}
	}
	b, f := &s.processes[best], &s.processes[first]
	return Choice{Index: best, First: b.Hash == f.Hash && b.Distance == f.Distance}
}

// ranked is a process and its rank for a key.
type ranked struct {
	index int
	rank  uint64
}

func byRank(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.index, b.index))
}

// Spread returns the indices of the processes that hold the copies for a key, in order of
// preference: in each availability zone an equal part of the copies, rounded up, and the
// spares in addition. The loss of a zone leaves the holders of the others, and a process
// that joins or leaves changes only those of its own zone.
func (s *Set) Spread(key uint64, copies, spares int) []int {
	perZone := (copies+s.zones-1)/max(1, s.zones) + spares
	all := make([]ranked, s.zones*perZone) // the best of each zone, in order
	counts := make([]int, s.zones)
	for i := range s.processes {
		z := s.zoneOf[i]
		r := ranked{i, s.processes[i].rank(key)}
		best := all[z*perZone : (z+1)*perZone]
		n := counts[z]
		if n == perZone && byRank(best[n-1], r) < 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best[:n], r, byRank)
		copy(best[at+1:], best[at:])
		best[at] = r
		counts[z] = min(n+1, perZone)
	}
	found := all[:0]
	for z, n := range counts {
		found = append(found, all[z*perZone:z*perZone+n]...)
	}
	slices.SortFunc(found, byRank)
	out := make([]int, len(found))
	for i, r := range found {
		out[i] = r.index
	}
	return out
}
