// Package revision keeps the accepted configuration of a process: it learns of
// newer revisions from the object API or from peers and puts them in force,
// whole and only ever upwards.
//
// A process whose duty it is watches the object API. The others hear of a
// newer revision from their peers, hand its root to Adopt, and read the object
// API seldom, in case no peer told them.
//
// # Usage
//
//	c := revision.New(store, log)
//	c.SetDuty(node.Duty)
//	go c.Run(ctx)
//	cfg := c.Current() // nil until the first revision is in force
package revision
