package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/borageusher/borageusher/internal/daemon"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/httpserver"
	"github.com/borageusher/borageusher/internal/members"
	"github.com/borageusher/borageusher/internal/metrics"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/internal/revision"
	"github.com/borageusher/borageusher/internal/settings"
)

// closeTimeout is how long a stopping entryd waits for its listener to close.
const closeTimeout = 300 * time.Millisecond

const purpose = "Takes callers' requests, decides where each goes, and relays the whole answer."

// Main runs the program entryd and returns its exit code.
func Main(args []string, stderr io.Writer) int {
	path, ok := daemon.Flags("entryd", purpose, args, stderr)
	if !ok {
		return daemon.ExitUsage
	}
	s, err := settings.ReadEntry(path)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "entryd:", err)
		return daemon.ExitUsage
	}
	if err := run(s, stderr); err != nil {
		_, _ = fmt.Fprintln(stderr, "entryd:", err)
		return daemon.ExitFailure
	}
	return daemon.ExitOK
}

func run(s settings.Entry, stderr io.Writer) error {
	signals := daemon.Signals()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	log := event.New(stderr, "entryd", s.Name, s.LogLevel)
	scope, metricsHandler, stopMetrics := metrics.New("entryd")
	defer stopMetrics()
	self := peer.Identity{
		Name:        s.Name,
		Role:        "entryd",
		Incarnation: daemon.NewIncarnation(),
		Region:      s.Region,
		Zone:        s.Zone,
	}
	dialer, err := daemon.NewDialer(self, s.Common)
	if err != nil {
		return err
	}
	store := objects.New(s.Platform, &http.Client{Transport: &http.Transport{}})
	configurations := revision.New(store, log)
	known := members.New(store, log)
	e := New(Options{
		Self:           self,
		Configurations: configurations,
		Revision:       configurations.Revision,
		Targets:        known,
		Dialer:         dialer,
		MaxInProgress:  s.MaxInProgress,
		StartWithin:    s.StartWithin,
		Log:            log,
		Scope:          scope,
	})
	var stopping atomic.Bool
	srv, err := httpserver.New(httpserver.Options{
		Address:      s.Listen,
		CertFile:     s.CertFile,
		KeyFile:      s.KeyFile,
		MaxBodyBytes: s.MaxBodyBytes,
		Ready:        func() bool { return configurations.Current() != nil && !stopping.Load() },
		Metrics:      metricsHandler,

		SenseDisconnect: true,
		WriteWithin:     s.WriteWithin,
	})
	if err != nil {
		return err
	}
	e.Register(srv.Hertz)
	go configurations.Run(ctx)
	go known.Run(ctx)
	log.At(event.Started).Stringer("address", s.Listen).Send()
	served := make(chan error, 1)
	go func() { served <- srv.Run() }()
	select {
	case err := <-served:
		return err
	case <-signals:
	}
	stopping.Store(true)
	stop(ctx, s, e, srv, signals, log)
	return nil
}

// stop lets the calls in progress end before the process does.
func stop(ctx context.Context, s settings.Entry, e *Entry, srv *httpserver.Server, signals <-chan os.Signal, log event.Log) {
	log.At(event.Stopping).Int("requests", e.InProgress()).Send()
	idle := func() bool { return e.InProgress() == 0 }
	if !daemon.WaitIdle(ctx, idle, signals, s.StopIn) {
		log.At(event.StopTimedOut).Int("requests", e.InProgress()).Send()
	}
	srv.Shutdown(closeTimeout)
	log.At(event.Stopped).Send()
}
