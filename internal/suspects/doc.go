// Package suspects keeps the crashes of targets in the object API, one object a
// crash: targetds write them, entryds follow them and judge requests by them.
//
// # Usage
//
//	c := suspects.New(store, log)
//	go c.Run(ctx)
//	verdict, targets := c.Judge(now, request)
package suspects
