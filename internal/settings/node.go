package settings

import (
	"net/netip"
	"time"
)

// Node holds the settings of one process on a platform that assigns VMs. The
// platform provides them.
type Node struct {
	Name    string
	Zone    string // availability zone
	Region  string
	Regions map[string]string // region of each availability zone
	Store   netip.AddrPort    // address of the platform's store

	FirstStart bool // the whole system starts for the first time

	// Set only for processes that serve requests of callers.
	Callers   netip.AddrPort // listener for callers
	Readiness netip.AddrPort // listener for the load balancer's readiness probe

	// Peers is the address of the listener for other processes of this system,
	// which use the same port on all VMs.
	Peers netip.AddrPort

	// Set only for processes that run next to a target.
	Engine netip.AddrPort // address of the engine on the same VM

	Bounds Bounds
	Limits Limits
}

// Limits are the resource limits of a process on its VM. Zero means no limit.
type Limits struct {
	Memory      int64 // bytes
	Descriptors int   // open file descriptors
}

// Bounds are the timeouts and the retry budget that the platform's operators set
// for a deployment.
type Bounds struct {
	StopTimeout time.Duration // from the termination signal to the forced exit
	ApplyWithin time.Duration // from the acceptance of a configuration until it is in force
	DrainWithin time.Duration // until a leaving target gets no new requests
	RetryRatio  float64       // retries per request of a service
	RetryWindow time.Duration // sliding window in which requests and retries are counted
	RetrySlack  float64       // retries per service and window that are allowed in addition to the ratio

	VersionWithin time.Duration // until an announced version of an adapter serves requests

	RevokeWithin time.Duration // until a key that was taken away is refused by all processes, zero for no such bound
	QuotaWindow  time.Duration // sliding window in which the use of a quota is counted
	QuotaOver    float64       // share of a quota that may be exceeded in a window
	QuotaSlack   float64       // units that may be exceeded in a window in addition
}

// Shares of the bounds on the age of a configuration that are used as the time between two
// calls of the store. In steady state the age is at most that time and one round trip.
const (
	// revokePeriodShare keeps the age below 2.1 s with a bound of 5 s: a lost response
	// costs 1 s more, a second one 2 s more.
	revokePeriodShare = 0.4
	// applyPeriodShare leaves time for a lost response within the time in which a
	// configuration must be in force.
	applyPeriodShare = 0.5
)

// ConfirmationPeriod returns the time between two calls of the store by which a process
// knows the age of the configuration well within RevokeWithin, zero if there is no such
// bound.
func (b Bounds) ConfirmationPeriod() time.Duration {
	return time.Duration(min(revokePeriodShare*float64(b.RevokeWithin), applyPeriodShare*float64(b.ApplyWithin)))
}
