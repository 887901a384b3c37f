//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// lastRequest numbers the requests of all clients.
var lastRequest atomic.Int64

// request is one client attempt.
type request struct {
	method, host, path string
	headers            map[string]string
	deadline           time.Duration
	body               string
}

// response is what the client got.
type response struct {
	id     string
	sentAt time.Time
	status int // zero if the connection ended without an answer
	header http.Header
	body   string
	whole  bool
}

// client sends each attempt on a new connection.
var client = &http.Client{
	Transport: &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
	},
}

// send sends one attempt to an entry and reads the whole answer.
func (w *world) send(m *machine, q request) response {
	id := fmt.Sprintf("%016x", lastRequest.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+m.front+q.path, strings.NewReader(q.body))
	if err != nil {
		panic(err)
	}
	r.Host = q.host
	r.Header.Set("Borageusher-Request-Id", id)
	r.Header.Set("Borageusher-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	for name, value := range q.headers {
		r.Header.Set(name, value)
	}
	out := response{id: id, sentAt: time.Now()}
	w.record.add("sent", "id", id, "to", m.name, "path", q.path)
	resp, err := client.Do(r)
	if err != nil {
		w.record.add("answered", "id", id, "status", "none", "error", err)
		return out
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	out.status, out.header, out.body, out.whole = resp.StatusCode, resp.Header, string(b), err == nil
	w.record.add("answered", "id", id, "status", out.status, "whole", out.whole, "bytes", len(b))
	return out
}

// versionsOf returns the versions of the software that wrote the events of a stream.
func versionsOf(body string) map[string]bool {
	found := map[string]bool{}
	for _, line := range strings.Split(body, "\n") {
		if rest, ok := strings.CutPrefix(line, "data: "); ok {
			version, _, _ := strings.Cut(rest, " ")
			found[version] = true
		}
	}
	return found
}
