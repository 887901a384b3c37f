package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// try is one attempt of a client and its answer.
type try struct {
	id, front  string
	sent       time.Time
	status     int // 0 for none
	retryAfter time.Duration
	events     []string // data of the events
	lastID     int      // id of the last event
	complete   bool
	err        error
}

// send sends one request for a stream of an adapter on a new connection and reads the answer.
func send(c *cluster, front int, adapter string, deadline time.Duration, header map[string]string) *try {
	t := &try{id: fmt.Sprintf("%016x", rand.Uint64()), front: fmt.Sprintf("front-%d", front+1), sent: time.Now()}
	conn, err := net.DialTimeout("tcp4", c.addr(c.frontIP(front), c.ports.front), time.Second)
	if err != nil {
		t.err = err
		return t
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(t.sent.Add(deadline))
	body := t.id + strings.Repeat("x", 1300)
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: ficu95.example\r\nBorageusher-Request-Id: %s\r\nBorageusher-Model: %s/%s\r\n",
		streamRoute+"2f", t.id, modelName, adapter)
	fmt.Fprintf(&b, "Borageusher-Token-Count: 646,70\r\nBorageusher-Prompt-Prefix: 5c1e07a2:93,91bd3f06:62,%x:491\r\n", rand.Uint32())
	fmt.Fprintf(&b, "Borageusher-Deadline-Ms: %d\r\nContent-Length: %d\r\n", deadline.Milliseconds(), len(body))
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if _, err := conn.Write([]byte(b.String() + "\r\n" + body)); err != nil {
		t.err = err
		return t
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		t.err = err
		return t
	}
	defer func() { _ = resp.Body.Close() }()
	t.status = resp.StatusCode
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		t.retryAfter = time.Duration(s * float64(time.Second))
	}
	lines := bufio.NewReader(resp.Body)
	id, data := 0, ""
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			t.complete, t.err = err.Error() == "EOF", err
			return t
		}
		switch line = strings.TrimRight(line, "\r\n"); {
		case strings.HasPrefix(line, "id: "):
			id, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			data = line[6:]
		case line == "" && id > 0:
			t.events, t.lastID = append(t.events, data), id
			id = 0
		}
	}
}
