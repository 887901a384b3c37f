package entry

import (
	"sync"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
)

// pendingBufferSize is the number of buffered messages of one response. It
// exceeds the window of unacknowledged parts that a targetd may send.
const pendingBufferSize = 128

// ackIntervalParts is the number of parts consumed between two acknowledgements.
const ackIntervalParts = 16

// attemptKey identifies one attempt of one request.
type attemptKey struct {
	request string
	attempt uint32
}

// pendingAttempt is an attempt whose response is not complete. The link
// delivers messages to it, and relay receives them from the messages channel.
type pendingAttempt struct {
	submit   peer.Submit
	sentAt   time.Time
	messages chan peer.Message // closed when the attempt is lost

	mu           sync.Mutex
	headReceived bool
	nextSeq      uint64 // sequence number of the next expected part
	lost         bool
}

func newPendingAttempt(s peer.Submit, now time.Time) *pendingAttempt {
	return &pendingAttempt{submit: s, sentAt: now, messages: make(chan peer.Message, pendingBufferSize)}
}

func (p *pendingAttempt) key() attemptKey {
	return attemptKey{request: p.submit.Request, attempt: p.submit.Attempt}
}

// deliver queues m unless it is a duplicate or out of order. It never blocks: if
// the buffer is full, the targetd has exceeded its window, and the attempt is lost.
func (p *pendingAttempt) deliver(m peer.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost || !p.accept(m) {
		return
	}
	select {
	case p.messages <- m:
	default:
		p.markLostLocked()
	}
}

// accept reports whether m is the next message of the response and advances the
// expected sequence. A refusal after the head and an end with a wrong count of
// parts violate the protocol, and the attempt is lost. The caller holds p.mu.
func (p *pendingAttempt) accept(m peer.Message) bool {
	switch m := m.(type) {
	case peer.Head:
		if p.headReceived {
			return false
		}
		p.headReceived = true
	case peer.Part:
		if m.Seq != p.nextSeq {
			return false
		}
		p.nextSeq++
	case peer.Refusal:
		if p.headReceived { // the head shows that the attempt ran
			p.markLostLocked()
			return false
		}
	case peer.End:
		if m.Parts != p.nextSeq {
			p.markLostLocked()
			return false
		}
	}
	return true
}

// nextPart returns the sequence number of the next expected part.
func (p *pendingAttempt) nextPart() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nextSeq
}

// newResume returns the message that asks the targetd to resume the response from
// part next.
func (p *pendingAttempt) newResume(now time.Time, next uint64) peer.Resume {
	return peer.Resume{
		Request:     p.submit.Request,
		Attempt:     p.submit.Attempt,
		Next:        next,
		StartWithin: p.submit.StartWithin,
		Age:         now.Sub(p.sentAt),
	}
}

// markLost marks the attempt as lost: no further messages will be delivered.
func (p *pendingAttempt) markLost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markLostLocked()
}

// markLostLocked is markLost for callers that hold p.mu.
func (p *pendingAttempt) markLostLocked() {
	if !p.lost {
		p.lost = true
		close(p.messages)
	}
}
