package follow

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/objects"
)

// Intervals of a Follower's calls and of outages of the store.
const (
	// responseTimeout limits the time of a call beyond the time for which the
	// store may hold a watch.
	responseTimeout = time.Second
	// slowResponseTimeout replaces it after a failed or slow call of a watch that an
	// Observer needs, so that a slow store is not taken for one that is away.
	slowResponseTimeout = 2 * time.Second
	// listTimeout limits a list with all its pages, each of which the source limits. It is
	// the longest time for which the users' store keeps a watch waiting, after which the
	// history since the first page may be gone.
	listTimeout = 30 * time.Second
	// meanRetryDelay is the mean of the randomized delay after a failed call. It
	// limits the number of calls during an outage. Outages last at least one
	// second, and the delay prolongs them by only a fraction of that.
	meanRetryDelay = 300 * time.Millisecond
	// pollWait is the time for which the store may hold a watch that an Observer needs. A
	// longer one adds to the age of what the response shows and saves no calls; zero may
	// mean the store's default.
	pollWait = 50 * time.Millisecond
	// settlePeriod is the time after an outage of the store within which objects
	// that expired during the outage may be written again.
	settlePeriod = 2 * time.Second
	// maxResponseGap is the time between two responses above which an undetected
	// outage of the store is assumed.
	maxResponseGap = 1500 * time.Millisecond
)

// Source is the store from which a Follower reads. A list is of a single history; a source
// that reads it in several calls limits the time of each of them. The changes of a watch
// are those after a version in the history of the returned position, which need not be
// that of after.
type Source interface {
	List(ctx context.Context, kind objects.ObjectKind) ([]objects.Object, Position, error)
	Watch(
		ctx context.Context, kind objects.ObjectKind, after Position, wait time.Duration,
	) ([]objects.Object, Position, error)
}

// Sink receives the objects that a Follower reads. Its methods are called from
// one goroutine. If the time settled is in the future, the store has been
// unavailable, and objects that are missing or removed may be written again
// until then.
type Sink interface {
	// Replace receives all objects of the kind. If restored is set, the store has returned
	// to an earlier state since the last list, so that they may be older than those
	// received before.
	Replace(now time.Time, all []objects.Object, settled time.Time, restored bool)
	// Apply receives changed objects in the order of their changes.
	Apply(now time.Time, changed []objects.Object, settled time.Time)
}

// DatedSink is a Sink that uses the time of what it has received.
type DatedSink interface {
	Sink
	// AsOf is called before and after the objects of a response are passed to the Sink. The
	// store had no other objects at that time than those that the Sink has received by
	// then. The latency of the response is neglected.
	AsOf(at time.Time)
}

// Observer is told of all valid responses of the store.
type Observer interface {
	// Responded is called after the objects of a response were passed to the Sink, from
	// its goroutine.
	Responded(r Response)
	// Due returns the time until the next call has to begin, given the time since the last
	// one began, and false if the Follower's own intervals apply.
	Due(sinceCall time.Duration) (time.Duration, bool)
	// Changed returns a channel that signals when Due becomes less.
	Changed() <-chan struct{}
}

// Response is a valid response of the store.
type Response struct {
	SentAt     time.Duration // when the call was made, on the clock passed to Observe
	List       bool          // a list, otherwise a watch after the position of the response before
	History    uint64        // as stated in the response, zero if it is not
	Incomplete bool          // a change may be missing
}

// Follower passes the objects of one kind and their changes to a Sink.
type Follower struct {
	source       Source
	kind         objects.ObjectKind
	sink         Sink
	watchTimeout time.Duration
	watchPause   time.Duration
	log          event.Log

	observer Observer // nil for none
	clock    func() time.Duration
	failures int  // calls without a valid response since the last one with
	slow     bool // the last call failed or took long

	position     Position
	listed       bool
	currentAt    time.Time                 // time at which the sink had all objects of the store
	lastResponse time.Time                 // time of the store's last response
	ageStart     atomic.Pointer[time.Time] // lastResponse, or the start if that is zero; read by other goroutines
	recoveredAt  time.Time                 // end of the store's last known or assumed outage, zero if there was none
	unavailable  bool
}

// Intervals contains the intervals of a Follower's watches.
type Intervals struct {
	// WatchTimeout is the time for which the store may hold a watch open. A
	// store that loses the changes of a watch leaves it open, so WatchTimeout
	// must be below the time within which a change must be known.
	WatchTimeout time.Duration
	// WatchPause is the pause between two watches. All changes during it cost one
	// call.
	WatchPause time.Duration
}

// New returns a Follower of the objects of a kind.
func New(source Source, kind objects.ObjectKind, sink Sink, intervals Intervals, log event.Log) *Follower {
	f := &Follower{source: source, kind: kind, sink: sink, watchTimeout: intervals.WatchTimeout, watchPause: intervals.WatchPause, log: log}
	started := time.Now()
	f.ageStart.Store(&started)
	return f
}

// Age returns the time since the last response of the store, or since the start
// if there was none. The sink's state may be older than that by the duration of
// one watch. Age is safe for concurrent use.
func (f *Follower) Age(now time.Time) time.Duration { return now.Sub(*f.ageStart.Load()) }

// Observe has an Observer told of the responses. It is called before Run.
func (f *Follower) Observe(o Observer, clock func() time.Duration) { f.observer, f.clock = o, clock }

// Run reads objects and passes them to the sink until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		err := f.poll(ctx)
		pause := f.watchPause
		switch due := f.observed(); {
		case err != nil:
			pause = f.recordFailure(err)
			if due && f.failures == 1 {
				pause = 0 // a single lost response costs its timeout only
			}
		case due:
			f.awaitDue(ctx, started)
			continue
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// awaitDue waits until the Observer needs a call. The last one began at started.
func (f *Follower) awaitDue(ctx context.Context, started time.Time) {
	for {
		due, ok := f.observer.Due(time.Since(started))
		if !ok || due <= 0 {
			return
		}
		select {
		case <-time.After(due):
		case <-f.observer.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// poll lists or watches once and passes the result to the sink.
func (f *Follower) poll(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	wait, timeout := f.watchTimeout, responseTimeout
	if f.observed() {
		wait = min(wait, pollWait)
		if f.slow {
			timeout = slowResponseTimeout
		}
	}
	sentAt, started := f.now(), time.Now()
	watchCtx, cancel := context.WithTimeout(ctx, wait+timeout)
	changed, position, err := f.source.Watch(watchCtx, f.kind, f.position, wait)
	cancel()
	f.slow = err != nil || time.Since(started) > wait+responseTimeout/2
	if err != nil {
		return err
	}
	response := Response{SentAt: sentAt, History: position.History, Incomplete: position.Incomplete}
	if !position.Follows(f.position) {
		return f.list(ctx) // changes may have been written at versions below that of the watch
	}
	if position.History != f.position.History {
		response.Incomplete = true // one of the two is not stated
	}
	if position.History == 0 {
		position.History = f.position.History // it may be stated again later
	}
	now := time.Now()
	respondedAt := now
	if f.slow {
		respondedAt = started // the store or this process stood still
	}
	if len(changed) == 0 || now.Sub(started) > responseTimeout/2 { // the store kept the watch until the change
		f.currentAt = respondedAt
	}
	f.dateSink()
	settled := f.recordResponse(now, false)
	f.position = position
	if len(changed) > 0 {
		f.sink.Apply(now, changed, settled)
		f.currentAt = respondedAt
		f.dateSink()
	}
	f.notifyObserver(response)
	if response.Incomplete && f.observer != nil {
		f.listed = false // the missing change may never be in another watch
	}
	return nil
}

// dateSink tells a DatedSink of the time of what it has received.
func (f *Follower) dateSink() {
	if s, ok := f.sink.(DatedSink); ok {
		s.AsOf(f.currentAt)
	}
}

// observed reports whether the Observer decides when calls begin.
func (f *Follower) observed() bool {
	if f.observer == nil {
		return false
	}
	_, ok := f.observer.Due(0)
	return ok
}

// now returns the time on the Observer's clock.
func (f *Follower) now() time.Duration {
	if f.observer == nil {
		return 0
	}
	return f.clock()
}

func (f *Follower) notifyObserver(r Response) {
	if f.observer != nil {
		f.observer.Responded(r)
	}
}

func (f *Follower) list(ctx context.Context) error {
	sentAt, started := f.now(), time.Now()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	all, position, err := f.source.List(ctx, f.kind)
	if err != nil {
		return err
	}
	now := time.Now()
	f.currentAt = started
	before := f.position
	outdated := position.History == before.History && position.Version < before.Version
	restored := f.recordListed(position)
	settled := f.recordResponse(now, restored)
	f.sink.Replace(now, all, settled, restored)
	f.dateSink()
	if outdated && f.observed() { // of a copy that lacks changes which this process has seen
		if before.History != 0 { // else the store may have been restored
			f.position = before
		}
		f.listed = false
		return nil
	}
	f.notifyObserver(Response{SentAt: sentAt, List: true, History: position.History, Incomplete: position.Incomplete})
	return nil
}

// recordListed records the position of a list, and reports whether the store has returned
// to an earlier state.
func (f *Follower) recordListed(p Position) (restored bool) {
	restored = !p.Follows(f.position)
	if restored {
		f.log.Event(event.StoreRestored).Str("kind", string(f.kind)).Uint64("history", p.History).
			Uint64("version", uint64(p.Version)).Uint64("version_before", uint64(f.position.Version)).Send()
	}
	f.position, f.listed = p, true
	return restored
}

// recordResponse records a response of the store. It returns the time until
// which missing objects may be written again, zero if there was no outage. A store that
// was restored has been away, however short that was, and lacks what was written last.
func (f *Follower) recordResponse(now time.Time, restored bool) time.Time {
	if f.unavailable {
		f.unavailable = false
		f.recoveredAt = now
		f.log.Event(event.StoreAvailable).Str("kind", string(f.kind)).Dur("away", now.Sub(f.lastResponse)).Send()
	} else if restored || !f.lastResponse.IsZero() && now.Sub(f.lastResponse) > maxResponseGap {
		f.recoveredAt = now
	}
	f.failures = 0
	f.lastResponse = now
	f.ageStart.Store(&now)
	if f.recoveredAt.IsZero() {
		return time.Time{}
	}
	return f.recoveredAt.Add(settlePeriod)
}

// recordFailure records a failed call and returns the delay before the next
// one. After the loss of the history, the next call lists all objects, at once unless a
// list failed so.
func (f *Follower) recordFailure(err error) time.Duration {
	if f.listed && objects.IsKind(err, objects.HistoryGone) {
		f.log.Event(event.HistoryGone).Str("kind", string(f.kind)).Uint64("version", uint64(f.position.Version)).Send()
		f.listed = false
		return 0
	}
	f.failures++
	if !f.unavailable {
		f.unavailable = true
		f.log.Event(event.StoreUnavailable).Str("kind", string(f.kind)).Err(err).Send()
	}
	return time.Duration((0.5 + rand.Float64()) * float64(meanRetryDelay))
}
