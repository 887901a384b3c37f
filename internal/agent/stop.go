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

// stateRetryInterval is the time between attempts to write the state Leaving.
const stateRetryInterval = time.Second

// registrar updates the registration of this process's target.
type registrar struct {
	store  registration.Store
	record registration.Record
	log    event.Log
	quit   chan struct{} // closed to stop markLeavingOnDrain
	ended  chan struct{} // closed when markLeavingOnDrain has returned
}

func newRegistrar(store registration.Store, record registration.Record, log event.Log) *registrar {
	return &registrar{
		store:  store,
		record: record,
		log:    log,
		quit:   make(chan struct{}),
		ended:  make(chan struct{}),
	}
}

// markLeavingOnDrain writes the state Leaving once a drains, whether a peer or a
// stop of this process started the drain. It retries until the write succeeds,
// the target is replaced or markGone is called.
func (r *registrar) markLeavingOnDrain(ctx context.Context, a *Agent) {
	defer close(r.ended)
	select {
	case <-a.Draining():
	case <-r.quit:
		return
	}
	for !r.setState(ctx, target.Leaving) {
		select {
		case <-time.After(stateRetryInterval):
		case <-r.quit:
			return
		}
	}
}

// markGone stops markLeavingOnDrain and tries once to write the state Gone.
func (r *registrar) markGone(ctx context.Context) {
	close(r.quit)
	<-r.ended
	r.setState(ctx, target.Gone)
}

// setState writes the state and reports whether no retry is needed: the write
// succeeded or another process has replaced the registration.
func (r *registrar) setState(ctx context.Context, state target.State) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next, err := registration.SetState(ctx, r.store, r.record, state)
	r.record = next
	if err == nil {
		return true
	}
	r.log.Event(event.StoreUnavailable).Str("purpose", "registration").Err(err).Send()
	return registration.IsReplaced(err)
}

// stop drains the target: it admits no requests, refuses queued ones and waits for
// running ones to end. It returns an error if some did not.
func stop(s settings.Target, a *Agent, reg *registrar, srv *httpserver.Server, signals <-chan os.Signal, log event.Log) error {
	log.Event(event.Stopping).Int("requests", a.Remaining()).Send()
	a.Drain()
	result := daemon.WaitIdle(func() bool { return a.Remaining() == 0 }, signals, s.StopTimeout)
	if result != daemon.Interrupted {
		reg.markGone(context.Background())
	}
	err := daemon.ReportInterrupted(log, result, a.Remaining)
	srv.Shutdown(closeTimeout)
	log.Event(event.Stopped).Send()
	return err
}
