package gateway

import "sync"

// Parts of a VM's limits that requests may take.
const (
	// requestDescriptors is the number of descriptors that a request holds at most:
	// the caller's connection, the target's, and one that the target's idle
	// connections or a next attempt may hold.
	requestDescriptors = 3
	// ownDescriptors is kept for files, the store, the peers and the listeners. The
	// platform keeps 200 for files alone.
	ownDescriptors = 400
	// bodyPart is the part of the memory that bodies of requests may take. Sockets,
	// answers and the process itself need the rest.
	bodyPart = 0.25
	// chunkedBytes is what a body of unknown size counts until it is read.
	chunkedBytes = 64 << 10
)

// room bounds the requests in progress and the memory of their bodies, so that
// the process stays within the limits of its VM however much is asked of it.
type room struct {
	mostRequests int
	mostBytes    int64

	mu       sync.Mutex
	requests int
	bytes    int64
}

// newRoom returns the room that a VM's limits leave. A limit of zero is none.
func newRoom(descriptors int, memory int64) *room {
	r := &room{}
	if descriptors > 0 {
		r.mostRequests = max(1, (descriptors-ownDescriptors)/requestDescriptors)
	}
	if memory > 0 {
		r.mostBytes = int64(bodyPart * float64(memory))
	}
	return r
}

// enter takes room for a request with a body of the given size, negative if it is
// not told, and reports whether there is any. One request always has room for its
// body. leave must be called with what enter returned.
func (r *room) enter(size int64) (taken int64, ok bool) {
	if size < 0 {
		size = chunkedBytes
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mostRequests > 0 && r.requests >= r.mostRequests {
		return 0, false
	}
	if r.mostBytes > 0 && r.bytes > 0 && r.bytes+size > r.mostBytes {
		return 0, false
	}
	r.requests++
	r.bytes += size
	return size, true
}

// resize replaces what a body was taken to need by what it needs.
func (r *room) resize(taken, size int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes += size - taken
	return size
}

// leave gives the room of a request back.
func (r *room) leave(taken int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests--
	r.bytes -= taken
}
