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

// answer is what the scripted store says to one call.
type answer struct {
	objects []objects.Object
	version objects.Version
	after   time.Duration
	err     error
}

// script is a store that answers calls in order and then never again.
type script struct {
	mu      sync.Mutex
	lists   []answer
	watches []answer
	from    []objects.Version // of the watches
}

func (s *script) next(ctx context.Context, queue *[]answer) ([]objects.Object, objects.Version, error) {
	s.mu.Lock()
	if len(*queue) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	a := (*queue)[0]
	*queue = (*queue)[1:]
	s.mu.Unlock()
	time.Sleep(a.after)
	return a.objects, a.version, a.err
}

func (s *script) List(ctx context.Context, _ objects.ObjectKind) ([]objects.Object, objects.Version, error) {
	return s.next(ctx, &s.lists)
}

func (s *script) Watch(
	ctx context.Context, _ objects.ObjectKind, after objects.Version, _ time.Duration,
) ([]objects.Object, objects.Version, error) {
	s.mu.Lock()
	s.from = append(s.from, after)
	s.mu.Unlock()
	return s.next(ctx, &s.watches)
}

// told is one call of a sink.
type told struct {
	replaced bool
	names    []string
	settling bool
}

type recorder struct{ calls chan told }

func (r *recorder) tell(replaced bool, now time.Time, changed []objects.Object, settled time.Time) {
	t := told{replaced: replaced, settling: now.Before(settled)}
	for _, o := range changed {
		t.names = append(t.names, o.Name)
	}
	r.calls <- t
}

func (r *recorder) Replace(now time.Time, all []objects.Object, settled time.Time) {
	r.tell(true, now, all, settled)
}

func (r *recorder) Apply(now time.Time, changed []objects.Object, settled time.Time) {
	r.tell(false, now, changed, settled)
}

func object(name string) []objects.Object { return []objects.Object{{Name: name}} }

// following runs a follower on s until the test ends.
func following(t *testing.T, s *script) *recorder {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	r := &recorder{calls: make(chan told, 16)}
	go New(s, "things", r, Times{Wait: time.Second, Pause: time.Millisecond}, event.Discard()).Run(ctx)
	return r
}

func TestFollow(t *testing.T) {
	down := answer{err: &objects.Error{Op: "test", Kind: objects.Unavailable, Err: errors.New("down")}}
	gone := answer{err: &objects.Error{Op: "test", Kind: objects.HistoryGone}}
	convey.Convey("A follower lists once and then watches from where it is", t, func() {
		s := &script{
			lists:   []answer{{objects: object("a"), version: 5}},
			watches: []answer{{objects: object("b"), version: 7}, {version: 9}, {objects: object("c"), version: 12}},
		}
		r := following(t, s)
		convey.So(<-r.calls, convey.ShouldResemble, told{replaced: true, names: []string{"a"}})
		convey.So(<-r.calls, convey.ShouldResemble, told{names: []string{"b"}})
		convey.So(<-r.calls, convey.ShouldResemble, told{names: []string{"c"}})
		s.mu.Lock()
		defer s.mu.Unlock()
		convey.So(s.from[:3], convey.ShouldResemble, []objects.Version{5, 7, 9})
	})
	convey.Convey("When the history is gone it lists again", t, func() {
		s := &script{
			lists:   []answer{{objects: object("a"), version: 5}, {objects: object("b"), version: 50}},
			watches: []answer{gone},
		}
		r := following(t, s)
		<-r.calls
		convey.So(<-r.calls, convey.ShouldResemble, told{replaced: true, names: []string{"b"}})
	})
	convey.Convey("A change whose event the store loses is seen when the watch ends: the history is gone then", t, func() {
		cut := answer{after: 300 * time.Millisecond, err: &objects.Error{Op: "test", Kind: objects.Unavailable, Err: errors.New("cut")}}
		s := &script{
			lists:   []answer{{objects: object("old"), version: 5}, {objects: object("new"), version: 8}},
			watches: []answer{cut, gone, {objects: object("newer"), version: 9}},
		}
		r := following(t, s)
		convey.So((<-r.calls).names, convey.ShouldResemble, []string{"old"})
		begun := time.Now()
		second := <-r.calls
		convey.So(second.replaced, convey.ShouldBeTrue)
		convey.So(second.names, convey.ShouldResemble, []string{"new"})
		convey.So(time.Since(begun), convey.ShouldBeLessThan, 300*time.Millisecond+2*retryPause)
		convey.So((<-r.calls).names, convey.ShouldResemble, []string{"newer"})
		s.mu.Lock()
		defer s.mu.Unlock()
		convey.So(s.from[:3], convey.ShouldResemble, []objects.Version{5, 5, 8})
	})
	convey.Convey("After the store was away, entries may come back for a while", t, func() {
		s := &script{
			lists:   []answer{down, {objects: object("a"), version: 5}},
			watches: []answer{down, down, {objects: object("b"), version: 6}},
		}
		r := following(t, s)
		first := <-r.calls
		convey.So(first.replaced, convey.ShouldBeTrue)
		convey.So(first.settling, convey.ShouldBeTrue)
		convey.So(<-r.calls, convey.ShouldResemble, told{names: []string{"b"}, settling: true})
	})
	convey.Convey("Also when it was silent for longer than a quiet store is", t, func() {
		s := &script{
			lists:   []answer{{objects: object("a"), version: 5}},
			watches: []answer{{objects: object("b"), version: 6, after: silenceBefore + 100*time.Millisecond}},
		}
		r := following(t, s)
		convey.So((<-r.calls).settling, convey.ShouldBeFalse)
		convey.So((<-r.calls).settling, convey.ShouldBeTrue)
	})
}

func TestAge(t *testing.T) {
	convey.Convey("The age grows until the store answers", t, func() {
		s := &script{lists: []answer{{objects: object("a"), version: 1, after: 300 * time.Millisecond}}}
		sink := &recorder{calls: make(chan told, 4)}
		f := New(s, "kind", sink, Times{Wait: time.Second}, event.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go f.Run(ctx)
		time.Sleep(200 * time.Millisecond)
		convey.So(f.Age(time.Now()), convey.ShouldBeGreaterThanOrEqualTo, 200*time.Millisecond)
		<-sink.calls
		answered := time.Now()
		convey.So(f.Age(answered), convey.ShouldBeLessThan, 100*time.Millisecond)
		convey.So(f.Age(answered.Add(time.Minute)), convey.ShouldBeGreaterThanOrEqualTo, time.Minute)
	})
}
