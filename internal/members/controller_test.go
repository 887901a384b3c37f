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

func newObject(version objects.Version, name, incarnation string, state target.State) objects.Object {
	t := target.Target{Name: name, Incarnation: incarnation, State: state, Addr: netip.MustParseAddrPort("10.0.0.1:8000")}
	return objects.Object{Name: name, Version: version, Value: registration.Encode(t)}
}

func targetStates(c *Controller) []string {
	var out []string
	for _, t := range c.Targets() {
		out = append(out, t.Name+" "+t.State.String())
	}
	return out
}

func TestMerge(t *testing.T) {
	convey.Convey("With two targets known up to version 5", t, func() {
		c := New(nil, event.Discard())
		c.Merge(0, []objects.Object{newObject(3, "a", "i", target.Live), newObject(5, "b", "i", target.Live)}, 5)
		convey.So(c.Version(), convey.ShouldEqual, 5)

		convey.Convey("an older answer that arrives after a newer one changes nothing", func() {
			c.Merge(5, []objects.Object{newObject(7, "a", "i", target.Leaving)}, 7)
			c.Merge(0, []objects.Object{newObject(3, "a", "i", target.Live)}, 3)
			convey.So(targetStates(c), convey.ShouldResemble, []string{"a leaving", "b live"})
			convey.So(c.Version(), convey.ShouldEqual, 7)
		})
		convey.Convey("changes that leave a gap are ignored", func() {
			c.Merge(6, []objects.Object{newObject(8, "a", "i", target.Gone)}, 8)
			convey.So(c.Version(), convey.ShouldEqual, 5)
			convey.So(targetStates(c), convey.ShouldResemble, []string{"a live", "b live"})
		})
		convey.Convey("deleted and gone targets are removed from the list and returned by ChangesSince", func() {
			c.Merge(5, []objects.Object{{Name: "a", Version: 6, Deleted: true}, newObject(7, "b", "i", target.Gone)}, 7)
			convey.So(targetStates(c), convey.ShouldBeEmpty)
			changed, newest := c.ChangesSince(5)
			convey.So(changed, convey.ShouldHaveLength, 2)
			convey.So(newest, convey.ShouldEqual, 7)
		})
		convey.Convey("an object that does not decode advances the version and is no target", func() {
			c.Merge(5, []objects.Object{{Name: "c", Version: 6, Value: []byte{1}}}, 6)
			convey.So(targetStates(c), convey.ShouldHaveLength, 2)
			convey.So(c.Version(), convey.ShouldEqual, 6)
		})
	})
}

// emptyStore is an object API without registrations.
type emptyStore struct{ Store }

// Watch implements Store.
func (emptyStore) Watch(_ context.Context, _ objects.ObjectKind, after objects.Version, _ time.Duration) ([]objects.Object, objects.Version, error) {
	return nil, after, nil
}

func TestListed(t *testing.T) {
	convey.Convey("The registrations are listed after the first answer, also of a peer or without any target", t, func() {
		c := New(emptyStore{}, event.Discard())
		convey.So(c.Listed(), convey.ShouldBeFalse)
		_, err := c.readChanges(context.Background(), 0, 0)
		convey.So(err, convey.ShouldBeNil)
		convey.So(c.Listed(), convey.ShouldBeTrue)

		c = New(nil, event.Discard())
		c.Merge(3, []objects.Object{newObject(5, "a", "i", target.Live)}, 5) // leaves a gap
		convey.So(c.Listed(), convey.ShouldBeFalse)
		c.Merge(0, []objects.Object{newObject(5, "a", "i", target.Live)}, 5)
		convey.So(c.Listed(), convey.ShouldBeTrue)
	})
}

func TestLeavingVM(t *testing.T) {
	addr := netip.MustParseAddr("10.0.0.1")
	leaving := map[netip.Addr]bool{addr: true}
	convey.Convey("A live target on a leaving VM is marked until its registration says that it is leaving", t, func() {
		c := New(nil, event.Discard())
		c.Merge(0, []objects.Object{newObject(1, "a", "first", target.Live)}, 1)
		convey.So(c.recordsToMark(map[netip.Addr]bool{}), convey.ShouldBeEmpty)
		convey.So(c.recordsToMark(leaving), convey.ShouldHaveLength, 1)
		convey.So(c.recordsToMark(leaving), convey.ShouldHaveLength, 1) // again until the object API accepts the write
		c.Merge(1, []objects.Object{newObject(2, "a", "first", target.Leaving)}, 2)
		convey.So(c.recordsToMark(leaving), convey.ShouldBeEmpty)

		convey.Convey("a new process at the address is not marked while the list of VMs lags", func() {
			c.Merge(2, []objects.Object{newObject(3, "a", "second", target.Live)}, 3)
			convey.So(c.recordsToMark(leaving), convey.ShouldBeEmpty)
			convey.So(c.recordsToMark(map[netip.Addr]bool{}), convey.ShouldBeEmpty)
			convey.So(c.recordsToMark(leaving), convey.ShouldHaveLength, 1) // the VM is leaving again
		})
	})
}

// hangingStore is a store whose calls block until their context is done.
type hangingStore struct {
	registration.Store
	watches chan time.Duration
}

func (s *hangingStore) Watch(ctx context.Context, _ objects.ObjectKind, _ objects.Version, wait time.Duration) ([]objects.Object, objects.Version, error) {
	began := time.Now()
	<-ctx.Done()
	s.watches <- time.Since(began) - wait
	return nil, 0, &objects.Error{Op: "watch", Kind: objects.Unavailable}
}

func (s *hangingStore) VMs(ctx context.Context) ([]objects.VM, error) {
	<-ctx.Done()
	return nil, &objects.Error{Op: "vms", Kind: objects.Unavailable}
}

func TestWatchTimeout(t *testing.T) {
	convey.Convey("A watch without a response ends at its own deadline and is repeated", t, func() {
		s := &hangingStore{watches: make(chan time.Duration)}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go New(s, event.Discard()).Run(ctx)
		for range 2 {
			select {
			case excess := <-s.watches:
				convey.So(excess, convey.ShouldBeLessThan, 3*time.Second)
			case <-time.After(9 * time.Second):
				convey.So("no deadline", convey.ShouldBeEmpty)
			}
		}
		cancel()
	})
}
