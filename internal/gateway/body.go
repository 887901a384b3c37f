package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// shortBodyBytes is the size up to which the memory of a body of unknown length grows
// with it. Beyond it, the body gets memory for the largest one that it may become, so
// that it is rejected before much of it is read, and not near its end.
const shortBodyBytes = 64 << 10

// Times for which the rest of a rejected body is read, so that the caller gets the
// response before the connection is closed.
const (
	// lingerTimeout is enough for callers who read the response only after they have
	// written a body of several MB.
	lingerTimeout = 5 * time.Second
	// shortLingerTimeout applies while many rejected bodies are read. It covers a
	// round trip between regions.
	shortLingerTimeout = 200 * time.Millisecond
)

// bodyLimits are the limits of a body.
type bodyLimits struct {
	limit   int64 // a larger body is rejected
	longest int64 // that the memory can hold
}

// errNoMemory is the error of a body for which there is no memory.
var errNoMemory = errors.New("no memory for the body")

// errBodyTooLong is the error of a body that exceeds the limit.
var errBodyTooLong = errors.New("the body exceeds the limit")

// readBody returns the body that r reads. length is negative if it is unknown. Memory
// beyond freeBufferBytes is leased before it is allocated. After an error the rest of the
// body is unread; other errors than errNoMemory and errBodyTooLong are those of r.
func readBody(r io.Reader, length int64, limits bodyLimits, memory *lease) ([]byte, error) {
	switch {
	case length > limits.limit:
		return nil, errBodyTooLong
	case length >= 0:
		if !leaseBody(memory, length) {
			return nil, errNoMemory
		}
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	body := make([]byte, 0, freeBufferBytes)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limits.limit:
			return nil, errBodyTooLong
		case err == io.EOF:
			return fitBody(body, memory), nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		}
		size := int64(2 * cap(body))
		if size > shortBodyBytes {
			size = limits.longest
		}
		if size < int64(cap(body)) || !leaseBody(memory, size) {
			return nil, errNoMemory
		}
		body = append(make([]byte, 0, size+1), body...) // one byte to notice a longer body
	}
}

// leaseBody leases memory for a body of size bytes, and reports whether it is available.
func leaseBody(memory *lease, size int64) bool {
	use, n := bodyUse(size)
	return memory.resize(use, n)
}

// bodyUse returns the use of the memory for a body of size bytes and the bytes to lease.
func bodyUse(size int64) (use memoryUse, n int64) {
	if size > shortBodyBytes {
		return longBody, size - freeBufferBytes
	}
	return shortBody, max(0, size-freeBufferBytes)
}

// fitBody returns a body that was read completely, without most of its unused memory.
func fitBody(body []byte, memory *lease) []byte {
	if len(body) > cap(body)/2 {
		return body
	}
	leaseBody(memory, int64(len(body))) // never fails to become smaller
	return append(make([]byte, 0, len(body)), body...)
}

// readBody returns the whole body of a request, for which memory is leased.
func (g *Gateway) readBody(r *http.Request, limit int64, memory *lease) ([]byte, error) {
	limit = bodyLimit(limit)
	return readBody(r.Body, r.ContentLength, bodyLimits{limit: limit, longest: g.admission.longestBody(limit)}, memory)
}

// bodyLimit returns the limit of bodies for the limit that a configuration sets.
func bodyLimit(configured int64) int64 {
	if configured <= 0 {
		return defaultMaxBodyBytes
	}
	return configured
}

// rejectBody responds to a request whose body was not read because of err.
func (g *Gateway) rejectBody(w http.ResponseWriter, r *http.Request, meta RequestMeta, err error) {
	rejected := bodyRejection(meta, err)
	if rejected.status == 400 {
		g.reject(w, meta.ID, rejected.status, rejected.reason, 0)
		return
	}
	g.rejectUnread(w, r, meta.ID, rejected.status, rejected.reason, rejected.after)
}

// bodyRejection returns the response to a request whose body was not read because of err.
func bodyRejection(meta RequestMeta, err error) rejection {
	switch {
	case errors.Is(err, errNoMemory):
		return rejection{status: 503, reason: reasonNoRoom, after: meta.honoured(spread(longRetryAfter))}
	case errors.Is(err, errBodyTooLong):
		return rejection{status: 413, reason: "body"}
	}
	return rejection{status: 400, reason: "body"} // the caller closed the connection or the body is malformed
}

// rejectUnread responds to a request whose body was not read to its end. It reads the
// rest of the body without keeping it, because closing a connection with unread data
// resets it, which may discard the response.
func (g *Gateway) rejectUnread(w http.ResponseWriter, r *http.Request, id string, status int, reason string, after time.Duration) {
	if r.ContentLength >= 0 && r.ContentLength <= freeBufferBytes {
		g.reject(w, id, status, reason, after) // the server reads the body
		return
	}
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex() // responds before the body is read; not supported by httptest.ResponseRecorder
	w.Header().Set("Content-Length", "0")
	if r.Header.Get("Expect") != "" { // the body will not follow
		w.Header().Set("Connection", "close")
		g.reject(w, id, status, reason, after)
		return
	}
	g.reject(w, id, status, reason, after)
	_ = control.Flush()
	timeout := shortLingerTimeout
	if g.admission.acquireLinger() {
		defer g.admission.releaseLinger()
		timeout = lingerTimeout
	}
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	defer context.AfterFunc(g.ending, func() { _ = control.SetReadDeadline(time.Now()) })()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler) // the caller has the response and is not expected to send more
	}
	_ = control.SetReadDeadline(time.Time{})
}
