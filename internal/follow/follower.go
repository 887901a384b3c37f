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
	// listTimeout limits a list with all its pages, each of which the source limits. It is
	// the longest time for which the users' store keeps a watch waiting, after which the
	// history since the first page may be gone.
	listTimeout = 30 * time.Second
	// meanRetryDelay is the mean of the randomized delay after a failed call. It
	// limits the number of calls during an outage. Outages last at least one
	// second, and the delay prolongs them by only a fraction of that.
	meanRetryDelay = 300 * time.Millisecond
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

// Follower passes the objects of one kind and their changes to a Sink.
type Follower struct {
	source       Source
	kind         objects.ObjectKind
	sink         Sink
	watchTimeout time.Duration
	watchPause   time.Duration
	log          event.Log

	position     Position
	listed       bool
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

// Run reads objects and passes them to the sink until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := f.watchPause
		if err := f.poll(ctx); err != nil {
			pause = f.recordFailure(err)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// poll lists or watches once and passes the result to the sink.
func (f *Follower) poll(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	watchCtx, cancel := context.WithTimeout(ctx, f.watchTimeout+responseTimeout)
	changed, position, err := f.source.Watch(watchCtx, f.kind, f.position, f.watchTimeout)
	cancel()
	if err != nil {
		return err
	}
	if !position.Follows(f.position) {
		return f.list(ctx) // changes may have been written at versions below that of the watch
	}
	if position.History == 0 {
		position.History = f.position.History // it may be stated again later
	}
	now := time.Now()
	settled := f.recordResponse(now, false)
	f.position = position
	if len(changed) > 0 {
		f.sink.Apply(now, changed, settled)
	}
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	all, position, err := f.source.List(ctx, f.kind)
	if err != nil {
		return err
	}
	now := time.Now()
	restored := f.recordListed(position)
	settled := f.recordResponse(now, restored)
	f.sink.Replace(now, all, settled, restored)
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
	f.lastResponse = now
	f.ageStart.Store(&now)
	if f.recoveredAt.IsZero() {
		return time.Time{}
	}
	return f.recoveredAt.Add(settlePeriod)
}

// recordFailure records a failed call and returns the delay before the next
// one. After the loss of the history, the next call lists all objects.
func (f *Follower) recordFailure(err error) time.Duration {
	if objects.IsKind(err, objects.HistoryGone) {
		f.log.Event(event.HistoryGone).Str("kind", string(f.kind)).Uint64("version", uint64(f.position.Version)).Send()
		f.listed = false
		return 0
	}
	if !f.unavailable {
		f.unavailable = true
		f.log.Event(event.StoreUnavailable).Str("kind", string(f.kind)).Err(err).Send()
	}
	return time.Duration((0.5 + rand.Float64()) * float64(meanRetryDelay))
}
