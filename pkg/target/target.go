package target

import "net/netip"

// State says whether a target takes new work.
type State uint8

// The states of a target.
const (
	Live    State = iota // takes new work
	Leaving              // finishes what it has and takes nothing new
	Gone                 // its targetd has ended
)

// String returns the state's name in own formats.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	case Gone:
		return "gone"
	}
	return "unrecognised"
}

// ParseState is the inverse of State.String. It reports false for other texts.
func ParseState(s string) (State, bool) {
	for _, st := range []State{Live, Leaving, Gone} {
		if st.String() == s {
			return st, true
		}
	}
	return 0, false
}

// Target is one target as its targetd registered it.
type Target struct {
	Name        string
	Team        string // owner
	Service     string
	Region      string
	Zone        string // availability zone
	Addr        netip.AddrPort
	Epoch       uint64 // fencing number of the registered targetd
	Incarnation string // identity of the registered process
	Slots       int    // requests that the engine runs at once
	State       State
}

// SameProcess reports whether t and u were registered by one process.
func (t Target) SameProcess(u Target) bool {
	return t.Name == u.Name && t.Incarnation == u.Incarnation
}
