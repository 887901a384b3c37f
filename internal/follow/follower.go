package follow

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/objects"
)

// Times of a follower.
const (
	// answerTimeout is how long an answer may take beyond the wait.
	answerTimeout = time.Second
	// retryPause is the pause after a failed call, on average. Each call has a
	// price, and the store's return must be noticed in a fraction of the second
	// for which it is away at least.
	retryPause = 300 * time.Millisecond
	// settleTime is how long after the store's return entries that lapsed while
	// it was away may still come back.
	settleTime = 2 * time.Second
	// silenceBefore is the time without an answer after which the store may have
	// been away unnoticed.
	silenceBefore = 1500 * time.Millisecond
)

// Source is the store.
type Source interface {
	List(ctx context.Context, kind objects.ObjectKind) ([]objects.Object, objects.Version, error)
	Watch(
		ctx context.Context, kind objects.ObjectKind, after objects.Version, wait time.Duration,
	) ([]objects.Object, objects.Version, error)
}

// Sink takes what a Follower reads. Its methods are called from one goroutine.
// Entries that are missing or removed may come back until the time settled, if
// that lies ahead.
type Sink interface {
	// Replace takes all objects.
	Replace(now time.Time, all []objects.Object, settled time.Time)
	// Apply takes changed objects in order.
	Apply(now time.Time, changed []objects.Object, settled time.Time)
}

// Follower follows one kind of objects.
type Follower struct {
	source Source
	kind   objects.ObjectKind
	sink   Sink
	wait   time.Duration
	pause  time.Duration
	log    event.Log

	version  objects.Version
	listed   bool
	answered time.Time                 // last answer of the store
	seen     atomic.Pointer[time.Time] // the same, or the start, for other goroutines
	returned time.Time                 // when the store last came back
	away     bool
}

// Times says how closely a kind is followed.
type Times struct {
	// Wait is how long the store may hold a watch. A store that loses a watch's
	// changes leaves it waiting, so the wait stays below the bound within which a
	// change must be known.
	Wait time.Duration
	// Pause between two watches: changes within it cost one call.
	Pause time.Duration
}

// New returns a follower of a kind.
func New(source Source, kind objects.ObjectKind, sink Sink, times Times, log event.Log) *Follower {
	f := &Follower{source: source, kind: kind, sink: sink, wait: times.Wait, pause: times.Pause, log: log}
	begun := time.Now()
	f.seen.Store(&begun)
	return f
}

// Age returns the time since the store last answered, or since the start if it
// never did: how old what the sink knows may be, beyond the time of a watch.
func (f *Follower) Age(now time.Time) time.Duration { return now.Sub(*f.seen.Load()) }

// Run follows until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := f.pause
		if err := f.step(ctx); err != nil {
			pause = f.failed(err)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, f.wait+answerTimeout)
	defer cancel()
	changed, version, err := f.source.Watch(ctx, f.kind, f.version, f.wait)
	if err != nil {
		return err
	}
	now := time.Now()
	settled := f.heard(now)
	f.version = version
	if len(changed) > 0 {
		f.sink.Apply(now, changed, settled)
	}
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.wait+answerTimeout)
	defer cancel()
	all, version, err := f.source.List(ctx, f.kind)
	if err != nil {
		return err
	}
	now := time.Now()
	settled := f.heard(now)
	f.version, f.listed = version, true
	f.sink.Replace(now, all, settled)
	return nil
}

// heard notes an answer and returns the time until which entries may come back.
func (f *Follower) heard(now time.Time) time.Time {
	if f.away {
		f.away = false
		f.returned = now
		f.log.At(event.StoreAvailable).Str("kind", string(f.kind)).Dur("away", now.Sub(f.answered)).Send()
	} else if !f.answered.IsZero() && now.Sub(f.answered) > silenceBefore {
		f.returned = now
	}
	f.answered = now
	f.seen.Store(&now)
	if f.returned.IsZero() {
		return time.Time{}
	}
	return f.returned.Add(settleTime)
}

// failed notes a failed call and returns the time until the next one.
func (f *Follower) failed(err error) time.Duration {
	if objects.IsKind(err, objects.HistoryGone) {
		f.log.At(event.HistoryGone).Str("kind", string(f.kind)).Uint64("version", uint64(f.version)).Send()
		f.listed = false
		return 0
	}
	if !f.away {
		f.away = true
		f.log.At(event.StoreUnavailable).Str("kind", string(f.kind)).Err(err).Send()
	}
	return time.Duration((0.5 + rand.Float64()) * float64(retryPause))
}
