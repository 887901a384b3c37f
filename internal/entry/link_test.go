package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/target"
)

// fakeTarget is a targetd whose messages are sent by the test. It records the
// messages it receives, except heartbeats.
type fakeTarget struct {
	addr        netip.AddrPort
	incarnation atomic.Value // string
	conns       chan *peer.Conn
	messages    chan peer.Message
}

func newFakeTarget(t *testing.T) *fakeTarget {
	f := &fakeTarget{conns: make(chan *peer.Conn, 8), messages: make(chan peer.Message, 64)}
	f.incarnation.Store("first")
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		self := peer.Identity{Name: "t1", Role: "targetd", Incarnation: f.incarnation.Load().(string)}
		c, err := peer.Accept(w, r, self, peer.Key("key"))
		if err != nil {
			return
		}
		f.conns <- c
		_ = c.Run(context.Background(), func() peer.Heartbeat { return peer.Heartbeat{} }, f.recordMessage)
	}))
	t.Cleanup(srv.Close)
	f.addr = netip.MustParseAddrPort(srv.Listener.Addr().String())
	return f
}

func (f *fakeTarget) recordMessage(m peer.Message) {
	if _, ok := m.(peer.Heartbeat); !ok {
		f.messages <- m
	}
}

// countingDialer counts the dials and fails them if fail is set.
type countingDialer struct {
	next  Dialer
	dials atomic.Int32
	fail  atomic.Bool
}

func (d *countingDialer) Dial(ctx context.Context, addr netip.AddrPort) (*peer.Conn, error) {
	d.dials.Add(1)
	if d.fail.Load() {
		return nil, &peer.Error{Op: "dial", Kind: peer.Unreachable}
	}
	return d.next.Dial(ctx, addr)
}

func testDialer() Dialer {
	return &peer.Dialer{Self: peer.Identity{Name: "e1"}, Key: peer.Key("key"), Client: http.DefaultClient}
}

func newTestLink(f *fakeTarget) (*link, *countingDialer) {
	d := &countingDialer{next: testDialer()}
	lt := newLinkTable(d, event.Discard(), func() uint64 { return 1 })
	return lt.get(target.Target{Name: "t1", Addr: f.addr}), d
}

func mustSubmit(l *link, id string) *pendingAttempt {
	p, err := l.submit(context.Background(), peer.Submit{Request: id, Attempt: 1, StartWithin: time.Second})
	if err != nil {
		panic(err)
	}
	return p
}

func nextMessage(p *pendingAttempt) peer.Message {
	select {
	case m := <-p.messages:
		return m
	case <-time.After(5 * time.Second):
		return nil
	}
}

func TestLinkResume(t *testing.T) {
	convey.Convey("After a reconnect each response is resumed from its next part, without mixing up responses", t, func() {
		f := newFakeTarget(t)
		l, _ := newTestLink(f)
		a, b := mustSubmit(l, "a"), mustSubmit(l, "b")
		first := <-f.conns
		<-f.messages
		<-f.messages
		for _, m := range []peer.Message{head("b"), part("b", 0), head("a"), part("a", 0), part("a", 1)} {
			_, _ = first.Send(m)
		}
		convey.So(nextMessage(a), convey.ShouldResemble, head("a"))
		convey.So(nextMessage(a), convey.ShouldResemble, part("a", 0))
		convey.So(nextMessage(a), convey.ShouldResemble, part("a", 1))
		first.Close()

		second := <-f.conns
		next := map[string]uint64{}
		for range 2 {
			r := (<-f.messages).(peer.Resume)
			convey.So(r.Age, convey.ShouldBeBetweenOrEqual, 0, time.Minute)
			next[r.Request] = r.Next
		}
		convey.So(next, convey.ShouldResemble, map[string]uint64{"a": 2, "b": 1})
		// Part 1 of a is a duplicate.
		for _, m := range []peer.Message{part("a", 1), part("b", 1), part("a", 2), end("b", 2), end("a", 3)} {
			_, _ = second.Send(m)
		}
		convey.So(nextMessage(a), convey.ShouldResemble, part("a", 2))
		convey.So(nextMessage(a), convey.ShouldResemble, end("a", 3))
		convey.So(nextMessage(b), convey.ShouldResemble, head("b"))
		convey.So(nextMessage(b), convey.ShouldResemble, part("b", 0))
		convey.So(nextMessage(b), convey.ShouldResemble, part("b", 1))
		convey.So(nextMessage(b), convey.ShouldResemble, end("b", 2))
	})
	convey.Convey("A message for an attempt that is no longer pending is dropped and answered with Cancel", t, func() {
		f := newFakeTarget(t)
		l, _ := newTestLink(f)
		old := mustSubmit(l, "a")
		conn := <-f.conns
		<-f.messages
		l.remove(old)
		other, err := l.submit(context.Background(), peer.Submit{Request: "a", Attempt: 2})
		convey.So(err, convey.ShouldBeNil)
		<-f.messages
		_, _ = conn.Send(part("a", 0)) // of attempt 1
		convey.So(<-f.messages, convey.ShouldResemble, peer.Cancel{Request: "a", Attempt: 1})
		got, lost := drainMessages(other)
		convey.So(got, convey.ShouldBeEmpty)
		convey.So(lost, convey.ShouldBeFalse)
	})
	convey.Convey("Attempts sent to an earlier process of the target are lost, not resumed at the new one", t, func() {
		f := newFakeTarget(t)
		l, _ := newTestLink(f)
		a := mustSubmit(l, "a")
		conn := <-f.conns
		<-f.messages
		f.incarnation.Store("second")
		conn.Close()
		_, ok := <-a.messages
		convey.So(ok, convey.ShouldBeFalse)
	})
}

func TestLinkFailPending(t *testing.T) {
	convey.Convey("A reconnect that times out does not fail attempts that were resumed meanwhile", t, func() {
		f := newFakeTarget(t)
		l, _ := newTestLink(f)
		a := mustSubmit(l, "a")
		<-f.conns
		l.failPending(nil) // the link is connected
		_, lost := drainMessages(a)
		convey.So(lost, convey.ShouldBeFalse)
		convey.So(len(l.pending), convey.ShouldEqual, 1)
	})
	convey.Convey("A reconnect that times out does not fail attempts that wait for the reconnect after a later loss", t, func() {
		l := &link{pending: map[attemptKey]*pendingAttempt{}}
		p := newPendingAttempt(peer.Submit{Request: "a", Attempt: 1}, testTime)
		l.pending[p.key()] = p
		first, second := &peer.Conn{}, &peer.Conn{}
		l.lastClosed = second
		l.failPending(first)
		_, lost := drainMessages(p)
		convey.So(lost, convey.ShouldBeFalse)
		l.failPending(second)
		_, lost = drainMessages(p)
		convey.So(lost, convey.ShouldBeTrue)
		convey.So(len(l.pending), convey.ShouldEqual, 0)
	})
}

func TestLinkUnreachable(t *testing.T) {
	convey.Convey("An unreachable target is not dialled again during the backoff", t, func() {
		f := newFakeTarget(t)
		l, d := newTestLink(f)
		d.fail.Store(true)
		for range 5 {
			_, err := l.submit(context.Background(), peer.Submit{Request: "a", Attempt: 1})
			var failed *Error
			convey.So(errors.As(err, &failed), convey.ShouldBeTrue)
			convey.So(failed.Kind, convey.ShouldEqual, NotSent)
		}
		convey.So(d.dials.Load(), convey.ShouldEqual, 1)
		convey.So(l.usable(time.Now()), convey.ShouldBeFalse)
		convey.So(l.usable(time.Now().Add(unreachableBackoff)), convey.ShouldBeTrue)
	})
}

func TestRelay(t *testing.T) {
	// relayed relays an attempt to which feed delivers messages, or which it cancels.
	// It returns the result, the response and the message sent to the target.
	relayed := func(feed func(p *pendingAttempt, cancel context.CancelFunc)) (Result, *fakeResponder, peer.Message) {
		f := newFakeTarget(t)
		l, _ := newTestLink(f)
		p := mustSubmit(l, "a")
		<-f.messages
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		feed(p, cancel)
		w := &fakeResponder{}
		return relay(ctx, &Call{Response: w}, l, p), w, <-f.messages
	}
	convey.Convey("A complete response is relayed and its end is acknowledged", t, func() {
		result, w, sent := relayed(func(p *pendingAttempt, _ context.CancelFunc) {
			p.deliver(head("a"))
			p.deliver(part("a", 0))
			p.deliver(end("a", 1))
		})
		convey.So(result.Outcome, convey.ShouldEqual, outcome.Answered)
		convey.So(w.body, convey.ShouldResemble, []byte{0})
		convey.So(sent, convey.ShouldResemble, peer.Ack{Request: "a", Attempt: 1, Next: 1, EndReceived: true})
	})
	convey.Convey("A lost attempt has an unknown outcome and is cancelled at the target", t, func() {
		result, _, sent := relayed(func(p *pendingAttempt, _ context.CancelFunc) { p.markLost() })
		convey.So(result.Outcome, convey.ShouldEqual, outcome.Unknown)
		convey.So(sent, convey.ShouldResemble, peer.Cancel{Request: "a", Attempt: 1})
	})
	convey.Convey("The attempt is cancelled at the target if the caller disconnects", t, func() {
		result, _, sent := relayed(func(_ *pendingAttempt, cancel context.CancelFunc) { cancel() })
		convey.So(result, convey.ShouldResemble, Result{Outcome: outcome.Unknown, Reason: outcome.Cancelled})
		convey.So(sent, convey.ShouldResemble, peer.Cancel{Request: "a", Attempt: 1})
	})
}

// fakeResponder records the body of a response.
type fakeResponder struct {
	started bool
	body    []byte
}

func (r *fakeResponder) Start(int, string) { r.started, r.body = true, nil }

func (r *fakeResponder) Write(p []byte) error {
	r.body = append(r.body, p...)
	return nil
}

func (r *fakeResponder) Started() bool { return r.started }
