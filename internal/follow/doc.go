// Package follow keeps a process up to date with the objects of one kind in the
// platform's store. It lists them once and then watches for changes by long
// polling.
//
// A Follower passes all objects that it reads to its Sink. After an outage of the
// store, it also reports for how long missing objects may have expired only
// because of the outage.
//
// # Usage
//
//	f := follow.New(store, kind, sink, intervals, log)
//	go f.Run(ctx)
package follow
