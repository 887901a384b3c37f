package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// answer is what a client saw of one request.
type answer struct {
	id     string
	status int // 0 if the connection ended without a complete answer
	body   string
	seal   string
	err    error
	took   time.Duration
	kept   bool // the connection had been used before
	begun  bool // some of an answer arrived
}

// client sends requests over connections that it keeps.
type client struct {
	rec  *recorder
	http *http.Client
}

func newClient(rec *recorder) *client {
	return &client{rec: rec, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}}
}

// send sends one request with an id of its own to an entry machine.
func (c *client) send(entry *process, method, host, path, body string, deadline time.Duration, header map[string]string) answer {
	id := fmt.Sprintf("%016x", 0x1000000+lastRequest.Add(1))
	req, err := http.NewRequest(method, "http://"+entry.front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil // the transport must not send a request twice
	req.Host = host
	req.Header.Set("Borageusher-Request-Id", id)
	req.Header.Set("Borageusher-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	a := answer{id: id}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn:              func(i httptrace.GotConnInfo) { a.kept = i.Reused },
		GotFirstResponseByte: func() { a.begun = true },
	}))
	start := time.Now()
	c.rec.note("client sends %s %s%s to %s", id, host, path, entry.name)
	resp, err := c.http.Do(req)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			a.status, a.body, a.seal = resp.StatusCode, string(b), resp.Header.Get("Borageusher-Server-Seal")
		}
	}
	a.err, a.took = err, time.Since(start)
	c.rec.note("client gets %s status=%d sealed=%v bytes=%d took=%d ms kept=%v begun=%v err=%v", id, a.status, a.seal != "",
		len(a.body), a.took.Milliseconds(), a.kept, a.begun, errText(err))
	return a
}

func errText(err error) string {
	if err == nil {
		return "none"
	}
	s := err.Error()
	if i := strings.LastIndex(s, ": "); i >= 0 {
		s = s[i+2:]
	}
	return s
}
