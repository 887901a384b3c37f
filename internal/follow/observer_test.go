package follow

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/objects"
)

// Bounds of the users' deployments, and the period that they need.
const (
	revokeWithin = 5 * time.Second
	testPeriod   = 2 * time.Second
	roundTrip    = 60 * time.Millisecond // between regions
)

// delayedStore answers each call after the delay that respond returns for its number,
// which begins at zero. A negative delay loses the response.
type delayedStore struct {
	respond func(call int) (time.Duration, error)
	calls   int
	holds   []time.Duration // for which watches were to be held
}

func (s *delayedStore) answer(ctx context.Context, held time.Duration) ([]objects.Object, Position, error) {
	delay, err := s.respond(s.calls)
	s.calls++
	if delay < 0 {
		delay = time.Hour
	}
	select {
	case <-time.After(held + delay):
		return nil, Position{History: 1, Version: 7}, err
	case <-ctx.Done():
		return nil, Position{}, ctx.Err()
	}
}

func (s *delayedStore) List(ctx context.Context, _ objects.ObjectKind) ([]objects.Object, Position, error) {
	return s.answer(ctx, 0)
}

func (s *delayedStore) Watch(ctx context.Context, _ objects.ObjectKind, _ Position, wait time.Duration) ([]objects.Object, Position, error) {
	s.holds = append(s.holds, wait)
	return s.answer(ctx, wait)
}

// ageObserver records the greatest age that a confirmation by any response reaches.
type ageObserver struct {
	start     time.Time
	period    time.Duration
	confirmed time.Duration // SentAt of the last response
	greatest  time.Duration
	responses []Response
	changed   chan struct{}
}

func (o *ageObserver) now() time.Duration { return time.Since(o.start) }

func (o *ageObserver) Responded(r Response) {
	if len(o.responses) > 0 {
		o.greatest = max(o.greatest, o.now()-o.confirmed)
	}
	o.responses, o.confirmed = append(o.responses, r), r.SentAt
}

func (o *ageObserver) Due(sinceCall time.Duration) (time.Duration, bool) {
	return o.period - sinceCall, o.period > 0
}

func (o *ageObserver) Changed() <-chan struct{} { return o.changed }

// observe follows a store for a time on the test's clock.
func observe(s Source, period, during time.Duration) *ageObserver {
	o := &ageObserver{start: time.Now(), period: period}
	f := New(s, "kind", &recordingSink{calls: make(chan sinkCall, 1000)}, Intervals{WatchTimeout: 2400 * time.Millisecond, WatchPause: 400 * time.Millisecond}, event.Discard())
	f.Observe(o, o.now)
	ctx, cancel := context.WithTimeout(context.Background(), during)
	defer cancel()
	f.Run(ctx)
	o.greatest = max(o.greatest, o.now()-o.confirmed)
	return o
}

// TestPeriod guards against confirmations that grow too old although the store is well, or
// after a single fault, and against more calls than they need.
func TestPeriod(t *testing.T) {
	well := func(int) (time.Duration, error) { return roundTrip, nil }
	failed := &objects.Error{Op: "test", Kind: objects.Unavailable, Err: errors.New("down")}
	fault := func(delay time.Duration, err error, calls ...int) func(int) (time.Duration, error) {
		return func(call int) (time.Duration, error) {
			for _, c := range calls {
				if call%10 == c {
					return delay, err
				}
			}
			return roundTrip, nil
		}
	}
	always := func(delay time.Duration) func(int) (time.Duration, error) {
		return func(int) (time.Duration, error) { return delay, nil }
	}
	tests := []struct {
		name     string
		respond  func(int) (time.Duration, error)
		greatest time.Duration
		calls    int // at most, in a minute
	}{
		{"steady state", well, 2200 * time.Millisecond, 31},
		{"one response in ten lost", fault(-1, nil, 5), 3300 * time.Millisecond, 34},
		{"one call in ten failed", fault(roundTrip, failed, 5), 2400 * time.Millisecond, 34},
		{"one response in ten slow by 0.9 s", fault(900*time.Millisecond, nil, 5), 3100 * time.Millisecond, 31},
		{"one response in ten slow by 3 s", fault(3*time.Second, nil, 5), 3300 * time.Millisecond, 34},
		{"two successive responses in ten lost", fault(-1, nil, 5, 6), revokeWithin + time.Second, 37},
		{"all responses slow by 1.5 s", always(1500 * time.Millisecond), revokeWithin, 34},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			s := &delayedStore{respond: test.respond}
			o := observe(s, testPeriod, time.Minute)
			t.Logf("%s: greatest age %s, %d calls a minute", test.name, o.greatest, s.calls)
			if o.greatest > test.greatest || s.calls > test.calls {
				t.Errorf("%s: greatest age %s, %d calls", test.name, o.greatest, s.calls)
			}
		})
	}
}

// TestNoPeriod guards against other calls of the store where the observer needs none.
func TestNoPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &delayedStore{respond: func(int) (time.Duration, error) { return 0, nil }}
		observe(s, 0, 28*time.Second)
		if s.calls != 11 || s.holds[3] != 2400*time.Millisecond {
			t.Errorf("%d calls, held for %s", s.calls, s.holds[3])
		}
	})
}

// TestOutageRetries guards against a store that gets calls without a pause while it is
// away.
func TestOutageRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &delayedStore{respond: func(call int) (time.Duration, error) {
			if call == 0 {
				return 0, nil
			}
			return 0, &objects.Error{Op: "test", Kind: objects.Unavailable, Err: errors.New("down")}
		}}
		if observe(s, testPeriod, time.Minute); s.calls > 200 {
			t.Errorf("%d calls", s.calls)
		}
	})
}

// TestHistoryGoneRetries guards against a store that gets calls without a pause while it
// answers lists that the history is gone.
func TestHistoryGoneRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &delayedStore{respond: func(int) (time.Duration, error) {
			return time.Millisecond, &objects.Error{Op: "test", Kind: objects.HistoryGone}
		}}
		if observe(s, testPeriod, time.Minute); s.calls > 300 {
			t.Errorf("%d calls in a minute", s.calls)
		}
	})
}

// TestResponses guards against responses that are reported as of their arrival, and
// against failed, missing and outdated ones that are reported at all.
func TestResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gone := &objects.Error{Op: "test", Kind: objects.HistoryGone}
		s := &scriptedStore{
			lists: []response{
				{version: 5, history: 1, delay: 100 * time.Millisecond},
				{version: 9, history: 2, delay: 10 * time.Millisecond},
				{version: 8, history: 2}, // outdated
				{version: 8, history: 2}, // still
				{version: 12, history: 2},
				{version: 13, history: 2},
			},
			watches: []response{
				{version: 6, history: 1, delay: 200 * time.Millisecond},
				{version: 7, history: 2},                    // a list follows
				{err: gone},                                 // another one, which is outdated
				{version: 13, history: 2, incomplete: true}, // another one
			},
		}
		o := observe(s, testPeriod, 30*time.Second)
		want := []Response{
			{SentAt: 0, List: true, History: 1},
			{SentAt: 2 * time.Second, History: 1},
			{SentAt: 4 * time.Second, List: true, History: 2},
			{SentAt: 10 * time.Second, List: true, History: 2},
			{SentAt: 12 * time.Second, History: 2, Incomplete: true},
			{SentAt: 14 * time.Second, List: true, History: 2},
		}
		if !slices.Equal(o.responses, want) {
			t.Errorf("%+v", o.responses)
		}
	})
}

// TestHistoryNotStated guards against a single response without a history, after which
// changes may be missed, or nothing is confirmed any more.
func TestHistoryNotStated(t *testing.T) {
	for _, unstated := range []string{"watch", "list"} {
		synctest.Test(t, func(t *testing.T) {
			s := &scriptedStore{
				lists:   []response{{version: 5, history: 1}, {version: 6, history: 1}},
				watches: []response{{version: 6, history: 1}, {version: 7, history: 1}},
			}
			if unstated == "watch" {
				s.watches[0].history = 0
			} else {
				s.lists[0].history = 0
			}
			want := []Response{
				{SentAt: 0, List: true, History: s.lists[0].history},
				{SentAt: 2 * time.Second, History: s.watches[0].history, Incomplete: true},
				{SentAt: 4 * time.Second, List: true, History: 1},
				{SentAt: 6 * time.Second, History: 1},
			}
			if o := observe(s, testPeriod, 10*time.Second); !slices.Equal(o.responses, want) {
				t.Errorf("%s: %+v", unstated, o.responses)
			}
		})
	}
}
