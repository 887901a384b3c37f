package members

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/registration"
	"github.com/borageusher/borageusher/pkg/target"
)

func object(version objects.Version, name, incarnation string, state target.State) objects.Object {
	t := target.Target{Name: name, Incarnation: incarnation, State: state, Addr: netip.MustParseAddrPort("10.0.0.1:8000")}
	return objects.Object{Name: name, Version: version, Value: registration.Encode(t)}
}

func names(c *Controller) []string {
	var out []string
	for _, t := range c.Targets() {
		out = append(out, t.Name+" "+t.State.String())
	}
	return out
}

func TestMerge(t *testing.T) {
	convey.Convey("With two targets known up to version 5", t, func() {
		c := New(nil, event.Discard())
		c.Merge(0, []objects.Object{object(3, "a", "i", target.Live), object(5, "b", "i", target.Live)}, 5)
		convey.So(c.Newest(), convey.ShouldEqual, 5)

		convey.Convey("an old answer after a newer one changes nothing", func() {
			c.Merge(5, []objects.Object{object(7, "a", "i", target.Leaving)}, 7)
			c.Merge(0, []objects.Object{object(3, "a", "i", target.Live)}, 3)
			convey.So(names(c), convey.ShouldResemble, []string{"a leaving", "b live"})
			convey.So(c.Newest(), convey.ShouldEqual, 7)
		})
		convey.Convey("changes that leave a gap are ignored", func() {
			c.Merge(6, []objects.Object{object(8, "a", "i", target.Gone)}, 8)
			convey.So(c.Newest(), convey.ShouldEqual, 5)
			convey.So(names(c), convey.ShouldResemble, []string{"a live", "b live"})
		})
		convey.Convey("deleted and gone targets disappear and are passed on", func() {
			c.Merge(5, []objects.Object{{Name: "a", Version: 6, Deleted: true}, object(7, "b", "i", target.Gone)}, 7)
			convey.So(names(c), convey.ShouldBeEmpty)
			changed, newest := c.Since(5)
			convey.So(changed, convey.ShouldHaveLength, 2)
			convey.So(newest, convey.ShouldEqual, 7)
		})
		convey.Convey("an object that does not decode is passed on and is no target", func() {
			c.Merge(5, []objects.Object{{Name: "c", Version: 6, Value: []byte{1}}}, 6)
			convey.So(names(c), convey.ShouldHaveLength, 2)
			convey.So(c.Newest(), convey.ShouldEqual, 6)
		})
	})
}

func TestLeavingVM(t *testing.T) {
	addr := netip.MustParseAddr("10.0.0.1")
	leaving := map[netip.Addr]bool{addr: true}
	convey.Convey("A live target on a leaving VM is marked, once it is known and as long as it lives", t, func() {
		c := New(nil, event.Discard())
		c.Merge(0, []objects.Object{object(1, "a", "first", target.Live)}, 1)
		convey.So(c.toMark(map[netip.Addr]bool{}), convey.ShouldBeEmpty)
		convey.So(c.toMark(leaving), convey.ShouldHaveLength, 1)
		convey.So(c.toMark(leaving), convey.ShouldHaveLength, 1) // again, until the object API takes it
		c.Merge(1, []objects.Object{object(2, "a", "first", target.Leaving)}, 2)
		convey.So(c.toMark(leaving), convey.ShouldBeEmpty)

		convey.Convey("a later process at the address is not marked because the list lags", func() {
			c.Merge(2, []objects.Object{object(3, "a", "second", target.Live)}, 3)
			convey.So(c.toMark(leaving), convey.ShouldBeEmpty)
			convey.So(c.toMark(map[netip.Addr]bool{}), convey.ShouldBeEmpty)
			convey.So(c.toMark(leaving), convey.ShouldHaveLength, 1) // leaves later on
		})
	})
}

// silentStore never answers.
type silentStore struct {
	registration.Store
	watches chan time.Duration
}

func (s *silentStore) Watch(ctx context.Context, _ objects.ObjectKind, _ objects.Version, wait time.Duration) ([]objects.Object, objects.Version, error) {
	began := time.Now()
	<-ctx.Done()
	s.watches <- time.Since(began) - wait
	return nil, 0, &objects.Error{Op: "watch", Kind: objects.Unavailable}
}

func (s *silentStore) VMs(ctx context.Context) ([]objects.VM, error) {
	<-ctx.Done()
	return nil, &objects.Error{Op: "vms", Kind: objects.Unavailable}
}

func TestSilentWatch(t *testing.T) {
	convey.Convey("A watch that is never answered ends by its own deadline and is made again", t, func() {
		s := &silentStore{watches: make(chan time.Duration)}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go New(s, event.Discard()).Run(ctx)
		for range 2 {
			select {
			case over := <-s.watches:
				convey.So(over, convey.ShouldBeLessThan, 3*time.Second)
			case <-time.After(9 * time.Second):
				convey.So("no deadline", convey.ShouldBeEmpty)
			}
		}
		cancel()
	})
}
