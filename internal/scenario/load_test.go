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

// readinessProbeInterval is the time between two readiness probes of the
// simulated load balancer.
const readinessProbeInterval = time.Second

// rejectionBackoff is the delay of a caller after a rejected call.
const rejectionBackoff = 50 * time.Millisecond

// loadOptions are the flags of the command load.
type loadOptions struct {
	background string
	callers    int
	calls      int64 // of all callers together, unlimited when zero
	duration   time.Duration
	headers    []string
	body       string
	urls       []string
}

// loadResults collects the results of the calls of a load.
type loadResults struct {
	mu              sync.Mutex
	outcomes        map[string]int // number of calls by X-Outcome, "broken" or "failed"
	slowest         time.Duration
	firstUnanswered string // outcome and body of the first call whose outcome is not "answered"
}

func parseLoad(ts *testscript.TestScript, args []string) loadOptions {
	o := loadOptions{callers: 4, duration: time.Second}
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
			o.duration, err = time.ParseDuration(args[1])
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
		writeStdout(ts, runLoad(o))
		return
	}
	c := &backgroundCall{done: make(chan struct{})}
	stateOf(ts).calls[o.background] = c
	go func() {
		c.output = runLoad(o)
		close(c.done)
	}()
}

// runLoad runs the callers and returns their results as text.
func runLoad(o loadOptions) string {
	results := &loadResults{outcomes: map[string]int{}}
	b := newBalancer(o.urls)
	defer close(b.stop)
	end := time.Now().Add(o.duration)
	var made atomic.Int64
	var wg sync.WaitGroup
	for range o.callers {
		wg.Go(func() {
			client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
			for time.Now().Before(end) && (o.calls == 0 || made.Add(1) <= o.calls) {
				began := time.Now()
				outcome, detail := sendLoadCall(client, o, b.readyURL())
				results.add(outcome, detail, time.Since(began))
				if outcome == "not_run" {
					time.Sleep(rejectionBackoff)
				}
			}
		})
	}
	wg.Wait()
	return results.String()
}

// sendLoadCall sends one request, reads the whole response and returns the
// outcome with the body or the error.
func sendLoadCall(client *http.Client, o loadOptions, url string) (outcome, detail string) {
	req, err := http.NewRequest(http.MethodPost, withScheme(url), strings.NewReader(o.body))
	if err != nil {
		return "failed", err.Error()
	}
	req.GetBody = nil // keeps the transport from resending an interrupted request, which would hide the failure
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

func (r *loadResults) add(outcome, detail string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome]++
	r.slowest = max(r.slowest, took)
	if outcome != "answered" && r.firstUnanswered == "" {
		r.firstUnanswered = outcome + " " + detail
	}
}

// String returns a line with the number of calls for each outcome, one with the
// duration of the slowest call in whole seconds, and one with the first call
// whose outcome is not "answered".
func (r *loadResults) String() string {
	var b strings.Builder
	for _, outcome := range []string{"answered", "not_run", "unknown", "broken", "failed"} {
		_, _ = fmt.Fprintf(&b, "%s: %d\n", outcome, r.outcomes[outcome])
	}
	_, _ = fmt.Fprintf(&b, "slowest_seconds: %d\n", int(r.slowest.Seconds()))
	if r.firstUnanswered != "" {
		_, _ = fmt.Fprintf(&b, "first: %s\n", r.firstUnanswered)
	}
	return b.String()
}

// balancer simulates a load balancer that sends calls to the first entryd whose
// last readiness probe succeeded.
type balancer struct {
	stop chan struct{}

	mu    sync.Mutex
	urls  []string
	ready []bool // result of the last probe, by index of urls
}

// newBalancer returns a balancer that probes the entryds at once and then
// periodically until stop is closed.
func newBalancer(urls []string) *balancer {
	b := &balancer{stop: make(chan struct{}), urls: urls, ready: make([]bool, len(urls))}
	b.probe()
	go func() {
		ticker := time.NewTicker(readinessProbeInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				b.probe()
			case <-b.stop:
				return
			}
		}
	}()
	return b
}

func (b *balancer) probe() {
	for i, u := range b.urls {
		host, _, _ := strings.Cut(u, "/")
		ok := strings.HasPrefix(doCall(callOptions{method: http.MethodGet, url: host + "/readyz"}), "status: 200\n")
		b.mu.Lock()
		b.ready[i] = ok
		b.mu.Unlock()
	}
}

// readyURL returns the URL of the first ready entryd, or the first URL if none is
// ready.
func (b *balancer) readyURL() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, ok := range b.ready {
		if ok {
			return b.urls[i]
		}
	}
	return b.urls[0]
}
