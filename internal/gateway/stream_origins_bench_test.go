package gateway

import (
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/streams"
	"github.com/borageusher/borageusher/pkg/target"
)

// newOriginFleet returns a fleet that is connected to n targetds in six availability zones
// and knows the origins of streams that were sent to all of their holders.
func newOriginFleet(b *testing.B, n, relayed int) *Fleet {
	f := NewFleet("z0", "north", map[string]string{}, event.Discard())
	dialer := peer.Dialer{Self: peer.Identity{Name: "e1", Role: "entryd"}, Key: peer.Key("k"), Client: &http.Client{}}
	c, err := dialer.Dial(b.Context(), newSilentTargetd(b, "t"))
	if err != nil {
		b.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 1)
		f.upsert(now, target.Replica{ID: fmt.Sprint("t", i), Service: "s", Addr: addr, Zone: fmt.Sprint("z", i%6), Version: "v1", Slots: 4, State: target.Live})
		f.targets[fmt.Sprint("t", i)].conn = c
	}
	for i := range relayed {
		f.origins.own[streams.Key(i)] = &ownStream{origin: streams.Origin{Service: "s", Version: "v1"}, until: now.Add(time.Hour), sentTo: []*peer.Conn{c}}
	}
	return f
}

// BenchmarkMovedOrigins measures the time for which a change of the targetds keeps the
// requests of an entryd waiting, with as many streams as one relays at once.
func BenchmarkMovedOrigins(b *testing.B) {
	for _, n := range []int{18, 600} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			f := newOriginFleet(b, n, 400)
			now := time.Now()
			for b.Loop() {
				f.moveHolders(nil)
				f.sendMovedOrigins(now)
			}
		})
	}
}

// BenchmarkOriginQuery measures the check of a stream's origin after an answer, and after a
// change of the targetds.
func BenchmarkOriginQuery(b *testing.B) {
	for _, n := range []int{18, 600} {
		for _, moved := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/moved=%t", n, moved), func(b *testing.B) {
				f := newOriginFleet(b, n, 0)
				now := time.Now()
				q := f.beginOriginQuery(streams.KeyOf("r1"))
				for b.Loop() {
					if moved {
						f.moveHolders(nil)
					}
					f.checkOrigin(now, q)
				}
			})
		}
	}
}
