package target

import (
	"fmt"
	"net/netip"
	"time"
)

// Replica is one target that the platform registers and lists. Requests to it do not
// pass through a targetd.
type Replica struct {
	ID        string // differs for most starts of the target
	Service   string
	Addr      netip.AddrPort
	Zone      string // availability zone
	Version   string // of its software, empty if it is not known
	Slots     int    // requests that it runs concurrently
	State     State
	Started   time.Time     // identifies one start, together with ID
	Remaining time.Duration // time until a target that leaves at short notice stops, zero if unknown
}

// Incarnation returns the identity of this start of the replica.
func (r Replica) Incarnation() Incarnation { return Incarnation{r.ID, r.Started.UnixMilli()} }

// Incarnation identifies one start of a replica. State learned about an earlier start
// does not apply to it.
type Incarnation struct {
	ID      string
	Started int64 // Unix milliseconds
}

// String returns the incarnation's name in logs and reports.
func (i Incarnation) String() string { return fmt.Sprintf("%s/%d", i.ID, i.Started) }
