package target

import (
	"fmt"
	"net/netip"
	"time"
)

// Replica is one target as the platform lists it. Targets that the platform
// registers have no targetd in their path.
type Replica struct {
	ID        string // differs for most starts of the target
	Service   string
	Addr      netip.AddrPort
	Zone      string // availability zone
	Slots     int
	State     State
	Started   time.Time     // together with ID it names one start
	Remaining time.Duration // until a target that leaves at short notice is gone, zero if not told
}

// Incarnation names one start of the replica.
func (r Replica) Incarnation() Incarnation { return Incarnation{r.ID, r.Started.UnixMilli()} }

// Incarnation identifies one start of a replica. What was known of an earlier
// start does not hold for it.
type Incarnation struct {
	ID      string
	Started int64 // Unix milliseconds
}

// String returns the incarnation's name in logs and reports.
func (i Incarnation) String() string { return fmt.Sprintf("%s/%d", i.ID, i.Started) }
