package registration

import (
	"context"
	"net/netip"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/pkg/target"
)

// callNumber is the number of a call to the object API, counted from 1.
type callNumber int

// fault is the kind of failure injected into a call.
type fault uint8

const (
	rejected     fault = iota + 1 // the call has no effect, and the caller knows it
	requestLost                   // the call has no effect, and its outcome is uncertain to the caller
	responseLost                  // the call takes effect, and its outcome is uncertain to the caller
)

// fakeStore is an in-memory object API with one object and injected faults.
type fakeStore struct {
	object objects.Object
	calls  callNumber
	faults map[callNumber]fault
}

func (s *fakeStore) Get(_ context.Context, _ objects.ObjectKind, _ string) (objects.Object, error) {
	s.calls++
	if s.faults[s.calls] != 0 {
		return objects.Object{}, &objects.Error{Op: "get", Kind: objects.Unavailable}
	}
	if s.object.Version == 0 {
		return objects.Object{}, &objects.Error{Op: "get", Kind: objects.NotFound}
	}
	return s.object, nil
}

func (s *fakeStore) Put(_ context.Context, _ objects.ObjectKind, name string, value []byte, expect objects.Version) (objects.Version, error) {
	s.calls++
	f := s.faults[s.calls]
	if f == rejected {
		return 0, &objects.Error{Op: "put", Kind: objects.Unavailable}
	}
	if f == requestLost {
		return 0, &objects.Error{Op: "put", Kind: objects.Uncertain}
	}
	if s.object.Version != expect {
		return 0, &objects.Error{Op: "put", Kind: objects.Conflict}
	}
	s.object = objects.Object{Name: name, Version: expect + 1, Value: value}
	if f == responseLost {
		return 0, &objects.Error{Op: "put", Kind: objects.Uncertain}
	}
	return s.object.Version, nil
}

func newTarget(incarnation string) target.Target {
	return target.Target{Name: "t1", Incarnation: incarnation, Addr: netip.MustParseAddrPort("10.0.0.1:8000")}
}

// registerWithRetry retries failed registrations of self as targetd does.
func registerWithRetry(store *fakeStore, self target.Target) Record {
	for range 10 {
		if rec, err := Register(context.Background(), store, self); err == nil {
			return rec
		}
	}
	return Record{}
}

func TestRegisterFaultAtEachCall(t *testing.T) {
	convey.Convey("After a fault of any kind in any call, a start has the epoch following its predecessor's", t, func() {
		for n := callNumber(1); n <= 4; n++ {
			for _, f := range []fault{rejected, requestLost, responseLost} {
				store := &fakeStore{}
				first := registerWithRetry(store, newTarget("first"))
				convey.So(first.Target.Epoch, convey.ShouldEqual, 1)
				store.faults = map[callNumber]fault{store.calls + n: f}
				second := registerWithRetry(store, newTarget("second"))
				convey.So(second.Target.Epoch, convey.ShouldEqual, 2)
				now, err := Decode(store.object.Value)
				convey.So(err, convey.ShouldBeNil)
				convey.So(now.Epoch, convey.ShouldEqual, 2)
				convey.So(second.Version, convey.ShouldEqual, store.object.Version)
			}
		}
	})
}

func TestSupersededProcess(t *testing.T) {
	ctx := context.Background()
	convey.Convey("A process that was suspended while another registered its target", t, func() {
		store := &fakeStore{}
		old := registerWithRetry(store, newTarget("old"))
		next := registerWithRetry(store, newTarget("next"))
		convey.So(next.Target.Epoch, convey.ShouldBeGreaterThan, old.Target.Epoch)

		convey.Convey("can't write its state", func() {
			_, err := SetState(ctx, store, old, target.Leaving)
			convey.So(IsReplaced(err), convey.ShouldBeTrue)
			now, _ := Decode(store.object.Value)
			convey.So(now.State, convey.ShouldEqual, target.Live)
		})
		convey.Convey("gets a higher epoch when it registers again, never its old one", func() {
			again := registerWithRetry(store, newTarget("old"))
			convey.So(again.Target.Epoch, convey.ShouldBeGreaterThan, next.Target.Epoch)
		})
	})
}

func TestSetState(t *testing.T) {
	ctx := context.Background()
	convey.Convey("Given a registered process", t, func() {
		store := &fakeStore{}
		rec := registerWithRetry(store, newTarget("i"))

		convey.Convey("that a watcher marked as leaving, it can still set its state to gone", func() {
			_, err := SetState(ctx, store, rec, target.Leaving) // by a watcher with its own copy of the record
			convey.So(err, convey.ShouldBeNil)
			done, err := SetState(ctx, store, rec, target.Gone)
			convey.So(err, convey.ShouldBeNil)
			convey.So(done.Target.State, convey.ShouldEqual, target.Gone)

			convey.Convey("and a late write of leaving does not revert the state", func() {
				late, err := SetState(ctx, store, rec, target.Leaving)
				convey.So(err, convey.ShouldBeNil)
				convey.So(late.Target.State, convey.ShouldEqual, target.Gone)
				now, _ := Decode(store.object.Value)
				convey.So(now.State, convey.ShouldEqual, target.Gone)
			})
		})
	})
	convey.Convey("A state write with an uncertain outcome is read back or retried", t, func() {
		for _, f := range []fault{requestLost, responseLost} {
			store := &fakeStore{}
			rec := registerWithRetry(store, newTarget("i"))
			store.faults = map[callNumber]fault{store.calls + 1: f}
			done, err := SetState(ctx, store, rec, target.Leaving)
			convey.So(err, convey.ShouldBeNil)
			convey.So(done.Target.State, convey.ShouldEqual, target.Leaving)
			convey.So(done.Version, convey.ShouldEqual, store.object.Version)
		}
	})
}

func TestSetStateAfterDeletion(t *testing.T) {
	convey.Convey("The state of a deleted object can't be set", t, func() {
		store := &fakeStore{}
		rec := registerWithRetry(store, newTarget("i"))
		store.object = objects.Object{}
		_, err := SetState(context.Background(), store, rec, target.Leaving)
		convey.So(IsReplaced(err), convey.ShouldBeTrue)
	})
}
