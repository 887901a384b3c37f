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

// knownTargets is a fixed list of targets that implements Targets.
type knownTargets []target.Target

func (k knownTargets) Targets() []target.Target { return k }

// startPeerServer starts a server that accepts peer connections as target t1 and
// returns its address.
func startPeerServer(t *testing.T, key peer.Key) netip.AddrPort {
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
	addr := startPeerServer(t, key)
	convey.Convey("Given a link with a pending attempt", t, func() {
		dialer := &peer.Dialer{Self: peer.Identity{Name: "e1", Role: "entryd"}, Key: key, Client: http.DefaultClient}
		lt := newLinkTable(dialer, event.Discard(), func() uint64 { return 1 })
		known := knownTargets{{Name: "t1", Addr: addr}}
		l := lt.get(known[0])
		p, err := l.submit(t.Context(), peer.Submit{Request: "r", Attempt: 1, StartWithin: time.Second})
		convey.So(err, convey.ShouldBeNil)
		late := time.Now().Add(2 * linkIdleTimeout)

		convey.Convey("it is kept even if its target is no longer known", func() {
			lt.sweep(late, knownTargets{})
			convey.So(lt.lookup("t1"), convey.ShouldEqual, l)
			convey.So(l.newHeartbeat().Active, convey.ShouldBeTrue)
		})
		convey.Convey("when the attempt has ended", func() {
			l.remove(p)
			convey.So(l.newHeartbeat().Active, convey.ShouldBeFalse)

			convey.Convey("its connection stays open before the idle timeout", func() {
				lt.sweep(time.Now(), known)
				convey.So(lt.LastHeartbeats(), convey.ShouldHaveLength, 1)
			})
			convey.Convey("its connection is closed after the idle timeout, and the link is deleted once its target is no longer known", func() {
				lt.sweep(late, known)
				convey.So(lt.LastHeartbeats(), convey.ShouldBeEmpty)
				convey.So(lt.lookup("t1"), convey.ShouldEqual, l)
				lt.sweep(late, knownTargets{})
				convey.So(lt.lookup("t1"), convey.ShouldBeNil)
			})
		})
	})
}
