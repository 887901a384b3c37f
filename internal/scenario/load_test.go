package scenario

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// readyInterval is the time between two looks at an entry's readiness, as a
// balancer takes them.
const readyInterval = time.Second

// refusedPause is how long a caller of a load waits after a refusal.
const refusedPause = 50 * time.Millisecond

// loadOptions are the flags of the command load.
type loadOptions struct {
	background string
	callers    int
	calls      int64 // in all, no bound when zero
	lasting    time.Duration
	headers    []string
	body       string
	urls       []string
}

// loadCount counts what the callers of a load saw.
type loadCount struct {
	mu       sync.Mutex
	outcomes map[string]int // X-Outcome, "broken" or "failed"
	slowest  time.Duration
	first    string // the first answer that was not answered
}

func parseLoad(ts *testscript.TestScript, args []string) loadOptions {
	o := loadOptions{callers: 4, lasting: time.Second}
	for len(args) > 1 && strings.HasPrefix(args[0], "-") {
		var err error
		switch args[0] {
		case "-bg":
			o.background = args[1]
		case "-callers":
			o.callers, err = strconv.Atoi(args[1])
		case "-calls":
			o.calls, err = strconv.ParseInt(args[1], 10, 64)
		case "-for":
			o.lasting, err = time.ParseDuration(args[1])
		case "-H":
			o.headers = append(o.headers, args[1])
		case "-d":
			o.body = args[1]
		default:
			ts.Fatalf("load: unknown flag %s", args[0])
		}
		ts.Check(err)
		args = args[2:]
	}
	if len(args) == 0 {
		ts.Fatalf("usage: load [-bg NAME] [-callers N] [-calls N] [-for TIME] [-H HEADER]... [-d BODY] URL...")
	}
	o.urls = args
	return o
}

func cmdLoad(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		ts.Fatalf("load cannot be negated; check its output")
	}
	o := parseLoad(ts, args)
	if o.background == "" {
		write(ts, runLoad(o))
		return
	}
	c := &backgroundCall{done: make(chan struct{})}
	stateOf(ts).calls[o.background] = c
	go func() {
		c.output = runLoad(o)
		close(c.done)
	}()
}

// runLoad runs the callers and describes what they saw, one line an outcome.
func runLoad(o loadOptions) string {
	count := &loadCount{outcomes: map[string]int{}}
	b := newBalancer(o.urls)
	defer close(b.stop)
	end := time.Now().Add(o.lasting)
	var made atomic.Int64
	var wg sync.WaitGroup
	for range o.callers {
		wg.Go(func() {
			client := &http.Client{Timeout: callLimit, Transport: &http.Transport{}}
			for time.Now().Before(end) && (o.calls == 0 || made.Add(1) <= o.calls) {
				began := time.Now()
				outcome, seen := loadOnce(client, o, b.url())
				count.add(outcome, seen, time.Since(began))
				if outcome == "not_run" {
					time.Sleep(refusedPause)
				}
			}
		})
	}
	wg.Wait()
	return count.String()
}

// loadOnce makes one call and reads its whole answer.
func loadOnce(client *http.Client, o loadOptions, url string) (outcome, seen string) {
	req, err := http.NewRequest(http.MethodPost, withScheme(url), strings.NewReader(o.body))
	if err != nil {
		return "failed", err.Error()
	}
	req.GetBody = nil // a call that was cut must not be sent again unseen
	for _, h := range o.headers {
		name, value, _ := strings.Cut(h, ":")
		req.Header.Set(name, strings.TrimSpace(value))
	}
	resp, err := client.Do(req)
	if err != nil {
		return "failed", err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "broken", err.Error()
	}
	return resp.Header.Get("X-Outcome"), string(body)
}

func (c *loadCount) add(outcome, seen string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[outcome]++
	c.slowest = max(c.slowest, took)
	if outcome != "answered" && c.first == "" {
		c.first = outcome + " " + seen
	}
}

// String returns a line for each outcome, the slowest call in whole seconds,
// and the first call that was not answered.
func (c *loadCount) String() string {
	var b strings.Builder
	for _, outcome := range []string{"answered", "not_run", "unknown", "broken", "failed"} {
		_, _ = fmt.Fprintf(&b, "%s: %d\n", outcome, c.outcomes[outcome])
	}
	_, _ = fmt.Fprintf(&b, "slowest_seconds: %d\n", int(c.slowest.Seconds()))
	if c.first != "" {
		_, _ = fmt.Fprintf(&b, "first: %s\n", c.first)
	}
	return b.String()
}

// balancer gives the first of several entries that said it was ready.
type balancer struct {
	stop chan struct{}

	mu    sync.Mutex
	urls  []string
	ready []bool
}

func newBalancer(urls []string) *balancer {
	b := &balancer{stop: make(chan struct{}), urls: urls, ready: make([]bool, len(urls))}
	b.look()
	go func() {
		ticker := time.NewTicker(readyInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				b.look()
			case <-b.stop:
				return
			}
		}
	}()
	return b
}

func (b *balancer) look() {
	for i, u := range b.urls {
		host, _, _ := strings.Cut(u, "/")
		ok := strings.HasPrefix(doCall(callOptions{method: http.MethodGet, url: host + "/readyz"}), "status: 200\n")
		b.mu.Lock()
		b.ready[i] = ok
		b.mu.Unlock()
	}
}

func (b *balancer) url() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, ok := range b.ready {
		if ok {
			return b.urls[i]
		}
	}
	return b.urls[0]
}
