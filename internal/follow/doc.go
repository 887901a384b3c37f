// Package follow keeps a process up to date with the objects of one kind in the
// platform's store: it lists them once and then watches for changes.
//
// A Follower tells its Sink everything it reads. It also says when entries that
// are missing may have lapsed only because the store was away.
//
// # Usage
//
//	f := follow.New(store, kind, sink, log)
//	go f.Run(ctx)
package follow
