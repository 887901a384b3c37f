package claims

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/pkg/claim"
	"github.com/borageusher/borageusher/pkg/outcome"
)

// memoryStore is an object API in memory that can lose the replies of writes.
type memoryStore struct {
	mu            sync.Mutex
	objects       map[string]objects.Object
	version       objects.Version
	calls         map[string]int
	repliesToLose int  // number of next writes that take effect but return Uncertain
	unavailable   bool // reads and writes fail
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: map[string]objects.Object{}, calls: map[string]int{}}
}

func (m *memoryStore) Get(_ context.Context, _ objects.ObjectKind, name string) (objects.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls["get"]++
	if m.unavailable {
		return objects.Object{}, &objects.Error{Op: "get", Kind: objects.Unavailable}
	}
	o, ok := m.objects[name]
	if !ok {
		return objects.Object{}, &objects.Error{Op: "get", Kind: objects.NotFound}
	}
	return o, nil
}

func (m *memoryStore) Put(_ context.Context, _ objects.ObjectKind, name string, value []byte, expect objects.Version) (objects.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls["put"]++
	if m.unavailable {
		return 0, &objects.Error{Op: "put", Kind: objects.Unavailable}
	}
	if m.objects[name].Version != expect {
		return 0, &objects.Error{Op: "put", Kind: objects.Conflict}
	}
	m.version++
	m.objects[name] = objects.Object{Name: name, Version: m.version, Value: value}
	if m.repliesToLose > 0 {
		m.repliesToLose--
		return 0, &objects.Error{Op: "put", Kind: objects.Uncertain}
	}
	return m.version, nil
}

func (m *memoryStore) Delete(_ context.Context, _ objects.ObjectKind, name string, expect objects.Version) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls["delete"]++
	if m.objects[name].Version != expect {
		return &objects.Error{Op: "delete", Kind: objects.Conflict}
	}
	delete(m.objects, name)
	return nil
}

func (m *memoryStore) count(method string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls[method]
}

func (m *memoryStore) setUnavailable(unavailable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable = unavailable
}

func newTestClient(m *memoryStore, retention time.Duration) *Client {
	return New(Options{
		Store:           m,
		BackgroundStore: m,
		Self:            claim.Writer{Name: "t1", Incarnation: "a"},
		Retention:       retention,
		Log:             event.Discard(),
		Scope:           tally.NoopScope,
	})
}

var (
	attempt = claim.Attempt{Request: "r1", Number: 1}
	digest  = []byte("digest")
)

// eventually polls until check reports true, for about five seconds at most.
func eventually(check func() bool) bool {
	for range 500 {
		if check() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func TestClient(t *testing.T) {
	convey.Convey("Given a client of an object API", t, func() {
		m := newMemoryStore()
		cl := newTestClient(m, time.Hour)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go cl.Run(ctx)

		convey.Convey("claim and outcome take two writes and no read, and a second request gets the answer as a replay", func() {
			held, err := cl.Acquire(ctx, "k", attempt, digest)
			convey.So(err, convey.ShouldBeNil)
			convey.So(held.Kind, convey.ShouldEqual, claim.Run)
			cl.RecordAnswer("k", held, claim.Answer{Status: 200, Body: []byte("ok")})
			convey.So(eventually(func() bool { return cl.Pending() == 0 }), convey.ShouldBeTrue)
			convey.So(m.count("put"), convey.ShouldEqual, 2)
			convey.So(m.count("get"), convey.ShouldEqual, 0)
			v, err := cl.Acquire(ctx, "k", claim.Attempt{Request: "r2", Number: 1}, digest)
			convey.So(err, convey.ShouldBeNil)
			convey.So(v.Kind, convey.ShouldEqual, claim.Replay)
			convey.So(string(v.Record.Answer.Body), convey.ShouldEqual, "ok")
		})
		convey.Convey("after a lost reply to a write the record is read back", func() {
			m.repliesToLose = 1
			held, err := cl.Acquire(ctx, "k", attempt, digest)
			convey.So(err, convey.ShouldBeNil)
			convey.So(held.Kind, convey.ShouldEqual, claim.Run)
			convey.So(m.count("get"), convey.ShouldEqual, 1)
		})
		convey.Convey("Take fails during an outage and a release is written after it", func() {
			m.setUnavailable(true)
			short, cancelShort := context.WithTimeout(ctx, 50*time.Millisecond)
			defer cancelShort()
			_, err := cl.Acquire(short, "k", attempt, digest)
			convey.So(IsKind(err, Unavailable), convey.ShouldBeTrue)
			convey.So(m.count("get"), convey.ShouldEqual, 0)
			cl.Release("k", attempt, digest)
			convey.So(cl.Pending(), convey.ShouldEqual, 1)
			m.setUnavailable(false)
			convey.So(eventually(func() bool { return cl.Pending() == 0 }), convey.ShouldBeTrue)
			v, err := cl.Void(ctx, "k", attempt, digest)
			convey.So(err, convey.ShouldBeNil)
			convey.So(v.Kind, convey.ShouldEqual, claim.NotRun)
		})
		convey.Convey("a run without an answer is recorded as broken", func() {
			held, err := cl.Acquire(ctx, "k", attempt, digest)
			convey.So(err, convey.ShouldBeNil)
			cl.RecordInterruption("k", held, outcome.EngineFailed)
			convey.So(eventually(func() bool { return cl.Pending() == 0 }), convey.ShouldBeTrue)
			rec, err := cl.Read(ctx, "k")
			convey.So(err, convey.ShouldBeNil)
			convey.So(rec.State, convey.ShouldEqual, claim.Interrupted)
		})
	})
	convey.Convey("A full queue drops further writes, so that the record stays claimed", t, func() {
		m := newMemoryStore()
		cl := newTestClient(m, time.Hour)
		held, err := cl.Acquire(context.Background(), "k", attempt, digest)
		convey.So(err, convey.ShouldBeNil)
		for range maxQueuedWrites + 1 {
			cl.RecordAnswer("k", held, claim.Answer{Status: 200})
		}
		convey.So(cl.Pending(), convey.ShouldEqual, maxQueuedWrites)
	})
}

func TestExpiry(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	convey.Convey("Records are due in the order of their writes, after the retention", t, func() {
		q := newExpiryQueue(time.Minute)
		q.add(start, "a", 1)
		q.add(start.Add(time.Second), "b", 2)
		q.add(start, "unwritten", 0)
		_, ok := q.popDue(start.Add(59 * time.Second))
		convey.So(ok, convey.ShouldBeFalse)
		r, ok := q.popDue(start.Add(60 * time.Second))
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(r.name, convey.ShouldEqual, "a")
		_, ok = q.popDue(start.Add(60 * time.Second))
		convey.So(ok, convey.ShouldBeFalse)
	})
	convey.Convey("An expired record that was written again is deleted only after its last write has expired", t, func() {
		m := newMemoryStore()
		cl := newTestClient(m, 0)
		v, err := cl.Void(context.Background(), "k", attempt, digest)
		convey.So(err, convey.ShouldBeNil)
		held, err := cl.Acquire(context.Background(), "k", claim.Attempt{Request: "r1", Number: 2}, digest)
		convey.So(err, convey.ShouldBeNil)
		convey.So(held.Version, convey.ShouldNotEqual, v.Version)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go cl.Run(ctx)
		convey.So(eventually(func() bool { return m.count("delete") == 1 }), convey.ShouldBeTrue)
		convey.So(len(m.objects), convey.ShouldEqual, 1)
		cl.RecordAnswer("k", held, claim.Answer{Status: 200})
		convey.So(eventually(func() bool { return m.count("delete") == 2 }), convey.ShouldBeTrue)
		m.mu.Lock()
		defer m.mu.Unlock()
		convey.So(len(m.objects), convey.ShouldEqual, 0)
	})
}
