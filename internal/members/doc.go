// Package members keeps the targets that a process knows, from their
// registrations in the object API, and marks those as leaving whose VM the
// platform's list says is leaving.
//
// A process whose duty it is watches the registrations and reads the list. The
// others get the registrations from their peers by Since and Merge, and read
// the object API seldom, in case no peer told them.
//
// # Usage
//
//	c := members.New(store, log)
//	c.SetDuty(node.Duty)
//	go c.Run(ctx)
//	for _, t := range c.Targets() { ... }
package members
