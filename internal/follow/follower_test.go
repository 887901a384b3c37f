package follow

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/objects"
)

// response is the scripted store's response to one call.
type response struct {
	objects []objects.Object
	version objects.Version
	history uint64
	delay   time.Duration
	err     error

	incomplete bool
}

// scriptedStore is a Source that returns its responses in order. Calls after the
// last response block until their context is done.
type scriptedStore struct {
	mu          sync.Mutex
	lists       []response
	watches     []response
	watchedFrom []objects.Version // version argument of each watch
}

func (s *scriptedStore) next(ctx context.Context, queue *[]response) ([]objects.Object, Position, error) {
	s.mu.Lock()
	if len(*queue) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return nil, Position{}, ctx.Err()
	}
	r := (*queue)[0]
	*queue = (*queue)[1:]
	s.mu.Unlock()
	time.Sleep(r.delay)
	return r.objects, Position{History: r.history, Version: r.version, Incomplete: r.incomplete}, r.err
}

func (s *scriptedStore) List(ctx context.Context, _ objects.ObjectKind) ([]objects.Object, Position, error) {
	return s.next(ctx, &s.lists)
}

func (s *scriptedStore) Watch(
	ctx context.Context, _ objects.ObjectKind, after Position, _ time.Duration,
) ([]objects.Object, Position, error) {
	s.mu.Lock()
	s.watchedFrom = append(s.watchedFrom, after.Version)
	s.mu.Unlock()
	return s.next(ctx, &s.watches)
}

// sinkCall is one call of a Sink.
type sinkCall struct {
	replaced bool
	names    []string
	settling bool
	restored bool
}

type recordingSink struct{ calls chan sinkCall }

func (r *recordingSink) record(call sinkCall, now time.Time, changed []objects.Object, settled time.Time) {
	call.settling = now.Before(settled)
	for _, o := range changed {
		call.names = append(call.names, o.Name)
	}
	r.calls <- call
}

func (r *recordingSink) Replace(now time.Time, all []objects.Object, settled time.Time, restored bool) {
	r.record(sinkCall{replaced: true, restored: restored}, now, all, settled)
}

func (r *recordingSink) Apply(now time.Time, changed []objects.Object, settled time.Time) {
	r.record(sinkCall{}, now, changed, settled)
}

func objectNamed(name string) []objects.Object { return []objects.Object{{Name: name}} }

// startFollower runs a Follower on s until the test ends.
func startFollower(t *testing.T, s *scriptedStore) *recordingSink {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	sink := &recordingSink{calls: make(chan sinkCall, 16)}
	go New(s, "things", sink, Intervals{WatchTimeout: time.Second, WatchPause: time.Millisecond}, event.Discard()).Run(ctx)
	return sink
}

func TestFollow(t *testing.T) {
	unavailable := response{err: &objects.Error{Op: "test", Kind: objects.Unavailable, Err: errors.New("down")}}
	historyGone := response{err: &objects.Error{Op: "test", Kind: objects.HistoryGone}}
	convey.Convey("A Follower lists once and then watches from the last version", t, func() {
		s := &scriptedStore{
			lists:   []response{{objects: objectNamed("a"), version: 5}},
			watches: []response{{objects: objectNamed("b"), version: 7}, {version: 9}, {objects: objectNamed("c"), version: 12}},
		}
		sink := startFollower(t, s)
		convey.So(<-sink.calls, convey.ShouldResemble, sinkCall{replaced: true, names: []string{"a"}})
		convey.So(<-sink.calls, convey.ShouldResemble, sinkCall{names: []string{"b"}})
		convey.So(<-sink.calls, convey.ShouldResemble, sinkCall{names: []string{"c"}})
		s.mu.Lock()
		defer s.mu.Unlock()
		convey.So(s.watchedFrom[:3], convey.ShouldResemble, []objects.Version{5, 7, 9})
	})
	convey.Convey("A Follower lists again when the store no longer keeps the history", t, func() {
		s := &scriptedStore{
			lists:   []response{{objects: objectNamed("a"), version: 5}, {objects: objectNamed("b"), version: 50}},
			watches: []response{historyGone},
		}
		sink := startFollower(t, s)
		<-sink.calls
		convey.So(<-sink.calls, convey.ShouldResemble, sinkCall{replaced: true, names: []string{"b"}})
	})
	convey.Convey("A Follower lists again when a watch is answered in another history, and drops what the watch returned", t, func() {
		s := &scriptedStore{
			lists:   []response{{objects: objectNamed("a"), version: 5, history: 1}, {objects: objectNamed("b"), version: 9, history: 2}},
			watches: []response{{objects: objectNamed("x"), version: 8, history: 2}, {objects: objectNamed("c"), version: 10, history: 2}},
		}
		sink := startFollower(t, s)
		<-sink.calls
		second := <-sink.calls
		convey.So(second.replaced, convey.ShouldBeTrue)
		convey.So(second.restored, convey.ShouldBeTrue)
		convey.So(second.settling, convey.ShouldBeTrue)
		convey.So(second.names, convey.ShouldResemble, []string{"b"})
		convey.So((<-sink.calls).names, convey.ShouldResemble, []string{"c"})
	})
	convey.Convey("A history that is not stated counts as the same", t, func() {
		s := &scriptedStore{
			lists:   []response{{objects: objectNamed("a"), version: 5, history: 1}, {objects: objectNamed("d"), version: 9, history: 2}},
			watches: []response{{objects: objectNamed("b"), version: 7}, {objects: objectNamed("c"), version: 8, history: 1}, {version: 8}, {version: 9, history: 2}},
		}
		sink := startFollower(t, s)
		<-sink.calls
		convey.So((<-sink.calls).names, convey.ShouldResemble, []string{"b"})
		convey.So((<-sink.calls).names, convey.ShouldResemble, []string{"c"})
		convey.So((<-sink.calls).names, convey.ShouldResemble, []string{"d"})
	})
	convey.Convey("A change whose event was lost is read by a new list when the watch has failed and the history is gone", t, func() {
		connectionLost := response{delay: 300 * time.Millisecond, err: &objects.Error{Op: "test", Kind: objects.Unavailable, Err: errors.New("cut")}}
		s := &scriptedStore{
			lists:   []response{{objects: objectNamed("old"), version: 5}, {objects: objectNamed("new"), version: 8}},
			watches: []response{connectionLost, historyGone, {objects: objectNamed("newer"), version: 9}},
		}
		sink := startFollower(t, s)
		convey.So((<-sink.calls).names, convey.ShouldResemble, []string{"old"})
		started := time.Now()
		second := <-sink.calls
		convey.So(second.replaced, convey.ShouldBeTrue)
		convey.So(second.names, convey.ShouldResemble, []string{"new"})
		convey.So(time.Since(started), convey.ShouldBeLessThan, 300*time.Millisecond+2*meanRetryDelay)
		convey.So((<-sink.calls).names, convey.ShouldResemble, []string{"newer"})
		s.mu.Lock()
		defer s.mu.Unlock()
		convey.So(s.watchedFrom[:3], convey.ShouldResemble, []objects.Version{5, 5, 8})
	})
	convey.Convey("After an outage of the store, the settle period is reported", t, func() {
		s := &scriptedStore{
			lists:   []response{unavailable, {objects: objectNamed("a"), version: 5}},
			watches: []response{unavailable, unavailable, {objects: objectNamed("b"), version: 6}},
		}
		sink := startFollower(t, s)
		first := <-sink.calls
		convey.So(first.replaced, convey.ShouldBeTrue)
		convey.So(first.settling, convey.ShouldBeTrue)
		convey.So(<-sink.calls, convey.ShouldResemble, sinkCall{names: []string{"b"}, settling: true})
	})
	convey.Convey("The settle period is also reported after a gap between responses that is longer than maxResponseGap", t, func() {
		s := &scriptedStore{
			lists:   []response{{objects: objectNamed("a"), version: 5}},
			watches: []response{{objects: objectNamed("b"), version: 6, delay: maxResponseGap + 100*time.Millisecond}},
		}
		sink := startFollower(t, s)
		convey.So((<-sink.calls).settling, convey.ShouldBeFalse)
		convey.So((<-sink.calls).settling, convey.ShouldBeTrue)
	})
}

func TestAge(t *testing.T) {
	convey.Convey("The age grows until the store responds", t, func() {
		s := &scriptedStore{lists: []response{{objects: objectNamed("a"), version: 1, delay: 300 * time.Millisecond}}}
		sink := &recordingSink{calls: make(chan sinkCall, 4)}
		f := New(s, "kind", sink, Intervals{WatchTimeout: time.Second}, event.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go f.Run(ctx)
		time.Sleep(200 * time.Millisecond)
		convey.So(f.Age(time.Now()), convey.ShouldBeGreaterThanOrEqualTo, 200*time.Millisecond)
		<-sink.calls
		respondedAt := time.Now()
		convey.So(f.Age(respondedAt), convey.ShouldBeLessThan, 100*time.Millisecond)
		convey.So(f.Age(respondedAt.Add(time.Minute)), convey.ShouldBeGreaterThanOrEqualTo, time.Minute)
	})
}

// datedSink records the times of what it receives.
type datedSink struct {
	recordingSink
	times []time.Time
}

func (s *datedSink) AsOf(at time.Time) { s.times = append(s.times, at) }

// TestDatedSink guards against a change that counts as just made although it was made in
// the pause before the watch.
func TestDatedSink(t *testing.T) {
	convey.Convey("A change is known to be new only if the store kept the watch for it", t, func() {
		change := []objects.Object{{Name: "a", Version: 2}}
		store := &scriptedStore{
			lists:   []response{{version: 1, delay: 100 * time.Millisecond}},
			watches: []response{{version: 1}, {objects: change, version: 2}, {objects: change, version: 3, delay: responseTimeout/2 + 50*time.Millisecond}},
		}
		sink := &datedSink{recordingSink: recordingSink{calls: make(chan sinkCall, 4)}}
		f := New(store, "kind", sink, Intervals{WatchTimeout: time.Second}, event.Discard())
		start := time.Now()
		convey.So(f.poll(t.Context()), convey.ShouldBeNil)
		convey.So(sink.times, convey.ShouldHaveLength, 1)
		convey.So(sink.times[0], convey.ShouldHappenWithin, 50*time.Millisecond, start) // the list may be as old as its call
		for range 3 {
			convey.So(f.poll(t.Context()), convey.ShouldBeNil)
		}
		convey.So(sink.times, convey.ShouldHaveLength, 6)
		unchanged, before, after, kept := sink.times[1], sink.times[2], sink.times[3], sink.times[4]
		convey.So(unchanged, convey.ShouldHappenAfter, start.Add(100*time.Millisecond))
		convey.So(before, convey.ShouldEqual, unchanged)
		convey.So(after, convey.ShouldHappenOnOrAfter, before)
		convey.So(kept, convey.ShouldHappenAfter, after.Add(responseTimeout/2))
	})
}
