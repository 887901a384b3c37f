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
	// processBytes is the resident memory of a process without requests, with the
	// state of some hundred targets.
	processBytes = 32 << 20
	// collectorFactor is the size of the heap just before a garbage collection,
	// relative to the live objects, with the runtime's default settings.
	collectorFactor = 2
	// requestBytes is what each request in progress may hold: two connections with
	// their buffers and goroutines, two headers, a short body and short parts of the
	// response.
	requestBytes = 40 << 10
	// maxRequestShare is the share of the memory for live objects that is set aside
	// for requestBytes of each request; the rest is for what some requests need
	// beyond it.
	maxRequestShare = 0.5
	// bodyMemoryShare is the share of the memory that request bodies may use.
	// Sockets, responses and the process itself need the rest.
	bodyMemoryShare = 0.25
	// responseShare is the share of the memory beyond requestBytes that responses
	// may use.
	responseShare = 0.1
	// assumedChunkedBytes is the assumed size of a body of unknown length until
	// it is read.
	assumedChunkedBytes = 64 << 10
)

// admissionControl limits the requests in progress and the memory that they hold, so
// that the process stays within the limits of its VM under any load.
type admissionControl struct {
	maxRequests      int   // zero for no limit
	maxBytes         int64 // of request bodies, zero for no limit
	maxResponseBytes int64 // of responses beyond requestBytes, zero for no limit

	mu            sync.Mutex
	requests      int
	bytes         int64 // of request bodies
	responseBytes int64
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
		live := max(memory-processBytes, memory/collectorFactor) / collectorFactor
		n := max(1, int(maxRequestShare*float64(live)/requestBytes))
		if a.maxRequests == 0 || n < a.maxRequests {
			a.maxRequests = n
		}
		a.maxResponseBytes = int64(responseShare * float64(live-int64(a.maxRequests)*requestBytes))
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

// responseMemory is what a call's responses hold beyond requestBytes. The zero value
// has no limit.
type responseMemory struct {
	admission *admissionControl
	bytes     int64
}

// reserve adds n bytes, and reports whether they are within the limit.
func (m *responseMemory) reserve(n int64) bool {
	a := m.admission
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.maxResponseBytes > 0 && a.responseBytes+n > a.maxResponseBytes {
		return false
	}
	a.responseBytes += n
	m.bytes += n
	return true
}

// shrink returns all but n of the reserved bytes.
func (m *responseMemory) shrink(n int64) {
	a := m.admission
	if a == nil || m.bytes <= n {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.responseBytes -= m.bytes - n
	m.bytes = n
}
