package gateway

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/borageusher/borageusher/pkg/target"
)

// A request kept crashing targets without a targetd: nobody looked whether they were
// down.
func TestCrashingRequestAtPlainTargets(t *testing.T) {
	const (
		requests = 9
		down     = time.Second // of a target that crashed
		pause    = 1200 * time.Millisecond
	)
	f := newFragileFleet(t, 3, 3)
	f.plain, f.down = true, down
	for n := range requests {
		f.gateways[n%len(f.gateways)].call(t, "/unsafe/deadly")
		time.Sleep(pause)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.arrived) != 2 {
		t.Errorf("the request reached %d targets, want 2 before it is refused", len(f.arrived))
	}
}

// connLimit returns the number of connections that a target accepts, zero for no limit.
func (f *fragileFleet) connLimit() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxConns
}

// open returns the target's open connections. The caller holds mu.
func (ft *fragileTarget) open() []net.Conn {
	var out []net.Conn
	for c, open := range ft.conns {
		if open {
			out = append(out, c)
		}
	}
	return out
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// resetConns resets the target's connections as a network element does, and leaves the
// listener.
func (ft *fragileTarget) resetConns() {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	for _, c := range ft.open() {
		reset(c)
	}
}

// refuse resets the target's connections and refuses new ones for a time, as a network
// element does. The target runs on.
func (ft *fragileTarget) refuse(t *testing.T, d time.Duration) {
	t.Helper()
	ft.mu.Lock()
	_ = ft.ln.Close()
	ft.mu.Unlock()
	ft.resetConns()
	time.Sleep(d)
	ln, err := listenAgain(ft.addr)
	if err != nil {
		t.Error(err)
		return
	}
	ft.mu.Lock()
	ft.ln = ln
	ft.mu.Unlock()
	go func() { _ = ft.srv.Serve(ln) }() // ends with the listener
}

// sendUntil sends the same sound request through all gateways until the given time, and
// returns the number of requests by status, zero for none.
func (f *fragileFleet) sendUntil(t *testing.T, end time.Time) map[int]int {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := map[int]int{}
	for n := 0; time.Now().Before(end); n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			reply := f.gateways[n%len(f.gateways)].call(t, "/unsafe/sound", "Id", fmt.Sprint("r", n))
			mu.Lock()
			defer mu.Unlock()
			statuses[reply.status]++
		}()
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	return statuses
}

// checkNoCrash checks that no gateway knows of a crash or refuses a request for one.
func (f *fragileFleet) checkNoCrash(t *testing.T) {
	t.Helper()
	for i, tg := range f.gateways {
		for _, word := range []string{"crash_known", reasonQuarantined} {
			if n := strings.Count(tg.logText(), word); n > 0 {
				t.Errorf("gateway %d: %d lines with %s", i, n, word)
			}
		}
	}
}

// Resets by the network and by targets with too many connections must not convict a
// sound request that many callers repeat.
func TestResetsConvictNoRequest(t *testing.T) {
	const (
		length     = time.Second
		maxRefusal = 300 * time.Millisecond // of new connections at a time
	)
	for seed := range uint64(21) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 11))
			f := newFragileFleet(t, 3, 3)
			f.plain = true
			if seed%3 == 0 {
				f.mu.Lock()
				f.maxConns = 1 + rng.IntN(2)
				f.mu.Unlock()
			}
			end := time.Now().Add(length)
			done := make(chan struct{})
			go func() {
				defer close(done)
				for n := 0; seed%3 > 0 && time.Now().Before(end); n++ {
					time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
					if seed%3 == 1 {
						f.targets[rng.IntN(len(f.targets))].resetConns()
					} else {
						f.targets[n%len(f.targets)].refuse(t, time.Duration(rng.Int64N(int64(maxRefusal))))
					}
				}
			}()
			statuses := f.sendUntil(t, end)
			<-done
			if statuses[502] < 5 && seed%3 < 2 {
				t.Errorf("few requests were reset: by status %v", statuses)
			}
			f.checkNoCrash(t)
		})
	}
}

// A target that leaves and exits with requests under way must not count as crashed.
func TestLeavingTargetConvictsNoRequest(t *testing.T) {
	f := newFragileFleet(t, 3, 3)
	f.plain = true
	go func() {
		for _, ft := range f.targets[:2] {
			time.Sleep(200 * time.Millisecond)
			ft.mu.Lock()
			r := ft.replica()
			ft.mu.Unlock()
			r.State = target.Leaving
			for _, tg := range f.gateways {
				tg.fleet.mu.Lock()
				tg.fleet.upsert(time.Now(), r)
				tg.fleet.mu.Unlock()
			}
			ft.stop()
		}
	}()
	statuses := f.sendUntil(t, time.Now().Add(time.Second))
	if statuses[502] == 0 {
		t.Errorf("no request was cut: by status %v", statuses)
	}
	f.checkNoCrash(t)
}

// A sound request stayed convicted after a network element had refused the connections
// to its targets.
func TestAnswerWithdrawsCrash(t *testing.T) {
	f := newFragileFleet(t, 3, 2)
	f.plain = true
	for i, tg := range f.gateways { // each target is in use by each gateway
		for n := range 8 {
			tg.call(t, "/unsafe/other", "Id", fmt.Sprint("r", i, n))
		}
	}
	for _, ft := range f.targets {
		ft.slow.Store(true)
		go func() {
			time.Sleep(100 * time.Millisecond)
			ft.refuse(t, time.Second)
			ft.slow.Store(false)
		}()
	}
	var wg sync.WaitGroup
	for n := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.gateways[n%len(f.gateways)].call(t, "/unsafe/sound", "Id", fmt.Sprint("r", n))
		}()
	}
	wg.Wait()
	time.Sleep(1500 * time.Millisecond)
	if n := strings.Count(f.gateways[0].logText(), "crash_known"); n == 0 {
		t.Error("no crash was reported")
	}
	for i, tg := range f.gateways {
		for n := range 20 { // to both targets
			tg.call(t, "/unsafe/other", "Id", fmt.Sprint("s", i, n))
		}
		if reply := tg.call(t, "/unsafe/sound"); reply.status != 200 {
			t.Errorf("gateway %d: sound request is answered %d", i, reply.status)
		}
	}
}

// A probe read the target's entry while an update replaced it (found by the race
// detector).
func TestEntryUpdatedDuringProbe(t *testing.T) {
	ft := newFakeTarget(t, "t1", resetAfter(""))
	tg := newTestGateway(t, ft)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 300 {
			tg.fleet.mu.Lock()
			tg.fleet.upsert(time.Now(), target.Replica{ID: "t1", Service: "s", Addr: ft.addr, Zone: "a", Slots: 4, State: target.Live})
			tg.fleet.mu.Unlock()
			time.Sleep(time.Millisecond)
		}
	}()
	for range 3 {
		tg.call(t, "/unsafe/x")
	}
	<-done
	if strings.Contains(tg.logText(), "crash_known") {
		t.Error("a reset counts as a crash")
	}
}
