package settings

import (
	"net/netip"
	"time"
)

// Node is what a process on a platform that assigns machines is told of itself.
type Node struct {
	Name    string
	Zone    string // availability zone
	Region  string
	Regions map[string]string // region of each availability zone
	Store   netip.AddrPort    // the platform's store

	// Set for processes that take callers' requests.
	Callers   netip.AddrPort // listener for callers
	Readiness netip.AddrPort // listener for the balancer's probe

	// Peers listens for the system's own processes. All VMs use its port.
	Peers   netip.AddrPort
	Metrics netip.AddrPort

	// Set for processes beside a target.
	Engine  netip.AddrPort
	Service string

	Bounds Bounds
	Limits Limits
}

// Limits are the resources of a process on its VM. A limit of zero is none.
type Limits struct {
	Memory      int64 // bytes
	Descriptors int
}

// Bounds are the limits that the platform's operators set for a deployment.
type Bounds struct {
	StopWithin  time.Duration // from the signal to the forced end
	ApplyWithin time.Duration // until an accepted configuration is in force
	DrainWithin time.Duration // until a leaving target gets nothing new
	RetryRatio  float64       // retries for each request of a service
	RetryWindow time.Duration // in which retries are counted
	RetrySlack  float64       // retries of a service in a window beside the ratio

	VersionWithin time.Duration // until an announced version of an adapter serves
}
