package entry

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/target"
)

// present is a fixed list of known targets.
type present []target.Target

func (p present) Targets() []target.Target { return p }

// accepting serves one end of peer connections and returns its address.
func accepting(t *testing.T, key peer.Key) netip.AddrPort {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := peer.Accept(w, r, peer.Identity{Name: "t1", Role: "targetd", Incarnation: "i"}, key)
		if err != nil {
			return
		}
		_ = conn.Run(r.Context(), func() peer.Heartbeat { return peer.Heartbeat{} }, func(peer.Message) {})
	}))
	t.Cleanup(srv.CloseClientConnections)
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

func TestIdleLinks(t *testing.T) {
	key := peer.Key("idle-test-peer-key")
	addr := accepting(t, key)
	convey.Convey("With a link that an attempt waits on", t, func() {
		dialer := &peer.Dialer{Self: peer.Identity{Name: "e1", Role: "entryd"}, Key: key, Client: http.DefaultClient}
		ls := newLinks(dialer, event.Discard(), func() uint64 { return 1 })
		known := present{{Name: "t1", Addr: addr}}
		l := ls.get(known[0])
		p, err := l.submit(t.Context(), peer.Submit{Request: "r", Attempt: 1, StartBy: time.Second})
		convey.So(err, convey.ShouldBeNil)
		late := time.Now().Add(2 * linkIdleTime)

		convey.Convey("it stays, also when its target is gone", func() {
			ls.sweep(late, present{})
			convey.So(ls.peek("t1"), convey.ShouldEqual, l)
			convey.So(l.beat().Active, convey.ShouldBeTrue)
		})
		convey.Convey("once the attempt is over", func() {
			l.forget(p)
			convey.So(l.beat().Active, convey.ShouldBeFalse)

			convey.Convey("it is kept until it was not used for long enough", func() {
				ls.sweep(time.Now(), known)
				convey.So(ls.Heartbeats(), convey.ShouldHaveLength, 1)
			})
			convey.Convey("its connection closes then, and the link is forgotten with its target", func() {
				ls.sweep(late, known)
				convey.So(ls.Heartbeats(), convey.ShouldBeEmpty)
				convey.So(ls.peek("t1"), convey.ShouldEqual, l)
				ls.sweep(late, present{})
				convey.So(ls.peek("t1"), convey.ShouldBeNil)
			})
		})
	})
}
