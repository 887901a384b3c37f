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
// serving for UnreadyFor, in which the load balancer removes it, then closes
// the listener and waits for the calls in progress for up to StopTimeout. The
// error states how many did not end.
func stop(s settings.Entry, e *Entry, srv *httpserver.Server, signals <-chan os.Signal, log event.Log) error {
	log.Event(event.Stopping).Int("requests", e.InProgress()).Send()
	srv.DisableKeepAlives()
	log.Event(event.Unready).Dur("for", s.UnreadyFor).Send()
	never := func() bool { return false }
	ending := daemon.WaitIdle(never, signals, s.UnreadyFor)
	srv.Shutdown(closeTimeout)
	if ending != daemon.Interrupted {
		idle := func() bool { return srv.Busy() == 0 }
		ending = daemon.WaitIdle(idle, signals, s.StopTimeout)
	}
	err := daemon.ReportInterrupted(log, ending, srv.Busy)
	log.Event(event.Stopped).Send()
	return err
}
