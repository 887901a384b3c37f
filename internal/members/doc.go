// Package members maintains the list of targets of a deployment from their
// registrations in the object API. It marks a registration as leaving when the
// target's VM is leaving according to the platform's list of VMs.
//
// Processes whose revision.Duty says so watch the registrations and read the
// list of VMs. The others receive the registrations from their peers, by Since
// and Merge, and poll the object API at a long interval in case a change does
// not reach them through a peer.
//
// # Usage
//
//	c := members.New(store, log)
//	c.SetDuty(node.Duty)
//	go c.Run(ctx)
//	for _, t := range c.Targets() { ... }
package members
