package suspects

import (
	"context"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/pkg/quarantine"
)

var start = time.Now().Truncate(time.Millisecond)

func request(body string) quarantine.Request {
	return quarantine.Request{Team: "t", Body: []byte(body)}
}

func crash(name string, bodies ...string) quarantine.Crash {
	c := quarantine.Crash{Name: name, Target: "target-" + name, At: start}
	for _, b := range bodies {
		c.InFlight = append(c.InFlight, quarantine.FingerprintOf(request(b)))
	}
	return c
}

// memoryStore is a Store in memory with a version per object.
type memoryStore struct {
	values     map[string]objects.Object
	nextPutErr error // returned by the next Put, which takes effect nevertheless
}

func (m *memoryStore) Get(_ context.Context, _ objects.ObjectKind, name string) (objects.Object, error) {
	o, ok := m.values[name]
	if !ok {
		return o, &objects.Error{Op: "get", Kind: objects.NotFound}
	}
	return o, nil
}

func (m *memoryStore) Put(_ context.Context, _ objects.ObjectKind, name string, value []byte, expect objects.Version) (objects.Version, error) {
	old := m.values[name]
	if old.Version != expect {
		return 0, &objects.Error{Op: "put", Kind: objects.Conflict}
	}
	m.values[name] = objects.Object{Name: name, Version: old.Version + 1, Value: value}
	err := m.nextPutErr
	m.nextPutErr = nil
	return old.Version + 1, err
}

func (m *memoryStore) List(context.Context, objects.ObjectKind) ([]objects.Object, objects.Version, error) {
	var out []objects.Object
	for _, o := range m.values {
		out = append(out, o)
	}
	return out, 1, nil
}

func (m *memoryStore) Watch(ctx context.Context, _ objects.ObjectKind, _ objects.Version, _ time.Duration) ([]objects.Object, objects.Version, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func TestController(t *testing.T) {
	convey.Convey("Given two crashes in the object API", t, func() {
		ctx := context.Background()
		store := &memoryStore{values: map[string]objects.Object{}}
		r := NewRecorder(store)
		convey.So(r.Record(ctx, crash("1", "bad", "good")), convey.ShouldBeNil)
		store.nextPutErr = &objects.Error{Op: "put", Kind: objects.Uncertain}
		convey.So(r.Record(ctx, crash("2", "bad")), convey.ShouldNotBeNil)
		convey.So(r.Record(ctx, crash("2", "bad")), convey.ShouldBeNil)
		c := New(store, event.Discard())
		convey.So(c.Ready(), convey.ShouldBeFalse)
		classify := func(c *Controller, body string) quarantine.Verdict {
			v, _ := c.Classify(start, request(body))
			return v
		}
		load := func(c *Controller) {
			_, err := c.update(ctx, 0)
			convey.So(err, convey.ShouldBeNil)
		}

		convey.Convey("a controller that has read them classifies requests by them", func() {
			load(c)
			convey.So(c.Ready(), convey.ShouldBeTrue)
			convey.So(classify(c, "bad"), convey.ShouldEqual, quarantine.Convicted)
			convey.So(classify(c, "other"), convey.ShouldEqual, quarantine.Innocent)
			v, targets := c.Classify(start, request("good"))
			convey.So(v, convey.ShouldEqual, quarantine.Suspect)
			convey.So(targets, convey.ShouldResemble, []string{"target-1"})
		})
		convey.Convey("a suspect cleared by one controller is cleared in another through the object API", func() {
			load(c)
			c.Clear(start, request("good"))
			convey.So(classify(c, "good"), convey.ShouldEqual, quarantine.Innocent)
			for name, fs := range c.takeUnwritten() {
				convey.So(c.writeCleared(ctx, name, fs), convey.ShouldBeNil)
			}
			other := New(store, event.Discard())
			load(other)
			convey.So(classify(other, "good"), convey.ShouldEqual, quarantine.Innocent)
			convey.So(classify(other, "bad"), convey.ShouldEqual, quarantine.Convicted)
		})
		convey.Convey("an answer before the crash becomes known clears the suspect", func() {
			c.Clear(start, request("good"))
			load(c)
			convey.So(classify(c, "good"), convey.ShouldEqual, quarantine.Innocent)
		})
	})
}

// FuzzDecode checks that no stored bytes make Decode panic, and that it accepts no
// crash that it rejects after Encode.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(crash("1", "a", "b")))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := Decode("1", b)
		if err != nil {
			return
		}
		if _, err := Decode("1", Encode(c)); err != nil {
			t.Fatalf("Decode(Encode(%v)): %v", c, err)
		}
	})
}

// Answered implements Store.
func (m *memoryStore) Answered() bool { return true }

// outage is a Store whose List fails.
type outage struct {
	memoryStore
	answered bool // other calls were answered
}

// Answered implements Store.
func (o *outage) Answered() bool { return o.answered }

func (*outage) List(context.Context, objects.ObjectKind) ([]objects.Object, objects.Version, error) {
	return nil, 0, &objects.Error{Op: "list", Kind: objects.Unavailable}
}

func TestReadyInOutage(t *testing.T) {
	convey.Convey("A process that starts while the object API is unavailable becomes ready after readyAfterFailures failed reads", t, func() {
		c := New(&outage{}, event.Discard())
		for i := 1; i <= readyAfterFailures; i++ {
			convey.So(c.Ready(), convey.ShouldBeFalse)
			_, err := c.update(context.Background(), 0)
			convey.So(err, convey.ShouldNotBeNil)
		}
		convey.So(c.Ready(), convey.ShouldBeTrue)
	})
	convey.Convey("A process does not become ready before it has read the crashes while other calls are answered", t, func() {
		c := New(&outage{answered: true}, event.Discard())
		for range 2 * readyAfterFailures {
			_, err := c.update(context.Background(), 0)
			convey.So(err, convey.ShouldNotBeNil)
		}
		convey.So(c.Ready(), convey.ShouldBeFalse)
	})
}
