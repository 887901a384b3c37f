// Package daemon contains the code that the main functions of the daemons share:
// the -settings flag, process identity, the clients of peers and of the object
// API, the controllers of the cluster state, and graceful shutdown.
//
// # Usage
//
//	path, err := daemon.ParseFlags("entryd", purpose, args, stderr)
//	if err != nil {
//		return daemon.FlagsExitCode(err)
//	}
package daemon

import (
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/checkedhttp"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/internal/settings"
)

// Exit codes of the programs.
const (
	ExitOK      = 0
	ExitFailure = 1 // the program failed while running
	ExitUsage   = 2 // invalid flags or settings
)

// incarnationBytes is the length of the random identifier of a process start.
const incarnationBytes = 6

// ParseFlags parses the command line of a daemon and returns the path of its
// settings file. The usage text contains purpose. On an error, which may be
// flag.ErrHelp, the error or the usage text has already been written to stderr.
func ParseFlags(program, purpose string, args []string, stderr io.Writer) (string, error) {
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.Usage = func() {
		_, _ = fmt.Fprintf(stderr, "usage: %s -settings FILE\n\n%s\n\n", program, purpose)
		fs.PrintDefaults()
	}
	path := fs.String("settings", "", "the INI `file` with the settings, see docs/SETTINGS.md")
	if err := fs.Parse(args); err != nil {
		return "", err
	}
	if *path == "" || fs.NArg() > 0 {
		fs.Usage()
		return "", errors.New("daemon: the flag -settings is required, without further arguments")
	}
	return *path, nil
}

// FlagsExitCode returns the exit code for an error of ParseFlags or of a
// flag.FlagSet: ExitOK if the user asked for help, otherwise ExitUsage.
func FlagsExitCode(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	return ExitUsage
}

// NewIncarnation returns a random identifier that is unique to this start of the
// process.
func NewIncarnation() string {
	b := make([]byte, incarnationBytes)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// NewDialer returns the dialer of peer connections for the given settings. It
// uses TLS if c.CAFile is set, and returns an error if that file can't be read or
// contains no certificate.
func NewDialer(self peer.Identity, c settings.Common) (*peer.Dialer, error) {
	transport := &http.Transport{MaxResponseHeaderBytes: peer.MaxHeaderBytes}
	if c.CAFile != "" {
		pool, err := loadCertPool(c.CAFile)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return &peer.Dialer{
		Self:   self,
		Key:    peer.Key(c.PeerKey),
		Client: &http.Client{Transport: transport},
		Secure: c.CAFile != "",
	}, nil
}

// NewStore returns a client of the object API for the given settings. Its calls
// are limited to the process's share of the call budget.
func NewStore(c settings.Common, scope tally.Scope) *objects.Client {
	budget := objects.NewBudget(c.StoreReadsPerSecond, c.StoreWritesPerSecond, c.Processes)
	return objects.NewMetered(c.Platform, checkedhttp.New(&http.Transport{MaxResponseHeaderBytes: objects.MaxHeaderBytes}), budget, scope)
}

func loadCertPool(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "daemon: read CA certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("daemon: no certificate found in %s", path)
	}
	return pool, nil
}

// Signals returns a channel that receives the signals that request a graceful
// shutdown: os.Interrupt and SIGTERM.
func Signals() <-chan os.Signal {
	c := make(chan os.Signal, 2) // a second signal interrupts WaitIdle
	signal.Notify(c, os.Interrupt, syscall.SIGTERM)
	return c
}
