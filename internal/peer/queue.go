package peer

import "sync"

// maxQueuedBytes is the most that may wait to be written to one connection. A
// connection on which more waits is dropped: answers resume on the next one.
const maxQueuedBytes = 32 << 20

// outQueue holds the encoded messages that wait to be written. It grows and
// shrinks with use, so that an idle connection costs little memory.
type outQueue struct {
	mu       sync.Mutex
	messages [][]byte
	bytes    int
	ready    chan struct{} // has an element while messages wait
}

func newOutQueue() *outQueue { return &outQueue{ready: make(chan struct{}, 1)} }

// put adds a message and reports false when too much waits.
func (q *outQueue) put(b []byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.bytes+len(b) > maxQueuedBytes {
		return false
	}
	q.messages = append(q.messages, b)
	q.bytes += len(b)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// takeAll removes and returns all messages.
func (q *outQueue) takeAll() [][]byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.messages
	q.messages = nil
	q.bytes = 0
	return out
}
