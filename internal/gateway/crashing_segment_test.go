package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/target"
)

// Times of the test's deployment, a tenth of those of the users' deployments.
const (
	testStableTime   = 400 * time.Millisecond
	testReadTime     = 30 * time.Millisecond // of a prompt
	testDownTime     = 330 * time.Millisecond
	testReportDelay  = 10 * time.Millisecond // until the entryds learn of a crash
	testNetworkDelay = 3 * time.Millisecond  // of a report to another entryd
)

// fragileFleet is a set of targets that crash when they begin to answer a request
// whose path has the word "deadly", and of gateways that share their reports.
type fragileFleet struct {
	t        *testing.T
	gateways []*testGateway
	targets  []*fragileTarget
	down     time.Duration // of a target that crashed
	plain    bool          // the targets have no targetd that reports their crashes, and answer without a stream
	occupy   occupation    // of the address of a target that crashed, until it is back

	mu       sync.Mutex
	stopped  bool
	maxConns int // of a target, which resets those beyond; zero for no limit
	crashes  []time.Time
	arrived  []time.Time // deadly requests at targets
}

// fragileTarget is a target of a fragileFleet.
type fragileTarget struct {
	fleet  *fragileFleet
	number int
	addr   string
	slow   atomic.Bool // answers take a second longer

	mu      sync.Mutex
	starts  int
	ln      net.Listener
	srv     *http.Server
	conns   map[net.Conn]bool
	started time.Time
}

func newFragileFleet(t *testing.T, gateways, targets int) *fragileFleet {
	t.Helper()
	f := &fragileFleet{t: t, down: testDownTime}
	for range gateways {
		f.gateways = append(f.gateways, newTestGateway(t))
	}
	for i, tg := range f.gateways {
		tg.onReport = func(m peer.Message) {
			for j, other := range f.gateways {
				if j != i {
					time.AfterFunc(testNetworkDelay, func() { other.apply(m) })
				}
			}
		}
	}
	for i := range targets {
		ft := &fragileTarget{fleet: f, number: i, addr: "127.0.0.1:0"}
		ft.start()
		f.targets = append(f.targets, ft)
		t.Cleanup(ft.stop)
	}
	t.Cleanup(func() { // before the targets stop
		f.mu.Lock()
		defer f.mu.Unlock()
		f.stopped = true
	})
	return f
}

// start starts the next incarnation of the target.
func (ft *fragileTarget) start() {
	ft.fleet.mu.Lock()
	defer ft.fleet.mu.Unlock()
	if ft.fleet.stopped {
		return
	}
	ln, err := listenAgain(ft.addr)
	if err != nil {
		ft.fleet.t.Error(err)
		return
	}
	ft.mu.Lock()
	if ft.starts == 0 {
		reservePort(ft.fleet.t, ln)
	}
	ft.starts++
	ft.ln, ft.addr, ft.conns, ft.started = ln, ln.Addr().String(), map[net.Conn]bool{}, time.Now()
	r := ft.replica()
	ft.mu.Unlock()
	srv := &http.Server{
		Handler:           http.HandlerFunc(ft.serve),
		ReadHeaderTimeout: time.Second,
		ConnState: func(c net.Conn, s http.ConnState) {
			limit := ft.fleet.connLimit()
			ft.mu.Lock()
			defer ft.mu.Unlock()
			ft.conns[c] = s != http.StateClosed
			if s == http.StateNew && limit > 0 && len(ft.open()) > limit {
				reset(c)
			}
		},
	}
	ft.mu.Lock()
	ft.srv = srv
	ft.mu.Unlock()
	go func() { _ = srv.Serve(ln) }() // ends with the listener
	for _, tg := range ft.fleet.gateways {
		tg.fleet.mu.Lock()
		tg.fleet.upsert(time.Now(), r)
		tg.fleet.mu.Unlock()
	}
}

// replica returns the target's entry. The caller holds mu.
func (ft *fragileTarget) replica() target.Replica {
	return target.Replica{
		ID: fmt.Sprintf("t%d-%d", ft.number, ft.starts), Service: "s", Addr: netip.MustParseAddrPort(ft.addr), Zone: "a", Slots: 16, State: target.Live, Started: ft.started,
	}
}

// stop closes the listener and all connections.
func (ft *fragileTarget) stop() {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	_ = ft.ln.Close()
	for c, open := range ft.conns {
		if open {
			_ = c.Close()
		}
	}
}

// crash ends the incarnation of the target that runs, and starts the next one later.
func (ft *fragileTarget) crash(start int) {
	ft.mu.Lock()
	if ft.starts != start {
		ft.mu.Unlock()
		return // it has crashed already
	}
	ft.starts++
	incarnation := target.Replica{ID: fmt.Sprintf("t%d-%d", ft.number, start), Started: ft.started}.Incarnation().String()
	ft.mu.Unlock()
	ft.stop()
	ft.fleet.mu.Lock()
	ft.fleet.crashes = append(ft.fleet.crashes, time.Now())
	ft.fleet.mu.Unlock()
	for _, tg := range ft.fleet.gateways {
		if ft.fleet.plain {
			break
		}
		time.AfterFunc(testReportDelay, func() { tg.crashes.recordEngineDown(time.Now(), incarnation) })
	}
	free := ft.fleet.occupy.begin(ft.fleet.t, ft.addr)
	time.AfterFunc(ft.fleet.down, func() {
		free()
		ft.start()
	})
}

func (ft *fragileTarget) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	ft.mu.Lock()
	start := ft.starts
	ft.mu.Unlock()
	deadly := strings.Contains(r.URL.Path, "deadly")
	if deadly {
		ft.fleet.mu.Lock()
		ft.fleet.arrived = append(ft.fleet.arrived, time.Now())
		ft.fleet.mu.Unlock()
	}
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signed", "yes")
	if !ft.fleet.plain {
		w.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(w).Flush()
	}
	read := testReadTime/2 + rand.N(testReadTime)
	if ft.slow.Load() {
		read += time.Second
	}
	select {
	case <-time.After(read):
	case <-r.Context().Done():
		return
	}
	if deadly {
		ft.crash(start)
		return
	}
	if ft.fleet.plain {
		_, _ = io.WriteString(w, "answer")
		return
	}
	for i := range 3 {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(time.Millisecond)
	}
}

// TestCrashingPromptSegment guards against requests of one kind that crash targets one
// after the other: they share a segment of their prompts and no two are alike. The
// bounds are those of the users' rules. The same holds if nearly all targets crash under
// the first requests.
func TestCrashingPromptSegment(t *testing.T) {
	for _, every := range []time.Duration{60 * time.Millisecond, 15 * time.Millisecond} {
		t.Run(every.String(), func(t *testing.T) { testCrashingSegment(t, every) })
	}
}

// soundCall is the result of one call without the deadly segment.
type soundCall struct {
	at time.Time
	ok bool
}

// testCrashingSegment sends deadly requests at the given interval beside sound ones.
func testCrashingSegment(t *testing.T, every time.Duration) {
	const (
		soundEvery = 5 * time.Millisecond
		quiet      = 500 * time.Millisecond  // before the first deadly request
		length     = 3000 * time.Millisecond // from then on
	)
	f := newFragileFleet(t, 3, 9)
	start := time.Now()
	var mu sync.Mutex
	var sound []soundCall
	var wg sync.WaitGroup
	send := func(n int, path, segments string) {
		defer wg.Done()
		tg := f.gateways[n%len(f.gateways)]
		at := time.Now()
		reply := tg.call(t, path, "Id", fmt.Sprint(path, n), "Segments", segments)
		if strings.Contains(path, "sound") {
			mu.Lock()
			defer mu.Unlock()
			sound = append(sound, soundCall{at, reply.status == 200 && !reply.truncated})
		}
	}
	nextDeadly := start.Add(quiet)
	for n := 0; time.Since(start) < quiet+length; n++ {
		wg.Add(1)
		go send(n, fmt.Sprintf("/once/sound/%d", n), fmt.Sprintf("common,doc%d", n%300))
		if time.Now().After(nextDeadly) {
			nextDeadly = nextDeadly.Add(every)
			wg.Add(1)
			go send(n, fmt.Sprintf("/once/deadly/%d", n), "common,deadly")
		}
		time.Sleep(soundEvery)
	}
	wg.Wait()
	f.check(t, start.Add(quiet), sound)
}

// check checks the bounds of the rules. Deadly requests were sent from the given time on.
func (f *fragileFleet) check(t *testing.T, from time.Time, sound []soundCall) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) == 0 {
		t.Fatal("no target crashed")
	}
	last := f.crashes[min(len(f.crashes), 5)-1]
	late := 0
	for _, at := range f.arrived {
		if at.After(last.Add(testStableTime)) {
			late++
		}
	}
	if late > 3 {
		t.Errorf("%d requests with the segment reached targets after the fifth crash, %d targets crashed in all", late, len(f.crashes))
	}
	share := func(in func(time.Time) bool) float64 {
		served, all := 0, 0
		for _, c := range sound {
			if !in(c.at) {
				continue
			}
			all++
			if c.ok {
				served++
			}
		}
		return float64(served) / float64(all)
	}
	usual := share(func(at time.Time) bool { return at.Before(from.Add(-100 * time.Millisecond)) })
	beside := share(func(at time.Time) bool { return at.After(last.Add(2 * testStableTime)) })
	if beside < usual/2 {
		t.Errorf("a share of %.2f of the sound requests is served beside those with the segment, %.2f before", beside, usual)
	}
	t.Logf("%d targets crashed, %d requests with the segment late, sound ones served: %.3f, before %.3f", len(f.crashes), late, beside, usual)
}
