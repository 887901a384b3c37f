package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/quarantine"
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

// occupation says what takes the address of a target that has crashed.
type occupation uint8

const (
	nothing       occupation = iota // connections are refused
	otherProcess                    // accepts connections and closes them
	silentNetwork                   // connections are neither accepted nor refused
)

// begin occupies an address until the returned function is called.
func (o occupation) begin(t *testing.T, addr string) (free func()) {
	if o == nothing {
		return func() {}
	}
	ln, err := listenAgain(addr)
	if err != nil {
		t.Error(err)
		return func() {}
	}
	free = func() { _ = ln.Close() }
	if o == otherProcess {
		go func() {
			for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
				_ = c.Close()
			}
		}()
		return free
	}
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Error(err)
		return free
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }) // a queue of one connection
	for err == nil {
		_, err = net.DialTimeout("tcp4", addr, 20*time.Millisecond) // closed with the listener
	}
	return free
}

// TestCrashEvidenceBesideProbes guards against a request that crashes plain targets again and
// again because probes of their addresses show nothing.
func TestCrashEvidenceBesideProbes(t *testing.T) {
	for _, test := range []struct {
		name   string
		occupy occupation
		down   time.Duration
	}{
		{"another process has the address", otherProcess, time.Second},
		{"probes are not answered", silentNetwork, time.Second},
		{"the target is back before the last probe", nothing, 150 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFragileFleet(t, 3, 3)
			f.plain, f.down, f.occupy = true, test.down, test.occupy
			for n := range 6 {
				f.gateways[n%len(f.gateways)].call(t, "/unsafe/deadly")
				time.Sleep(1200 * time.Millisecond)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if len(f.arrived) != 2 {
				t.Errorf("the request reached %d targets, want 2 before it is refused", len(f.arrived))
			}
		})
	}
}

// TestLateCrashEvidence guards against a crash that is not recognised though the target's
// entry, its responses or another entryd show it, and against a sound request that becomes a
// suspect of an end that was no crash.
func TestLateCrashEvidence(t *testing.T) {
	const incarnation = "x/1"
	entry := target.Replica{ID: "x", Service: "s", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "a", Slots: 4, State: target.Live, Started: time.UnixMilli(1)}
	later := entry
	later.ID, later.Started = "y", time.UnixMilli(2)
	restarted := later
	restarted.ID, restarted.Addr = "x", netip.MustParseAddrPort("127.0.0.1:2")
	upsert := func(tg *testGateway, at time.Time, r target.Replica) {
		tg.fleet.mu.Lock()
		defer tg.fleet.mu.Unlock()
		tg.fleet.upsert(at, r)
	}
	remove := func(tg *testGateway, at time.Time) {
		tg.fleet.mu.Lock()
		defer tg.fleet.mu.Unlock()
		tg.fleet.remove(at, tg.fleet.targets["x"], time.Time{})
	}
	for _, test := range []struct {
		name    string
		err     error // of the broken connection
		happens func(tg *testGateway, broken time.Time)
		crash   bool
	}{
		{"a later start at its address", syscall.ECONNRESET, func(tg *testGateway, at time.Time) { upsert(tg, at.Add(4*time.Second), later) }, true},
		{"a later start under its id", io.EOF, func(tg *testGateway, at time.Time) { upsert(tg, at.Add(4*time.Second), restarted) }, true},
		{"its entry is removed", syscall.ECONNRESET, func(tg *testGateway, at time.Time) { remove(tg, at.Add(4*time.Second)) }, true},
		{"a later start after its entry was removed", syscall.ECONNRESET, func(tg *testGateway, at time.Time) {
			tg.gateway.Fleet.onEnded = nil // the first evidence is lost
			remove(tg, at.Add(4*time.Second))
			tg.gateway.Fleet.onEnded = tg.gateway.recordEnded
			upsert(tg, at.Add(5*time.Second), later)
		}, true},
		{"another target answers at its address", syscall.ECONNRESET, func(tg *testGateway, at time.Time) {
			tg.fleet.observeSender(at.Add(time.Second), at, tg.fleet.targets["x"], otherSender)
		}, true},
		{"another entryd knows of the crash", syscall.ECONNRESET, func(tg *testGateway, at time.Time) {
			tg.crashes.applyReport(at.Add(3*time.Second), peer.CrashReport{Engine: incarnation, Fingerprints: [][]byte{make([]byte, 32)}})
		}, true},
		{"nothing was received from it", syscall.ETIMEDOUT, func(tg *testGateway, at time.Time) { upsert(tg, at.Add(4*time.Second), later) }, false},
		{"its response was invalid", errors.New("invalid"), func(tg *testGateway, at time.Time) { upsert(tg, at.Add(4*time.Second), later) }, false},
		{"it has answered since", syscall.ECONNRESET, func(tg *testGateway, at time.Time) {
			tg.crashes.recordAlive(at.Add(time.Second), incarnation)
			upsert(tg, at.Add(4*time.Second), later)
		}, false},
		{"it had announced its end", syscall.ECONNRESET, func(tg *testGateway, at time.Time) {
			leaving := entry
			leaving.State = target.Leaving
			upsert(tg, at.Add(time.Second), leaving)
			remove(tg, at.Add(3*time.Second))
			upsert(tg, at.Add(4*time.Second), later)
		}, false},
		{"the evidence is too late", syscall.ECONNRESET, func(tg *testGateway, at time.Time) { upsert(tg, at.Add(breakRetention), later) }, false},
		{"its entry is written with other data", syscall.ECONNRESET, func(tg *testGateway, at time.Time) {
			other := entry
			other.Version = "v2"
			upsert(tg, at.Add(4*time.Second), other)
		}, false},
	} {
		convey.Convey("Of a crash is evidence: "+test.name, t, func() {
			tg := newTestGateway(t)
			broken := time.Now().Add(-20 * time.Second)
			upsert(tg, broken.Add(-time.Second), entry)
			c := &call{request: tg.requestOf("/unsafe/x")}
			tg.crashes.recordBroken(broken, incarnation, c, nil, test.err)
			test.happens(tg, broken)
			known := func() bool {
				tg.crashes.mu.Lock()
				defer tg.crashes.mu.Unlock()
				return tg.crashes.list.Classify(broken.Add(5*time.Second), fingerprint(c)) == quarantine.Suspect
			}
			if test.crash {
				convey.So(eventually(known), convey.ShouldBeTrue)
				return
			}
			time.Sleep(50 * time.Millisecond)
			convey.So(known(), convey.ShouldBeFalse)
		})
	}
}
