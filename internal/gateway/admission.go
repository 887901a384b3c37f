package gateway

import "sync"

// Shares of a VM's limits that requests may use.
const (
	// requestDescriptors is the maximum number of file descriptors per request:
	// the caller's connection, the target's, and one for an idle connection to
	// the target or the next attempt.
	requestDescriptors = 3
	// reservedDescriptors is reserved for files, the store, the peers and the
	// listeners. The platform reserves 200 for files alone.
	reservedDescriptors = 400
	// bodyMemoryShare is the share of the memory that request bodies may use.
	// Sockets, responses and the process itself need the rest.
	bodyMemoryShare = 0.25
	// assumedChunkedBytes is the assumed size of a body of unknown length until
	// it is read.
	assumedChunkedBytes = 64 << 10
)

// admissionControl limits the requests in progress and the memory of their
// bodies, so that the process stays within the limits of its VM under any load.
type admissionControl struct {
	maxRequests int   // zero for no limit
	maxBytes    int64 // of request bodies, zero for no limit

	mu       sync.Mutex
	requests int
	bytes    int64
}

// newAdmissionControl derives the limits from a VM's limits on descriptors and
// memory in bytes. Zero means no limit.
func newAdmissionControl(descriptors int, memory int64) *admissionControl {
	a := &admissionControl{}
	if descriptors > 0 {
		a.maxRequests = max(1, (descriptors-reservedDescriptors)/requestDescriptors)
	}
	if memory > 0 {
		a.maxBytes = int64(bodyMemoryShare * float64(memory))
	}
	return a
}

// acquire admits a request with a body of size bytes, negative if unknown, and
// reports whether it is within the limits. The limit on bytes does not apply while
// none are reserved, so that a single body larger than it is admitted. After
// an admitted request the caller must call release with the reserved bytes, or with
// those that resize returns.
func (a *admissionControl) acquire(size int64) (reserved int64, ok bool) {
	if size < 0 {
		size = assumedChunkedBytes
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.maxRequests > 0 && a.requests >= a.maxRequests {
		return 0, false
	}
	if a.maxBytes > 0 && a.bytes > 0 && a.bytes+size > a.maxBytes {
		return 0, false
	}
	a.requests++
	a.bytes += size
	return size, true
}

// resize replaces the reserved bytes of a request by the actual size of its body,
// and returns the new reservation.
func (a *admissionControl) resize(reserved, size int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bytes += size - reserved
	return size
}

// release ends a request and returns its reserved bytes.
func (a *admissionControl) release(reserved int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests--
	a.bytes -= reserved
}
