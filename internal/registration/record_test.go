package registration

import (
	"context"
	"net/netip"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/pkg/target"
)

// call is one call of the object API by its number, counted from 1.
type call int

// fault is what happens to a call.
type fault uint8

const (
	refused    fault = iota + 1 // no effect, and the caller knows
	lostBefore                  // no effect, and the caller does not know
	lostAfter                   // effect, and the caller does not know
)

// memory is an object API with one object and faults at chosen calls.
type memory struct {
	object objects.Object
	calls  call
	faults map[call]fault
}

func (m *memory) Get(_ context.Context, _ objects.ObjectKind, _ string) (objects.Object, error) {
	m.calls++
	if m.faults[m.calls] != 0 {
		return objects.Object{}, &objects.Error{Op: "get", Kind: objects.Unavailable}
	}
	if m.object.Version == 0 {
		return objects.Object{}, &objects.Error{Op: "get", Kind: objects.NotFound}
	}
	return m.object, nil
}

func (m *memory) Put(_ context.Context, _ objects.ObjectKind, name string, value []byte, expect objects.Version) (objects.Version, error) {
	m.calls++
	f := m.faults[m.calls]
	if f == refused {
		return 0, &objects.Error{Op: "put", Kind: objects.Unavailable}
	}
	if f == lostBefore {
		return 0, &objects.Error{Op: "put", Kind: objects.Uncertain}
	}
	if m.object.Version != expect {
		return 0, &objects.Error{Op: "put", Kind: objects.Conflict}
	}
	m.object = objects.Object{Name: name, Version: expect + 1, Value: value}
	if f == lostAfter {
		return 0, &objects.Error{Op: "put", Kind: objects.Uncertain}
	}
	return m.object.Version, nil
}

func process(incarnation string) target.Target {
	return target.Target{Name: "t1", Incarnation: incarnation, Addr: netip.MustParseAddrPort("10.0.0.1:8000")}
}

// until registers self as targetd does: again and again until it succeeds.
func until(m *memory, self target.Target) Record {
	for range 10 {
		if rec, err := Register(context.Background(), m, self); err == nil {
			return rec
		}
	}
	return Record{}
}

func TestRegisterOutageAtEachStep(t *testing.T) {
	convey.Convey("Whichever call fails, and how, a start ends with one epoch above the predecessor's", t, func() {
		for n := call(1); n <= 4; n++ {
			for _, f := range []fault{refused, lostBefore, lostAfter} {
				m := &memory{}
				first := until(m, process("first"))
				convey.So(first.Target.Epoch, convey.ShouldEqual, 1)
				m.faults = map[call]fault{m.calls + n: f}
				second := until(m, process("second"))
				convey.So(second.Target.Epoch, convey.ShouldEqual, 2)
				now, err := Decode(m.object.Value)
				convey.So(err, convey.ShouldBeNil)
				convey.So(now.Epoch, convey.ShouldEqual, 2)
				convey.So(second.Version, convey.ShouldEqual, m.object.Version)
			}
		}
	})
}

func TestFrozenPredecessor(t *testing.T) {
	ctx := context.Background()
	convey.Convey("A process that was frozen while another took its place", t, func() {
		m := &memory{}
		old := until(m, process("old"))
		next := until(m, process("next"))
		convey.So(next.Target.Epoch, convey.ShouldBeGreaterThan, old.Target.Epoch)

		convey.Convey("cannot write its state", func() {
			_, err := SetState(ctx, m, old, target.Leaving)
			convey.So(IsReplaced(err), convey.ShouldBeTrue)
			now, _ := Decode(m.object.Value)
			convey.So(now.State, convey.ShouldEqual, target.Live)
		})
		convey.Convey("and that registers again gets a higher epoch, never its old one", func() {
			again := until(m, process("old"))
			convey.So(again.Target.Epoch, convey.ShouldBeGreaterThan, next.Target.Epoch)
		})
	})
}

func TestSetState(t *testing.T) {
	ctx := context.Background()
	convey.Convey("With a registered process", t, func() {
		m := &memory{}
		rec := until(m, process("i"))

		convey.Convey("whom another marked as leaving, it can still write that it is gone", func() {
			_, err := SetState(ctx, m, rec, target.Leaving) // by a watcher, with its own record
			convey.So(err, convey.ShouldBeNil)
			done, err := SetState(ctx, m, rec, target.Gone)
			convey.So(err, convey.ShouldBeNil)
			convey.So(done.Target.State, convey.ShouldEqual, target.Gone)

			convey.Convey("and a mark that comes late does not bring it back", func() {
				late, err := SetState(ctx, m, rec, target.Leaving)
				convey.So(err, convey.ShouldBeNil)
				convey.So(late.Target.State, convey.ShouldEqual, target.Gone)
				now, _ := Decode(m.object.Value)
				convey.So(now.State, convey.ShouldEqual, target.Gone)
			})
		})
	})
	convey.Convey("A write of the state whose answer is lost is settled", t, func() {
		for _, f := range []fault{lostBefore, lostAfter} {
			m := &memory{}
			rec := until(m, process("i"))
			m.faults = map[call]fault{m.calls + 1: f}
			done, err := SetState(ctx, m, rec, target.Leaving)
			convey.So(err, convey.ShouldBeNil)
			convey.So(done.Target.State, convey.ShouldEqual, target.Leaving)
			convey.So(done.Version, convey.ShouldEqual, m.object.Version)
		}
	})
}

func TestMarkOfGoneProcess(t *testing.T) {
	convey.Convey("An object that was deleted cannot be marked", t, func() {
		m := &memory{}
		rec := until(m, process("i"))
		m.object = objects.Object{}
		_, err := SetState(context.Background(), m, rec, target.Leaving)
		convey.So(IsReplaced(err), convey.ShouldBeTrue)
	})
}
