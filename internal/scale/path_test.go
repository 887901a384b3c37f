//go:build scale

package scale

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"
)

// Sizes of the request path experiments.
const (
	pathCalls          = 3000 // sequential calls to the engine and through entryd each
	concurrentClients  = 64
	concurrentDuration = 10 * time.Second
	streamCalls        = 300 // streamed responses from the engine and through entryd each
)

// pathGoal bounds the median latency that entryd and targetd add.
const pathGoal = time.Millisecond

// pathFleet is a deployment of one entryd, one targetd and one engine.
type pathFleet struct {
	*fleet
	entryd, target *daemon
	directURL      string // base URL of the engine
	entrydURL      string // base URL of the entryd
	client         *http.Client
}

// newPathFleet starts a pathFleet whose engine takes tokenTime for each token, and
// makes a first call, which loads the adapter.
func newPathFleet(t *testing.T, tokenTime string) *pathFleet {
	f := &pathFleet{fleet: newFleet(t)}
	engine := f.addr(0, 2)
	f.start("engine", "standin", engine, "engine", "-listen", engine.String(), "-slots", "128", "-adapters", "64", "-token_time", tokenTime)
	f.target = f.startTargetd(0, "model", "assistente", engine)
	f.entryd = f.startEntryd(0)
	f.accept(0, 10, 1)
	f.awaitReady([]*daemon{f.entryd, f.target})
	f.directURL = "http://" + engine.String()
	f.entrydURL = "http://" + f.entryd.addr.String()
	f.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrentClients}}
	f.call(f.entrydURL, "adapter-0", 1, false)
	return f
}

// call requests one completion and returns the time to the first byte of the body
// and the total time.
func (f *pathFleet) call(base, model string, tokens int, stream bool) (firstByte, total time.Duration) {
	f.t.Helper()
	body := fmt.Sprintf(`{"model":%q,"prompt":"a few words of a prompt","max_tokens":%d,"stream":%t}`, model, tokens, stream)
	req, err := http.NewRequest(http.MethodPost, base+"/v1/completions", strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+teamKey)
	began := time.Now()
	resp, err := f.client.Do(req)
	if err != nil {
		f.t.Error(err)
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	one := make([]byte, 1)
	if _, err := io.ReadFull(resp.Body, one); err != nil {
		f.t.Error(err)
	}
	firstByte = time.Since(began)
	rest, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		f.t.Errorf("status %d, %v: %s", resp.StatusCode, err, rest)
	}
	if stream && !bytes.HasSuffix(rest, []byte("data: [DONE]\n\n")) {
		f.t.Errorf("the stream has no [DONE] event")
	}
	return firstByte, time.Since(began)
}

// quantile returns the q-th quantile of times, which it sorts.
func quantile(times []time.Duration, q float64) time.Duration {
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[int(q*float64(len(times)-1))]
}

// TestPathCost compares the latency of calls through entryd and targetd with that of
// direct calls to the engine. The two kinds of call alternate. It fails if the median
// of the added latency exceeds pathGoal.
func TestPathCost(t *testing.T) {
	f := newPathFleet(t, "1ms")
	var direct, through []time.Duration
	for i := 0; i < pathCalls; i++ {
		_, d := f.call(f.directURL, "tessaro/adapter-0@1", 1, false)
		_, p := f.call(f.entrydURL, "adapter-0", 1, false)
		direct, through = append(direct, d), append(through, p)
	}
	t.Logf("%d calls each: direct p50 %v p99 %v, through p50 %v p99 %v", pathCalls,
		quantile(direct, 0.5), quantile(direct, 0.99), quantile(through, 0.5), quantile(through, 0.99))
	added := quantile(through, 0.5) - quantile(direct, 0.5)
	t.Logf("added latency: p50 %v, p99 %v", added, quantile(through, 0.99)-quantile(direct, 0.99))
	if added > pathGoal {
		t.Errorf("added latency at p50 is %v, goal %v", added, pathGoal)
	}
}

// TestFirstToken guards against buffering of the first token until the next one
// arrives: the latency added to the first byte of a stream must stay below half
// the time of a token.
func TestFirstToken(t *testing.T) {
	const tokenTime = 20 * time.Millisecond
	f := newPathFleet(t, tokenTime.String())
	var direct, through []time.Duration
	for i := 0; i < streamCalls; i++ {
		d, _ := f.call(f.directURL, "tessaro/adapter-0@1", 3, true)
		p, _ := f.call(f.entrydURL, "adapter-0", 3, true)
		direct, through = append(direct, d), append(through, p)
	}
	added := quantile(through, 0.5) - quantile(direct, 0.5)
	t.Logf("first byte of %d streams: direct p50 %v p99 %v, through p50 %v p99 %v", streamCalls,
		quantile(direct, 0.5), quantile(direct, 0.99), quantile(through, 0.5), quantile(through, 0.99))
	if added > tokenTime/2 {
		t.Errorf("the first token is delayed by %v", added)
	}
}

// TestPathThroughput fits the processor time of entryd and targetd per request and
// per token, from responses of three lengths. It prints the fit and has no goal.
func TestPathThroughput(t *testing.T) {
	f := newPathFleet(t, "5ms")
	var tokens, entrydCPU, targetCPU []float64
	for _, n := range []int{1, 16, 64} {
		entrydBefore, targetBefore := usageOf(t, f.entryd), usageOf(t, f.target)
		calls := f.streamConcurrently(n)
		perEntryd := (usageOf(t, f.entryd).cpu - entrydBefore.cpu).Seconds() / float64(calls)
		perTarget := (usageOf(t, f.target).cpu - targetBefore.cpu).Seconds() / float64(calls)
		t.Logf("%2d tokens: %6.0f requests/s, entryd %6.1f us, targetd %6.1f us per request, %6.0f requests/s per core of both",
			n, float64(calls)/concurrentDuration.Seconds(), perEntryd*1e6, perTarget*1e6, 1/(perEntryd+perTarget))
		tokens, entrydCPU, targetCPU = append(tokens, float64(n)), append(entrydCPU, perEntryd*1e6), append(targetCPU, perTarget*1e6)
	}
	entrydFit, targetFit := fit(tokens, entrydCPU), fit(tokens, targetCPU)
	t.Logf("entryd:  %.1f us per request + %.2f us per token; resident %.1f MB", entrydFit.intercept, entrydFit.slope, float64(usageOf(t, f.entryd).residentBytes)/1e6)
	t.Logf("targetd: %.1f us per request + %.2f us per token; resident %.1f MB", targetFit.intercept, targetFit.slope, float64(usageOf(t, f.target).residentBytes)/1e6)
}

// streamConcurrently streams responses of n tokens to concurrent callers for
// concurrentDuration and returns the number of calls.
func (f *pathFleet) streamConcurrently(n int) int {
	f.t.Helper()
	counts := make([]int, concurrentClients)
	end := time.Now().Add(concurrentDuration)
	var wg sync.WaitGroup
	for c := range counts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				f.call(f.entrydURL, "adapter-0", n, true)
				counts[c]++
			}
		}()
	}
	wg.Wait()
	sum := 0
	for _, c := range counts {
		sum += c
	}
	return sum
}
