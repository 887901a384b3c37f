package enginecontroller

import (
	"context"
	"sync"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/follow"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/confirmation"
)

// unaskedTime is the time without a question of an entryd after which the configuration is
// followed no longer. Entryds ask twice a second.
const unaskedTime = 10 * time.Second

// Configuration is the configuration in the store, which a targetd follows only to tell
// entryds how long ago it was the newest. A Period of zero means that it does not.
type Configuration struct {
	Store  follow.Source
	Kind   objects.ObjectKind
	Name   string
	Period time.Duration        // between two calls of the store
	Clock  func() time.Duration // runs while the VM is suspended
}

// configurationWatch answers the questions of entryds, and follows the configuration while
// there are any. It is safe for concurrent use.
type configurationWatch struct {
	Configuration
	log event.Log

	mu      sync.Mutex
	askedAt time.Duration
	run     *watchRun // nil while the configuration is not followed
}

// watchRun is what one Follower has found.
type watchRun struct {
	watch   *configurationWatch
	cancel  context.CancelFunc
	shown   confirmation.Response // by the objects since the last call of Responded; used by the Follower
	tracker confirmation.Tracker  // guarded by the watch's mu
}

// answer answers a question of an entryd. ctx ends the following at the latest.
func (w *configurationWatch) answer(ctx context.Context, m peer.ConfirmationRequest) peer.ConfirmationAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock()
	w.askedAt = now
	if w.run == nil {
		w.start(ctx)
	}
	a, ok := w.run.tracker.Answer(now)
	if !ok {
		return peer.ConfirmationAnswer{ID: m.ID}
	}
	return peer.ConfirmationAnswer{ID: m.ID, History: a.History, Version: a.Version, Age: a.Age}
}

// start begins to follow the configuration. The caller holds mu.
func (w *configurationWatch) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	r := &watchRun{watch: w, cancel: cancel}
	w.run = r
	f := follow.New(w.Store, w.Kind, r, follow.Intervals{WatchTimeout: w.Period, WatchPause: w.Period}, w.log)
	f.Observe(r, w.Clock)
	go f.Run(ctx)
	go r.stopUnasked(ctx)
}

// stopUnasked ends the run when no entryd has asked for a while.
func (r *watchRun) stopUnasked(ctx context.Context) {
	for {
		select {
		case <-time.After(unaskedTime):
		case <-ctx.Done():
			return
		}
		if r.stopIfUnasked() {
			return
		}
	}
}

func (r *watchRun) stopIfUnasked() bool {
	w := r.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.Clock()-w.askedAt < unaskedTime {
		return false
	}
	r.cancel()
	w.run = nil
	return true
}

// Replace implements follow.Sink.
func (r *watchRun) Replace(now time.Time, all []objects.Object, settled time.Time, _ bool) {
	r.shown = confirmation.Response{Shown: confirmation.Other} // unless the configuration is among them
	r.Apply(now, all, settled)
}

// Apply implements follow.Sink.
func (r *watchRun) Apply(_ time.Time, changed []objects.Object, _ time.Time) {
	for _, o := range changed {
		if o.Name != r.watch.Name {
			continue
		}
		r.shown = confirmation.Response{Shown: confirmation.InForce, Version: uint64(o.Version)}
		if o.Deleted {
			r.shown.Shown = confirmation.Other
		}
	}
}

// Responded implements follow.Observer.
func (r *watchRun) Responded(m follow.Response) {
	shown := r.shown
	r.shown = confirmation.Response{}
	if m.Incomplete && !m.List {
		shown.Shown = confirmation.Other
	}
	shown.SentAt, shown.List, shown.History = m.SentAt, m.List, m.History
	r.watch.mu.Lock()
	defer r.watch.mu.Unlock()
	r.tracker.Observe(shown)
}

// Due implements follow.Observer.
func (r *watchRun) Due(sinceCall time.Duration) (time.Duration, bool) {
	return r.watch.Period - sinceCall, true
}

// Changed implements follow.Observer.
func (*watchRun) Changed() <-chan struct{} { return nil }
