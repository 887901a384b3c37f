// Package httpserver creates the hertz HTTP server of a daemon: one listener with
// the endpoints for health, readiness and metrics, and TLS when a certificate is
// given.
//
// The listening socket is opened without SO_REUSEPORT and stays open until the
// server is shut down, so that a second process cannot serve the same address
// while a suspended one still holds it.
//
// # Usage
//
//	srv, err := httpserver.New(httpserver.Options{Address: addr, Ready: ready})
//	if err != nil {
//		return err
//	}
//	srv.Hertz.POST("/v1/completions", handler)
//	err = srv.Run()
package httpserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// Options configures a Server.
type Options struct {
	Address      netip.AddrPort
	CertFile     string // empty for plain TCP
	KeyFile      string
	MaxBodyBytes int
	Ready        func() bool // reports whether the process accepts requests
	Metrics      http.Handler
	// CancelOnDisconnect cancels a request's context when its caller disconnects.
	// It must be false if handlers hijack connections, because hertz then reads
	// from the connections itself.
	CancelOnDisconnect bool
	// WriteTimeout is the timeout of each write to a connection. Zero means no
	// timeout.
	WriteTimeout time.Duration
}

// Server is the HTTP server of a daemon. Routes must be added to Hertz before Run.
type Server struct {
	Hertz *server.Hertz

	tracker *connectionTracker
}

// New opens the listener and adds the routes /healthz, /readyz and, if
// opts.Metrics is set, /metrics. The error is of kind Unavailable if the address
// can't be listened on, and BadCertificate if the certificate can't be loaded.
func New(opts Options) (*Server, error) {
	ln, err := net.Listen("tcp", opts.Address.String())
	if err != nil {
		return nil, &Error{Op: "listen", Kind: Unavailable, Err: err}
	}
	if opts.WriteTimeout > 0 {
		ln = writeTimeoutListener{Listener: ln, timeout: opts.WriteTimeout}
	}
	hlog.SetLevel(hlog.LevelFatal) // suppresses hertz's own log lines below level fatal
	options := []config.Option{
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(opts.MaxBodyBytes),
		server.WithExitWaitTime(0),
		server.WithSenseClientDisconnection(opts.CancelOnDisconnect),
		server.WithUseRawPath(true),
	}
	if opts.CertFile != "" {
		cert, err := tls.LoadX509KeyPair(opts.CertFile, opts.KeyFile)
		if err != nil {
			_ = ln.Close() // the certificate's error is the one to report
			return nil, &Error{Op: "load certificate", Kind: BadCertificate, Err: err}
		}
		ln = tls.NewListener(ln, &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12})
	}
	conns := newConnectionTracker()
	h := server.New(append(options, server.WithListener(conns.wrap(ln)))...)
	h.Use(conns.middleware)
	h.GET("/healthz", func(_ context.Context, rc *app.RequestContext) { rc.String(200, "ok\n") })
	h.GET("/readyz", readiness(opts.Ready))
	if opts.Metrics != nil {
		h.GET("/metrics", adaptor.HertzHandler(opts.Metrics))
	}
	return &Server{Hertz: h, tracker: conns}, nil
}

// Run serves requests until the server is shut down. The error is of kind
// Unavailable.
func (s *Server) Run() error {
	if err := s.Hertz.Run(); err != nil {
		return &Error{Op: "serve", Kind: Unavailable, Err: err}
	}
	return nil
}

// Shutdown closes the listener and waits up to timeout for hertz to shut down.
// Requests on open connections are still served, and each response closes its
// connection.
func (s *Server) Shutdown(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_ = s.Hertz.Shutdown(ctx) // connections that are still open at the timeout are no failure
}

// readiness returns the handler of /readyz. It responds with status 200 if ready
// returns true, and 503 otherwise.
func readiness(ready func() bool) app.HandlerFunc {
	return func(_ context.Context, rc *app.RequestContext) {
		if !ready() {
			rc.String(503, "not ready\n")
			return
		}
		rc.String(200, "ready\n")
	}
}
