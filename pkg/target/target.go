package target

import "net/netip"

// State is the state of a target, which decides whether it accepts new requests.
type State uint8

// The states of a target.
const (
	Live    State = iota // accepts new requests
	Leaving              // drains: finishes its requests and accepts no new ones
	Gone                 // its targetd has stopped
)

// String returns the state's name in stored records and reports.
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

// ParseState is the inverse of State.String. It returns false for other strings.
func ParseState(s string) (State, bool) {
	for _, st := range []State{Live, Leaving, Gone} {
		if st.String() == s {
			return st, true
		}
	}
	return 0, false
}

// Target is the registration of one target by its targetd.
type Target struct {
	Name        string
	Team        string // owning team
	Service     string
	Region      string
	Zone        string // availability zone
	Addr        netip.AddrPort
	Epoch       uint64 // fencing token of the registered targetd
	Incarnation string // unique identifier of the registered process
	Slots       int    // requests that the engine runs concurrently
	State       State
}

// SameProcess reports whether t and u were registered by one process.
func (t Target) SameProcess(u Target) bool {
	return t.Name == u.Name && t.Incarnation == u.Incarnation
}
