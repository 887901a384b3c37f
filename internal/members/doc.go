// Package members maintains the list of targets of a deployment from their
// registrations in the object API. It marks a registration as leaving when the
// target's VM is leaving according to the platform's list of VMs.
//
// Processes whose revision.WatchPolicy has Watch set watch the registrations and
// read the list of VMs. The others receive the registrations from their peers, by
// ChangesSince and Merge, and poll the object API at a long interval in case a
// change does not reach them through a peer.
//
// # Usage
//
//	c := members.New(store, log)
//	c.SetWatchPolicy(node.WatchPolicy)
//	go c.Run(ctx)
//	for _, t := range c.Targets() { ... }
package members
