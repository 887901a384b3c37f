package agent

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/dispatch"
	"github.com/borageusher/borageusher/pkg/outcome"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var testKey = dispatch.RequestKey{Request: "r", Attempt: 1}

// fakeConn is a connection that records the messages sent over it.
type fakeConn struct {
	sent   []peer.Message
	closed bool
}

func (c *fakeConn) Send(m peer.Message) (bool, error) {
	if c.closed {
		return false, &peer.Error{Op: "send", Kind: peer.Closed}
	}
	c.sent = append(c.sent, m)
	return true, nil
}

func (c *fakeConn) Close() { c.closed = true }

func part(seq uint64, text string) peer.Part {
	return peer.Part{Request: "r", Attempt: 1, Seq: seq, Data: []byte(text)}
}

func end(count uint64) peer.End {
	return peer.End{Request: "r", Attempt: 1, Parts: count, Outcome: outcome.Answered}
}

func TestAnswerResume(t *testing.T) {
	head := peer.Head{Request: "r", Attempt: 1, Status: 200, ContentType: "text/plain"}
	convey.Convey("An answer is resumed over another connection from the requested part", t, func() {
		first, second := &fakeConn{}, &fakeConn{}
		a := newAnswer(testKey, first)
		a.start(start, 200, "text/plain")
		a.add(start, []byte("a"))
		a.add(start, []byte("b"))
		first.closed = true
		a.add(start, []byte("c"))
		a.attach(start, second, 1)
		a.detach(start, first) // the loss of the first connection is detected after the attach
		a.end(start, outcome.Answered, outcome.NoReason)
		convey.So(first.sent, convey.ShouldResemble, []peer.Message{head, part(0, "a"), part(1, "b")})
		convey.So(second.sent, convey.ShouldResemble, []peer.Message{head, part(1, "b"), part(2, "c"), end(3)})
	})
	convey.Convey("An answer is not delivered until its end is acknowledged, which may be lost after all parts were", t, func() {
		a := newAnswer(testKey, &fakeConn{})
		a.add(start, []byte("a"))
		a.end(start, outcome.Answered, outcome.NoReason)
		a.ack(1, false)
		convey.So(a.removable(start), convey.ShouldBeFalse)
		second := &fakeConn{}
		a.attach(start, second, 1)
		convey.So(second.sent, convey.ShouldResemble, []peer.Message{end(1)})
		a.ack(1, true)
		convey.So(a.removable(start), convey.ShouldBeTrue)
	})
	convey.Convey("An ended answer is kept while a slow reader is connected and for resumeWindow after it disconnects", t, func() {
		conn := &fakeConn{}
		a := newAnswer(testKey, conn)
		a.end(start, outcome.Answered, outcome.NoReason)
		late := start.Add(2 * resumeWindow)
		convey.So(a.removable(late), convey.ShouldBeFalse)
		a.detach(late, conn)
		convey.So(a.removable(late.Add(resumeWindow)), convey.ShouldBeFalse)
		convey.So(a.removable(late.Add(2*resumeWindow)), convey.ShouldBeTrue)
	})
	convey.Convey("Only the first call of end or refuse has an effect", t, func() {
		conn := &fakeConn{}
		a := newAnswer(testKey, conn)
		a.end(start, outcome.Answered, outcome.NoReason)
		a.refuse(start, outcome.Cancelled, dispatch.Report{})
		convey.So(conn.sent, convey.ShouldResemble, []peer.Message{end(0)})
		convey.So(a.refused(), convey.ShouldBeFalse)
	})
}

func TestAnswerWindow(t *testing.T) {
	// fill adds one part more than the window holds. The channel receives false
	// if the answer is abandoned meanwhile.
	fill := func(a *answer) <-chan bool {
		done := make(chan bool, 1)
		go func() {
			for range maxUnackedParts + 1 {
				if !a.add(start, []byte("x")) {
					done <- false
					return
				}
			}
			done <- true
		}()
		return done
	}
	unackedParts := func(a *answer) int {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.unacked)
	}
	convey.Convey("The writer blocks when maxUnackedParts parts are unacknowledged", t, func() {
		a := newAnswer(testKey, &fakeConn{})
		done := fill(a)
		convey.So(waitFor(func() bool { return unackedParts(a) == maxUnackedParts }), convey.ShouldBeTrue)
		select {
		case <-done:
			t.Fatal("the writer did not block")
		case <-time.After(20 * time.Millisecond):
		}
		a.ack(1, false)
		convey.So(<-done, convey.ShouldBeTrue)
		convey.So(unackedParts(a), convey.ShouldEqual, maxUnackedParts)
	})
	convey.Convey("Abandoning an answer unblocks its writer", t, func() {
		a := newAnswer(testKey, &fakeConn{})
		done := fill(a)
		convey.So(waitFor(func() bool { return unackedParts(a) == maxUnackedParts }), convey.ShouldBeTrue)
		a.abandon()
		convey.So(<-done, convey.ShouldBeFalse)
	})
}

// waitFor polls until check reports true, for at most five seconds.
func waitFor(check func() bool) bool {
	for range 5000 {
		if check() {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}
