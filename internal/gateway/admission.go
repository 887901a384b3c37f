package gateway

import (
	"sync"

	"github.com/borageusher/borageusher/pkg/fairshare"
)

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
	// response, and its part of socketBytes, which no garbage is added to.
	requestBytes = 40<<10 + socketBytes/collectorFactor
	// socketBytes is what the kernel may hold for the connections of each request
	// without use of the shared memory: a short body and some events.
	socketBytes = 16 << 10
	// maxRequestShare is the share of the memory for live objects that is set aside
	// for requestBytes of each request; the rest is shared by those that need more.
	maxRequestShare = 0.5
	// longBodyShare is the share of the shared memory that long bodies may use. The
	// rest is always available to short ones and to responses.
	longBodyShare = 0.85
	// responseShare is the share of the shared memory that responses may use.
	responseShare = 0.1
	// queueShare is the share of the shared memory that bytes in the kernel's queues
	// may use beyond socketBytes of each request.
	queueShare = 0.25
	// lingerShare is the share of the requests in progress that may be rejected ones
	// whose bodies still arrive.
	lingerShare = 0.25
)

// memoryUse is what shared memory is used for.
type memoryUse uint8

const (
	shortBody memoryUse = iota // a request body of up to shortBodyBytes
	longBody                   // a longer request body
	response                   // a head, an event or a buffered body of a target, or the head of a request
	memoryUses
)

// admissionControl limits the requests in progress and the memory that they hold, so
// that the process stays within the limits of its VM under any load. A limit of zero
// is none.
type admissionControl struct {
	maxRequests  int
	maxLingering int
	maxShared    int64             // bytes of all uses together
	maxUse       [memoryUses]int64 // bytes of one use
	maxQueued    int64             // as queued

	mu        sync.Mutex
	requests  int
	lingering int
	shared    int64
	used      [memoryUses]int64
	shares    roomShares
	queued    int64 // shared memory that the kernel's queues take, as last measured
}

// newAdmissionControl derives the limits from a VM's limits on descriptors and
// memory in bytes. Zero means no limit.
func newAdmissionControl(descriptors int, memory int64) *admissionControl {
	a := &admissionControl{shares: roomShares{room: fairshare.NewRoom()}}
	if descriptors > 0 {
		a.maxRequests = max(1, (descriptors-reservedDescriptors)/requestDescriptors)
	}
	if memory > 0 {
		live := max(memory-processBytes, memory/collectorFactor) / collectorFactor
		n := max(1, int(maxRequestShare*float64(live)/requestBytes))
		if a.maxRequests == 0 || n < a.maxRequests {
			a.maxRequests = n
		}
		a.maxShared = max(1, live-int64(a.maxRequests)*requestBytes)
		a.maxUse[longBody] = max(1, int64(longBodyShare*float64(a.maxShared)))
		a.maxUse[response] = max(1, int64(responseShare*float64(a.maxShared)))
		a.maxQueued = max(1, int64(queueShare*float64(a.maxShared)))
	}
	a.maxLingering = int(lingerShare * float64(a.maxRequests))
	return a
}

// acquireLinger reports whether a rejected request may read the rest of its body. The
// caller must call releaseLinger after one that may.
func (a *admissionControl) acquireLinger() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.maxRequests > 0 && a.lingering >= a.maxLingering {
		return false
	}
	a.lingering++
	return true
}

// releaseLinger ends the reading of a rejected request's body.
func (a *admissionControl) releaseLinger() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lingering--
}

// recordQueues records that the kernel's queues hold n bytes for the connections of all
// requests. It returns the number of bytes by which they exceed the memory for them.
func (a *admissionControl) recordQueues(n int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.maxShared == 0 {
		return 0
	}
	a.queued = max(0, n-int64(a.requests)*socketBytes) / collectorFactor
	return collectorFactor * max(0, a.queued-a.maxQueued, a.shared+a.queued-a.maxShared)
}

// longestBody returns the largest size of a body, of up to limit bytes, that the shared
// memory can hold.
func (a *admissionControl) longestBody(limit int64) int64 {
	if m := a.maxUse[longBody]; m > 0 {
		return min(limit, m)
	}
	return limit
}

// lease is shared memory that a request holds beyond requestBytes. The zero value has no
// limit. Its methods must not be called concurrently.
type lease struct {
	admission *admissionControl
	use       memoryUse
	bytes     int64
}

// resize replaces the leased memory by n bytes for a use. It reports whether they are
// within the limits; if not, the lease is unchanged. A lease can always become smaller.
func (l *lease) resize(use memoryUse, n int64) bool {
	a := l.admission
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !l.fits(use, n) {
		return false
	}
	a.shared += n - l.bytes
	a.used[l.use] -= l.bytes
	a.used[use] += n
	l.use, l.bytes = use, n
	return true
}

// fits reports whether n bytes for a use are within the limits in place of the leased
// ones. The caller holds the admission's mu.
func (l *lease) fits(use memoryUse, n int64) bool {
	a := l.admission
	if n <= l.bytes {
		return true
	}
	inUse := a.used[use] + n
	if use == l.use {
		inUse -= l.bytes
	}
	if a.maxShared > 0 && a.shared+a.queued+n-l.bytes > a.maxShared {
		return false
	}
	m := a.maxUse[use]
	return m <= 0 || inUse <= m
}

// reserve adds n bytes, and reports whether they are within the limits.
func (l *lease) reserve(n int64) bool { return l.resize(l.use, l.bytes+n) }

// shrink returns all but n of the leased bytes.
func (l *lease) shrink(n int64) {
	if l.bytes > n {
		l.resize(l.use, n)
	}
}
