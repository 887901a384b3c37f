package gateway

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/follow"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/routing"
	"github.com/borageusher/borageusher/pkg/target"
)

// historyStore is a store that can return to an earlier state, from which it gives out
// its versions again.
type historyStore struct {
	mu      sync.Mutex
	history uint64
	version objects.Version
	objects map[string]objects.Object
	removed map[string]objects.Object
}

func newHistoryStore() *historyStore {
	return &historyStore{history: 1, objects: map[string]objects.Object{}, removed: map[string]objects.Object{}}
}

// put writes an object and returns its version.
func (s *historyStore) put(name, value string) objects.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.objects[name] = objects.Object{Name: name, Version: s.version, Value: []byte(value)}
	delete(s.removed, name)
	return s.version
}

// remove removes an object.
func (s *historyStore) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.removed[name] = objects.Object{Name: name, Version: s.version, Deleted: true}
	delete(s.objects, name)
}

// fill writes objects of no kind until the store has given out a version.
func (s *historyStore) fill(version objects.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = max(s.version, version)
}

// copyOf returns a copy of the present state.
func (s *historyStore) copyOf() *historyStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := newHistoryStore()
	out.history, out.version = s.history, s.version
	for name, o := range s.objects {
		out.objects[name] = o
	}
	return out
}

// restore replaces the state by that of a copy and by what write writes to it before any
// watch is answered.
func (s *historyStore) restore(c *historyStore, write func(*historyStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	write(c)
	s.history++
	s.version, s.objects, s.removed = c.version, c.objects, c.removed
}

// List implements follow.Source.
func (s *historyStore) List(context.Context, objects.ObjectKind) ([]objects.Object, follow.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []objects.Object
	for _, o := range s.objects {
		all = append(all, o)
	}
	return all, follow.Position{History: s.history, Version: s.version}, nil
}

// Watch implements follow.Source.
func (s *historyStore) Watch(ctx context.Context, _ objects.ObjectKind, after follow.Position, wait time.Duration) ([]objects.Object, follow.Position, error) {
	for start := time.Now(); ; time.Sleep(2 * time.Millisecond) {
		s.mu.Lock()
		var changed []objects.Object
		for _, all := range []map[string]objects.Object{s.objects, s.removed} {
			for _, o := range all {
				if o.Version > after.Version {
					changed = append(changed, o)
				}
			}
		}
		version, position := s.version, follow.Position{History: s.history, Version: s.version}
		s.mu.Unlock()
		switch {
		case version < after.Version:
			return nil, follow.Position{}, &objects.Error{Op: "watch", Kind: objects.HistoryGone}
		case len(changed) > 0 || time.Since(start) > wait || ctx.Err() != nil:
			return changed, position, nil
		}
	}
}

// textDecoder decodes values of the form "VERSION PREFIX" and "STATE START ADDRESS".
type textDecoder struct{}

func (textDecoder) Configuration(b []byte) (*routing.Configuration, error) {
	var version int64
	var prefix string
	if _, err := fmt.Sscan(string(b), &version, &prefix); err != nil {
		return nil, err
	}
	return routing.New(version, []routing.Route{{Name: prefix, Host: "h", Prefix: prefix}}, nil, routing.Limits{}), nil
}

func (textDecoder) Replica(id string, b []byte) (target.Replica, error) {
	var state, addr string
	var started int64
	if _, err := fmt.Sscan(string(b), &state, &started, &addr); err != nil {
		return target.Replica{}, err
	}
	r := target.Replica{ID: id, Service: "s", Addr: netip.MustParseAddrPort(addr), Zone: "a", Slots: 4, Started: time.UnixMilli(started)}
	if state == "draining" {
		r.State = target.Leaving
	}
	return r, nil
}

func (textDecoder) Version([]byte) (orders.Adapter, int64, error) { return orders.Adapter{}, 0, nil }

// followedStore is a store that a fleet and a configuration follow.
type followedStore struct {
	*historyStore
	fleet   *Fleet
	current atomic.Pointer[routing.Configuration]
}

// followStore follows s as a list of targets or, if it has the object main, as
// the configuration, with watches of up to wait and the given pause between them.
func followStore(t *testing.T, s *historyStore, wait, pause time.Duration) *followedStore {
	t.Helper()
	f := &followedStore{historyStore: s, fleet: NewFleet("a", "north", map[string]string{"a": "north"}, event.Discard())}
	var sink follow.Sink = &replicaSink{textDecoder{}, f.fleet, event.Discard()}
	if _, ok := s.objects["main"]; ok {
		sink = &configurationSink{decoder: textDecoder{}, name: "main", current: &f.current, fleet: f.fleet, log: event.Discard()}
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	intervals := follow.Intervals{WatchTimeout: wait, WatchPause: pause}
	go follow.New(s, "kind", sink, intervals, event.Discard()).Run(ctx)
	listed := func() bool {
		f.fleet.mu.Lock()
		defer f.fleet.mu.Unlock()
		return f.fleet.targetsListed || f.current.Load() != nil
	}
	if !eventually(listed) {
		t.Fatal("nothing was listed")
	}
	return f
}

// serves reports whether the configuration in force has a route.
func (f *followedStore) serves(prefix string) bool {
	_, ok := f.current.Load().Match("h", prefix)
	return ok
}

// usable reports whether a target may be sent requests.
func (f *followedStore) usable(id string) bool {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	t := f.fleet.targets[id]
	return t != nil && t.usable(time.Now())
}

// becomes waits until a target is usable or not, and reports whether it stays so for a
// while.
func (f *followedStore) becomes(id string, usable bool) bool {
	if !eventually(func() bool { return f.usable(id) == usable }) {
		return false
	}
	for range 30 {
		time.Sleep(5 * time.Millisecond)
		if f.usable(id) != usable {
			return false
		}
	}
	return true
}

// TestChangeUnseenAfterRestore guards against a watch that goes on in another history: the
// store has given out as many versions as it lost before the next watch.
func TestChangeUnseenAfterRestore(t *testing.T) {
	convey.Convey("A change that is written at an earlier version than one seen before is in force", t, func() {
		s := newHistoryStore()
		s.put("main", "3 /a/")
		c := s.copyOf()
		s.put("main", "4 /b/")
		s.fill(20)
		f := followStore(t, s, 50*time.Millisecond, 50*time.Millisecond)
		convey.So(f.serves("/b/"), convey.ShouldBeTrue)
		s.restore(c, func(c *historyStore) {
			c.put("main", "7 /c/")
			c.fill(30)
		})
		convey.So(eventually(func() bool { return f.serves("/c/") }), convey.ShouldBeTrue)
	})
}

// TestConfigurationWrittenAgain guards against a configuration that is ignored because
// another one had its version before the store lost it, and against an older one in force.
func TestConfigurationWrittenAgain(t *testing.T) {
	convey.Convey("Given a configuration that the store loses", t, func() {
		s := newHistoryStore()
		s.put("main", "3 /a/")
		c := s.copyOf()
		s.put("main", "4 /b/")
		f := followStore(t, s, 50*time.Millisecond, time.Millisecond)
		convey.So(f.serves("/b/"), convey.ShouldBeTrue)
		s.restore(c, func(*historyStore) {})
		time.Sleep(150 * time.Millisecond)
		convey.So(f.serves("/b/"), convey.ShouldBeTrue)
		convey.Convey("another one with its version is in force", func() {
			s.put("main", "4 /c/")
			convey.So(eventually(func() bool { return f.serves("/c/") }), convey.ShouldBeTrue)
		})
		convey.Convey("one that is older than the lost one is not", func() {
			s.put("main", "3 /d/")
			time.Sleep(100 * time.Millisecond)
			convey.So(f.serves("/b/"), convey.ShouldBeTrue)
		})
	})
}

// TestFormerTargetInRestoredStore guards against requests to targets that were seen to
// leave or go, and that the store names again as live.
func TestFormerTargetInRestoredStore(t *testing.T) {
	convey.Convey("Given a store with two targets", t, func() {
		s := newHistoryStore()
		s.put("x", "ready 7 127.0.0.1:1")
		s.put("y", "ready 7 127.0.0.1:2")
		c := s.copyOf()
		f := followStore(t, s, 50*time.Millisecond, time.Millisecond)
		convey.So(f.becomes("x", true), convey.ShouldBeTrue)
		convey.Convey("one that leaves stays unused when the store names it as live", func() {
			s.put("x", "draining 7 127.0.0.1:1")
			convey.So(f.becomes("x", false), convey.ShouldBeTrue)
			s.restore(c, func(*historyStore) {})
			convey.So(f.becomes("x", false), convey.ShouldBeTrue)
			convey.So(f.usable("y"), convey.ShouldBeTrue)
			convey.Convey("until it starts again", func() {
				s.put("x", "ready 8 127.0.0.1:1")
				convey.So(f.becomes("x", true), convey.ShouldBeTrue)
			})
		})
		convey.Convey("one that is gone stays gone when the store names it again", func() {
			s.remove("x")
			convey.So(f.becomes("x", false), convey.ShouldBeTrue)
			s.restore(c, func(*historyStore) {})
			convey.So(f.becomes("x", false), convey.ShouldBeTrue)
			convey.Convey("until it writes there", func() {
				s.put("x", "ready 7 127.0.0.1:1")
				convey.So(f.becomes("x", true), convey.ShouldBeTrue)
			})
			convey.Convey("until its entry has stayed for longer than that of a target that is gone", func() {
				f.fleet.Sweep(time.Now())
				convey.So(f.usable("x"), convey.ShouldBeFalse)
				f.fleet.Sweep(time.Now().Add(10 * time.Second))
				convey.So(f.usable("x"), convey.ShouldBeTrue)
			})
			convey.Convey("for good if its entry is removed meanwhile", func() {
				s.remove("x")
				time.Sleep(50 * time.Millisecond)
				f.fleet.Sweep(time.Now().Add(10 * time.Second))
				convey.So(f.becomes("x", false), convey.ShouldBeTrue)
			})
		})
		convey.Convey("an entry of a target that is gone does not end the one that has its address", func() {
			s.remove("x")
			convey.So(f.becomes("x", false), convey.ShouldBeTrue)
			s.put("z", "ready 9 127.0.0.1:1")
			convey.So(f.becomes("z", true), convey.ShouldBeTrue)
			s.restore(c, func(c *historyStore) { c.put("z", "ready 9 127.0.0.1:1") })
			convey.So(f.becomes("x", false), convey.ShouldBeTrue)
			convey.So(f.usable("z"), convey.ShouldBeTrue)
		})
	})
}

// TestLiveTargetMissingInRestoredStore guards against a live target that is dropped at
// once because the store lost its entry in an outage that was too short to be noticed.
func TestLiveTargetMissingInRestoredStore(t *testing.T) {
	convey.Convey("A live target that the store has lost stays usable until it can have written its entry again", t, func() {
		s := newHistoryStore()
		s.put("x", "ready 7 127.0.0.1:1")
		c := s.copyOf()
		s.put("y", "ready 7 127.0.0.1:2")
		f := followStore(t, s, 50*time.Millisecond, time.Millisecond)
		convey.So(f.becomes("y", true), convey.ShouldBeTrue)
		s.restore(c, func(*historyStore) {})
		convey.So(f.becomes("y", true), convey.ShouldBeTrue)
		convey.Convey("but no longer", func() {
			f.fleet.Sweep(time.Now().Add(3 * time.Second))
			convey.So(f.usable("y"), convey.ShouldBeFalse)
		})
	})
}
