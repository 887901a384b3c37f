//go:build scale

package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

// Times of the idle experiments.
const (
	settle = 5 * time.Second  // for connections and first reads
	window = 15 * time.Second // of each measurement
)

// startService starts the stand-in of a plain service.
func (f *fleet) startService() netip.AddrPort {
	addr := f.addr(0, 3)
	f.start("service", "standin", addr, "service", "-listen", addr.String())
	f.await("http://" + addr.String() + "/admin/journal")
	return addr
}

// deploy starts targetds before one plain service, and entryds, and waits
// until all are ready with a configuration of so many adapters.
func (f *fleet) deploy(targets, entries, adapters int) (targetds, entryds []*daemon) {
	f.t.Helper()
	service := f.startService()
	for i := 0; i < targets; i++ {
		targetds = append(targetds, f.startTarget(i, "plain", "fees", service))
	}
	for i := 0; i < entries; i++ {
		entryds = append(entryds, f.startEntry(i))
	}
	f.accept(0, adapters, 1)
	f.awaitReady(targetds)
	f.awaitReady(entryds)
	return targetds, entryds
}

// touchAll sends enough requests through each entryd that it has opened a
// connection to nearly every target.
func (f *fleet) touchAll(entryds []*daemon, targets int) {
	f.t.Helper()
	var wg sync.WaitGroup
	for _, e := range entryds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; i < 6*targets; i++ {
				f.touch(e)
			}
		}()
	}
	wg.Wait()
}

// touch sends one request to the plain service and reports its HTTP status.
func (f *fleet) touch(e *daemon) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+e.addr.String()+"/services/fees/x", nil)
	if err != nil {
		f.t.Error(err)
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+teamKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Error(err)
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body) // only the status matters
	_ = resp.Body.Close()
	return resp.StatusCode
}

// storeCalls returns the calls that the platform has answered, by method and
// path.
func (f *fleet) storeCalls() map[string]float64 {
	f.t.Helper()
	resp, err := http.Get("http://" + f.platform.String() + "/admin/calls")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	calls := map[string]float64{}
	if err := json.NewDecoder(resp.Body).Decode(&calls); err != nil {
		f.t.Fatal(err)
	}
	return calls
}

// controlBytes returns the bytes that a daemon has written to and read from
// peers so far, by its metrics.
func (f *fleet) controlBytes(daemons []*daemon) float64 {
	f.t.Helper()
	var sum float64
	for _, d := range daemons {
		for name, v := range metricsOf(f.t, d) {
			if strings.Contains(name, "peer_bytes") {
				sum += v
			}
		}
	}
	return sum / float64(len(daemons))
}

// idleCost is what nodes cost while no request flows.
type idleCost struct {
	load
	bytesPerSecond float64
}

func (f *fleet) idleCost(daemons []*daemon) idleCost {
	f.t.Helper()
	before := f.controlBytes(daemons)
	l := loadOf(f.t, daemons, window)
	return idleCost{load: l, bytesPerSecond: (f.controlBytes(daemons) - before) / window.Seconds()}
}

func (c idleCost) String() string {
	return fmt.Sprintf("%.3f%% of a core, %.1f MB, %.2f KB/s", c.coreShare*100, c.resident/1e6, c.bytesPerSecond/1e3)
}

// costLine collects the points of one slope.
type costLine struct {
	x, core, resident, bytes []float64
}

func (l *costLine) add(x float64, c idleCost) {
	l.x = append(l.x, x)
	l.core = append(l.core, c.coreShare*100)
	l.resident = append(l.resident, c.resident/1e6)
	l.bytes = append(l.bytes, c.bytesPerSecond/1e3)
}

// log prints the slopes and what they give at a size.
func (l *costLine) log(t *testing.T, what, unit string, size float64) {
	t.Helper()
	core, resident, bytes := fit(l.x, l.core), fit(l.x, l.resident), fit(l.x, l.bytes)
	t.Logf("%s: core %% = %.4f + %.6f/%s; MB = %.2f + %.5f/%s; KB/s = %.3f + %.5f/%s", what,
		core.at0, core.each, unit, resident.at0, resident.each, unit, bytes.at0, bytes.each, unit)
	t.Logf("%s at %.0f %ss: %.2f%% of a core, %.1f MB, %.2f KB/s", what, size, unit, core.at(size), resident.at(size), bytes.at(size))
}

// TestIdleTargets measures idle nodes against the number of targets that every
// entryd has used, which is the number of its connections.
func TestIdleTargets(t *testing.T) {
	var entryLine, storeX, storeY = costLine{}, []float64{}, []float64{}
	for _, targets := range []int{15, 45, 90} {
		f := newFleet(t)
		_, entryds := f.deploy(targets, 5, 100)
		f.touchAll(entryds, targets)
		time.Sleep(settle)
		calls := f.storeCalls()
		cost := f.idleCost(entryds)
		entryLine.add(float64(targets), cost)
		after := f.storeCalls()
		t.Logf("%d targets, 5 entries: entryd %v", targets, cost)
		rate := logCalls(t, calls, after)
		storeX, storeY = append(storeX, float64(targets+5)), append(storeY, rate)
		f.killAll()
	}
	entryLine.log(t, "entryd idle", "target", 600)
	s := fit(storeX, storeY)
	t.Logf("store calls idle: %.3f + %.5f a process, a second; at 950 processes %.1f a second", s.at0, s.each, s.at(950))
}

// logCalls prints the calls a second by method and path and returns their sum.
func logCalls(t *testing.T, before, after map[string]float64) float64 {
	t.Helper()
	var sum float64
	for name, v := range after {
		rate := (v - before[name]) / window.Seconds()
		if rate == 0 {
			continue
		}
		t.Logf("  store: %-40s %.2f a second", name, rate)
		sum += rate
	}
	return sum
}

// TestIdleEntries measures idle targetds against the number of entryds that
// are connected to each.
func TestIdleEntries(t *testing.T) {
	var line costLine
	for _, entries := range []int{10, 30, 60} {
		f := newFleet(t)
		targetds, entryds := f.deploy(5, entries, 100)
		f.touchAll(entryds, 5)
		time.Sleep(settle)
		cost := f.idleCost(targetds)
		line.add(float64(entries), cost)
		t.Logf("%d entries, 5 targets: targetd %v", entries, cost)
		f.killAll()
	}
	line.log(t, "targetd idle", "entry", 350)
}

// TestAdapters measures nodes against the number of adapters in the
// configuration.
func TestAdapters(t *testing.T) {
	var entryLine, targetLine costLine
	for _, adapters := range []int{1000, 21000, 63000} {
		f := newFleet(t)
		targetds, entryds := f.deploy(3, 3, adapters)
		time.Sleep(settle)
		e, g := f.idleCost(entryds), f.idleCost(targetds)
		entryLine.add(float64(adapters), e)
		targetLine.add(float64(adapters), g)
		t.Logf("%d adapters: entryd %v; targetd %v", adapters, e, g)
		f.killAll()
	}
	entryLine.log(t, "entryd", "adapter", 63000)
	targetLine.log(t, "targetd", "adapter", 63000)
}
