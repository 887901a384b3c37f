// Package slowreader decides which of a proxy's readers to drop when their unread bytes
// exceed the memory for them.
//
// # Load pattern
//
// Hundreds of readers get streams and long responses at once. Most read as fast as the
// bytes arrive and hold almost nothing. Some read at a fraction of the rate at which they
// are sent to, or not at all, and each of those holds as much as its buffers take. A few
// fast readers of long responses hold as much for a moment.
//
// # Decision
//
// A Tracker estimates the rate at which each reader takes bytes. When memory is short, it
// drops the readers that need the longest to take what they hold, among those that hold
// much, until enough is freed. Readers that hold little are never dropped, however slow,
// since that frees nothing. A reader that has held bytes for less than minObserved is
// dropped only after those that are known to be slow.
//
// The cost of a call is that of sorting the readers that hold much.
//
// # Usage
//
//	t := slowreader.New()
//	t.Observe(now, readers) // several times a second
//	for _, id := range t.Drop(now, excess) {
//		// close the connection of reader id
//	}
package slowreader
