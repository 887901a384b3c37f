package entry

import (
	"os"
	"time"

	"github.com/borageusher/borageusher/internal/daemon"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/httpserver"
	"github.com/borageusher/borageusher/internal/settings"
)

// closeTimeout is how long a stopping entryd waits for its listener to close.
const closeTimeout = 300 * time.Millisecond

// stop ends an entryd that already says that it is not ready. It serves on for
// the time in which the balancer notices, then closes the listener and lets
// the calls in progress end. The error says how many did not.
func stop(s settings.Entry, e *Entry, srv *httpserver.Server, signals <-chan os.Signal, log event.Log) error {
	log.At(event.Stopping).Int("requests", e.InProgress()).Send()
	srv.DisableKeepAlives()
	log.At(event.Unready).Dur("for", s.UnreadyFor).Send()
	never := func() bool { return false }
	ending := daemon.WaitIdle(never, signals, s.UnreadyFor)
	srv.Shutdown(closeTimeout)
	if ending != daemon.Interrupted {
		idle := func() bool { return srv.Busy() == 0 }
		ending = daemon.WaitIdle(idle, signals, s.StopIn)
	}
	err := daemon.ReportEnding(log, ending, srv.Busy)
	log.At(event.Stopped).Send()
	return err
}
