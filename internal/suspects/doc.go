// Package suspects stores the crashes of targets in the object API, one object
// per crash. Targetds write the records; entryds watch them and classify
// requests by them, see package quarantine.
//
// # Usage
//
//	c := suspects.New(store, log)
//	go c.Run(ctx)
//	verdict, targets := c.Classify(now, request)
package suspects
