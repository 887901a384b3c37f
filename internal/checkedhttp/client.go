package checkedhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// New returns a client that uses base, which it changes and which must not be used
// otherwise. Connections must not use TLS, and the length of a request's body must be
// known. The client returns redirections as responses.
func New(base *http.Transport) *http.Client {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return &http.Client{
		Transport:     &transport{base},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// transport checks the responses of a http.Transport.
type transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used *conn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.begin(r.ContentLength)
				used = c
			}
		},
		Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
			if n := h.Get("Content-Length"); n != "" && n != "0" {
				return &Error{Op: "read informational response", Kind: InvalidStatus, Status: status}
			}
			return nil
		},
	}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if s := resp.StatusCode; s < 200 || s > 599 { // net/http skips informational responses other than 101
		_ = resp.Body.Close() // closes the connection
		return nil, &Error{Op: "read response", Kind: InvalidStatus, Status: s}
	}
	untilClose := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed
	if untilClose && used != nil {
		resp.Body = &untilCloseBody{resp.Body, used}
	}
	return resp, nil
}

// untilCloseBody is a body that ends with its connection. A write that fails takes the
// error of a reset connection, after which a read sees its end, so the body is complete
// only if the request has been written.
type untilCloseBody struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *untilCloseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.conn.wroteRequest() {
		return n, &Error{Op: "read body", Kind: Truncated}
	}
	return n, err
}
