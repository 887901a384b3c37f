package peer

import "sync"

// maxQueuedBytes bounds the send queue of one connection. A connection whose
// queue would exceed it is closed; responses resume on the next connection.
const maxQueuedBytes = 32 << 20

// outQueue is the send queue of a connection. It holds encoded messages and is
// allocated on demand, so that an idle connection uses little memory.
type outQueue struct {
	mu       sync.Mutex
	messages [][]byte
	bytes    int
	ready    chan struct{} // has an element if a message was added since the last receive from it
}

func newOutQueue() *outQueue { return &outQueue{ready: make(chan struct{}, 1)} }

// put appends an encoded message. It reports false if the queue would exceed
// maxQueuedBytes.
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
