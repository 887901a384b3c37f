package agent

import (
	"context"
	"os"
	"time"

	"github.com/borageusher/borageusher/internal/daemon"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/httpserver"
	"github.com/borageusher/borageusher/internal/registration"
	"github.com/borageusher/borageusher/internal/settings"
	"github.com/borageusher/borageusher/pkg/target"
)

// leavePause is the time between two attempts to write that the target leaves.
const leavePause = time.Second

// registered is the registration of this process.
type registered struct {
	store registration.Store
	rec   registration.Record
	log   event.Log
	quit  chan struct{} // closed to end leaveWith
	ended chan struct{} // closed when leaveWith has ended
}

func newRegistered(store registration.Store, rec registration.Record, log event.Log) *registered {
	return &registered{
		store: store,
		rec:   rec,
		log:   log,
		quit:  make(chan struct{}),
		ended: make(chan struct{}),
	}
}

// leaveWith writes that the target leaves once a drains, however a learnt of
// it, and tries until the object API has taken it.
func (r *registered) leaveWith(ctx context.Context, a *Agent) {
	defer close(r.ended)
	select {
	case <-a.Draining():
	case <-r.quit:
		return
	}
	for !r.set(ctx, target.Leaving) {
		select {
		case <-time.After(leavePause):
		case <-r.quit:
			return
		}
	}
}

// gone ends leaveWith and writes that the target is gone, if the object API
// takes it at once.
func (r *registered) gone(ctx context.Context) {
	close(r.quit)
	<-r.ended
	r.set(ctx, target.Gone)
}

// set writes the state and reports whether there is nothing left to write.
func (r *registered) set(ctx context.Context, state target.State) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next, err := registration.SetState(ctx, r.store, r.rec, state)
	r.rec = next
	if err == nil {
		return true
	}
	r.log.At(event.StoreUnavailable).Str("purpose", "registration").Err(err).Send()
	return registration.IsReplaced(err)
}

// stop drains the target: it takes nothing new, queued requests move on, and
// running ones end. The error is of kind Cut when some did not.
func stop(s settings.Target, a *Agent, reg *registered, srv *httpserver.Server, signals <-chan os.Signal, log event.Log) error {
	log.At(event.Stopping).Int("requests", a.Remaining()).Send()
	a.Drain()
	ending := daemon.WaitIdle(func() bool { return a.Remaining() == 0 }, signals, s.StopIn)
	if ending != daemon.Interrupted {
		reg.gone(context.Background())
	}
	err := daemon.ReportEnding(log, ending, a.Remaining)
	srv.Shutdown(closeTimeout)
	log.At(event.Stopped).Send()
	return err
}
