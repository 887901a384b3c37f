package entry

import (
	"os"
	"time"

	"github.com/borageusher/borageusher/internal/daemon"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/httpserver"
	"github.com/borageusher/borageusher/internal/settings"
)

// closeTimeout bounds the time in which a stopping entryd closes its listener.
const closeTimeout = 300 * time.Millisecond

// stop shuts down an entryd that already reports itself as not ready. It keeps
// serving for UnreadyFor, in which the load balancer removes it, then rejects further
// calls, closes the listener and waits for the calls in progress for up to StopTimeout.
// The error states how many did not end.
func stop(s settings.Entry, e *Entry, srv *httpserver.Server, signals <-chan os.Signal, log event.Log) error {
	log.Event(event.Stopping).Int("requests", e.InProgress()).Send()
	srv.DisableKeepAlives()
	log.Event(event.Unready).Dur("for", s.UnreadyFor).Send()
	never := func() bool { return false }
	result := daemon.WaitIdle(never, signals, s.UnreadyFor)
	e.RejectCalls()
	srv.Shutdown(closeTimeout)
	if result != daemon.Interrupted {
		idle := func() bool { return srv.Busy() == 0 }
		result = daemon.WaitIdle(idle, signals, s.StopTimeout)
	}
	err := daemon.ReportInterrupted(log, result, srv.Busy)
	log.Event(event.Stopped).Send()
	return err
}
