// Package daemon has what the daemons' main functions share: the -settings
// flag, identity, peer credentials and the wait for a signal.
//
// # Usage
//
//	path, err := daemon.Flags("entryd", usage, args, stderr)
//	if err != nil {
//		return daemon.ExitOfFlags(err)
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

	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/internal/settings"
)

// Exit codes of the programs.
const (
	ExitOK      = 0
	ExitFailure = 1 // the program ran and failed
	ExitUsage   = 2 // bad flags or settings
)

// incarnationBytes is the length of a process's random identity.
const incarnationBytes = 6

// Flags reads the command line of a daemon: the path of its settings file. The
// error, flag.ErrHelp among others, has been printed.
func Flags(program, purpose string, args []string, stderr io.Writer) (string, error) {
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
		return "", errors.New("daemon: exactly the flag -settings is needed")
	}
	return *path, nil
}

// ExitOfFlags returns the exit code for an error of Flags, or of a flag set:
// asking for help is no failure.
func ExitOfFlags(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	return ExitUsage
}

// NewIncarnation returns an identity that no other start of any process has.
func NewIncarnation() string {
	b := make([]byte, incarnationBytes)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// NewDialer returns the dialer of peer connections that the settings describe.
func NewDialer(self peer.Identity, c settings.Common) (*peer.Dialer, error) {
	transport := &http.Transport{}
	if c.CAFile != "" {
		pool, err := readAuthorities(c.CAFile)
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

// NewStore returns the client of the object API that the settings describe,
// with the process's budget.
func NewStore(c settings.Common, scope tally.Scope) *objects.Client {
	budget := objects.NewBudget(c.StoreReads, c.StoreWrites, c.Processes)
	return objects.NewMetered(c.Platform, &http.Client{Transport: &http.Transport{}}, budget, scope)
}

func readAuthorities(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "daemon: read authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("daemon: %s has no certificate", path)
	}
	return pool, nil
}

// Signals returns a channel that receives the signals that ask for a planned stop.
func Signals() <-chan os.Signal {
	c := make(chan os.Signal, 2)
	signal.Notify(c, os.Interrupt, syscall.SIGTERM)
	return c
}
