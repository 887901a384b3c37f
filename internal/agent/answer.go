package agent

import (
	"sync"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/dispatch"
	"github.com/borageusher/borageusher/pkg/outcome"
)

// maxUnackedParts is the flow control window of an answer: the most parts that
// the entryd has not acknowledged. With maxPartBytes it bounds the memory of an
// answer.
const maxUnackedParts = 64

// maxPartBytes is the maximum size of one part of an answer's body.
const maxPartBytes = 16 << 10

// sender sends messages over a peer connection.
type sender interface {
	Send(m peer.Message) (accepted bool, err error)
}

// answer sends the answer of one attempt to its entryd. It buffers the
// unacknowledged parts, so that it can be resumed over another connection.
type answer struct {
	key dispatch.RequestKey

	mu         sync.Mutex
	unblocked  *sync.Cond // signalled when unacked shrinks or the answer is abandoned
	conn       sender     // nil while detached
	detachedAt time.Time  // when conn was lost; valid while conn is nil
	head       *peer.Head
	unacked    []peer.Part
	firstSeq   uint64       // sequence number of unacked[0]
	final      peer.Message // End or Refusal, nil before the answer has ended
	delivered  bool         // the entryd has acknowledged the final message
	abandoned  bool         // the rest of the answer is discarded
}

func newAnswer(key dispatch.RequestKey, conn sender) *answer {
	a := &answer{key: key, conn: conn}
	a.unblocked = sync.NewCond(&a.mu)
	return a
}

// start sends the head of the answer.
func (a *answer) start(now time.Time, status int, contentType string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = &peer.Head{Request: a.key.Request, Attempt: a.key.Attempt, Status: status, ContentType: contentType}
	a.send(now, *a.head)
}

// add sends one part of the body. It blocks while maxUnackedParts parts are
// unacknowledged and reports false when the answer has been abandoned.
func (a *answer) add(now time.Time, data []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.unacked) >= maxUnackedParts && !a.abandoned {
		a.unblocked.Wait()
	}
	if a.abandoned {
		return false
	}
	part := peer.Part{
		Request: a.key.Request,
		Attempt: a.key.Attempt,
		Seq:     a.firstSeq + uint64(len(a.unacked)),
		Data:    append([]byte(nil), data...),
	}
	a.unacked = append(a.unacked, part)
	a.send(now, part)
	return true
}

// end ends the answer with its outcome. Calls of end or refuse after the first
// have no effect.
func (a *answer) end(now time.Time, o outcome.Outcome, reason outcome.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finish(now, peer.End{
		Request: a.key.Request,
		Attempt: a.key.Attempt,
		Parts:   a.firstSeq + uint64(len(a.unacked)),
		Outcome: o,
		Reason:  reason,
	})
}

// refuse ends the answer with a refusal: the attempt did not run.
func (a *answer) refuse(now time.Time, reason outcome.Reason, load dispatch.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finish(now, peer.Refusal{
		Request: a.key.Request,
		Attempt: a.key.Attempt,
		Reason:  reason,
		Running: load.Running,
		Queued:  load.Queued,
	})
}

// finish sends the final message, if none was sent before. The caller holds
// a.mu.
func (a *answer) finish(now time.Time, final peer.Message) {
	if a.final != nil {
		return
	}
	a.final = final
	a.send(now, final)
}

// ack drops the parts before next. The answer counts as delivered only when
// ended is set too: the final message may be lost after all parts were
// acknowledged.
func (a *answer) ack(next uint64, ended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropAcked(next)
	if ended && a.final != nil {
		a.delivered = true
	}
}

// dropAcked removes the parts before next from the buffer. The caller holds
// a.mu.
func (a *answer) dropAcked(next uint64) {
	if next <= a.firstSeq {
		return
	}
	n := min(int(next-a.firstSeq), len(a.unacked))
	a.unacked = append(a.unacked[:0], a.unacked[n:]...)
	a.firstSeq += uint64(n)
	a.unblocked.Broadcast()
}

// attach resumes the answer over conn from part next: it drops the parts before
// next and retransmits the head, the parts from next on and the final message.
func (a *answer) attach(now time.Time, conn sender, next uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	a.dropAcked(next)
	if a.head != nil {
		a.send(now, *a.head)
	}
	for _, p := range a.unacked {
		a.send(now, p)
	}
	if a.final != nil {
		a.send(now, a.final)
	}
}

// detach detaches the answer from conn, if it still uses conn.
func (a *answer) detach(now time.Time, conn sender) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == conn {
		a.conn = nil
		a.detachedAt = now
	}
}

// abandon discards the rest of the answer and unblocks its writer.
func (a *answer) abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.abandoned = true
	a.unblocked.Broadcast()
}

// isAbandoned reports whether the rest of the answer is discarded.
func (a *answer) isAbandoned() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.abandoned
}

// orphaned reports whether the answer has been detached for longer than resumeWindow.
func (a *answer) orphaned(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn == nil && now.Sub(a.detachedAt) > resumeWindow
}

// removable reports whether the answer has ended and cannot be resumed any more:
// it was delivered or abandoned, or has been detached for longer than
// resumeWindow.
func (a *answer) removable(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.final == nil {
		return false
	}
	return a.delivered || a.abandoned || (a.conn == nil && now.Sub(a.detachedAt) > resumeWindow)
}

// refused reports whether the attempt ended without having run.
func (a *answer) refused() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.final.(peer.Refusal)
	return ok
}

// send writes m to the connection, if any, and detaches the answer on an error.
// The caller holds a.mu.
func (a *answer) send(now time.Time, m peer.Message) {
	if a.conn == nil {
		return
	}
	if _, err := a.conn.Send(m); err != nil {
		a.conn = nil
		a.detachedAt = now
	}
}
