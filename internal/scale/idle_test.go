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

// Times of the experiments without load.
const (
	settleTime    = 5 * time.Second  // until connections are open and initial reads are done
	measureWindow = 15 * time.Second // duration of each measurement
)

// startService starts the stand-in of a plain service and returns its address.
func (f *fleet) startService() netip.AddrPort {
	addr := f.addr(0, 3)
	f.start("service", "standin", addr, "service", "-listen", addr.String())
	f.await("http://" + addr.String() + "/admin/journal")
	return addr
}

// deploy starts targetds that share one plain service as their back end, and
// entryds, and waits until all are ready with a configuration of the given number
// of adapters.
func (f *fleet) deploy(targets, entrydCount, adapters int) (targetds, entryds []*daemon) {
	f.t.Helper()
	service := f.startService()
	for i := 0; i < targets; i++ {
		targetds = append(targetds, f.startTargetd(i, "plain", "fees", service))
	}
	for i := 0; i < entrydCount; i++ {
		entryds = append(entryds, f.startEntryd(i))
	}
	f.accept(0, adapters, 1)
	f.awaitReady(targetds)
	f.awaitReady(entryds)
	return targetds, entryds
}

// openConnections sends six requests for each target through every entryd, so
// that each entryd has opened a connection to nearly every target.
func (f *fleet) openConnections(entryds []*daemon, targets int) {
	f.t.Helper()
	var wg sync.WaitGroup
	for _, e := range entryds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; i < 6*targets; i++ {
				f.sendRequest(e)
			}
		}()
	}
	wg.Wait()
}

// sendRequest sends one request to the plain service and returns the HTTP status,
// or 0 after a failure.
func (f *fleet) sendRequest(e *daemon) int {
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
	_, _ = io.Copy(io.Discard, resp.Body) // lets the connection be reused
	_ = resp.Body.Close()
	return resp.StatusCode
}

// storeCalls returns the number of calls that the platform has answered so far, by
// method and path.
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

// meanPeerBytes returns the mean over the daemons of the bytes that each has
// exchanged with its peers so far, by its metrics.
func (f *fleet) meanPeerBytes(daemons []*daemon) float64 {
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

// idleUsage is the mean resource use of processes that receive no requests.
type idleUsage struct {
	meanUsage
	bytesPerSecond float64 // exchanged with peers
}

// measureIdle measures the daemons for measureWindow.
func (f *fleet) measureIdle(daemons []*daemon) idleUsage {
	f.t.Helper()
	before := f.meanPeerBytes(daemons)
	mean := meanUsageOf(f.t, daemons, measureWindow)
	return idleUsage{meanUsage: mean, bytesPerSecond: (f.meanPeerBytes(daemons) - before) / measureWindow.Seconds()}
}

func (u idleUsage) String() string {
	return fmt.Sprintf("%.3f%% of a core, %.1f MB, %.2f KB/s", u.cores*100, u.residentBytes/1e6, u.bytesPerSecond/1e3)
}

// usageSamples collects the measurements of a linear fit: the independent variable
// and the resource use.
type usageSamples struct {
	x, corePercent, residentMB, peerKBPerSecond []float64
}

func (s *usageSamples) add(x float64, u idleUsage) {
	s.x = append(s.x, x)
	s.corePercent = append(s.corePercent, u.cores*100)
	s.residentMB = append(s.residentMB, u.residentBytes/1e6)
	s.peerKBPerSecond = append(s.peerKBPerSecond, u.bytesPerSecond/1e3)
}

// log prints the linear fits and their values at a size.
func (s *usageSamples) log(t *testing.T, what, unit string, size float64) {
	t.Helper()
	core, resident, bytes := fit(s.x, s.corePercent), fit(s.x, s.residentMB), fit(s.x, s.peerKBPerSecond)
	t.Logf("%s: core %% = %.4f + %.6f/%s; MB = %.2f + %.5f/%s; KB/s = %.3f + %.5f/%s", what,
		core.intercept, core.slope, unit, resident.intercept, resident.slope, unit, bytes.intercept, bytes.slope, unit)
	t.Logf("%s at %.0f %ss: %.2f%% of a core, %.1f MB, %.2f KB/s", what, size, unit, core.valueAt(size), resident.valueAt(size), bytes.valueAt(size))
}

// TestIdleTargets measures idle entryds and their calls to the object API against
// the number of targets that each entryd is connected to.
func TestIdleTargets(t *testing.T) {
	var entrydSamples, storeX, storeY = usageSamples{}, []float64{}, []float64{}
	for _, targets := range []int{15, 45, 90} {
		f := newFleet(t)
		_, entryds := f.deploy(targets, 5, 100)
		f.openConnections(entryds, targets)
		time.Sleep(settleTime)
		calls := f.storeCalls()
		used := f.measureIdle(entryds)
		entrydSamples.add(float64(targets), used)
		after := f.storeCalls()
		t.Logf("%d targets, 5 entryds: entryd %v", targets, used)
		rate := logCalls(t, calls, after)
		storeX, storeY = append(storeX, float64(targets+5)), append(storeY, rate)
		f.killAll()
	}
	entrydSamples.log(t, "entryd idle", "target", 600)
	s := fit(storeX, storeY)
	t.Logf("idle store calls per second: %.3f + %.5f per process; at 950 processes %.1f", s.intercept, s.slope, s.valueAt(950))
}

// logCalls prints the calls per second by method and path and returns their sum.
func logCalls(t *testing.T, before, after map[string]float64) float64 {
	t.Helper()
	var sum float64
	for name, v := range after {
		rate := (v - before[name]) / measureWindow.Seconds()
		if rate == 0 {
			continue
		}
		t.Logf("  store: %-40s %.2f per second", name, rate)
		sum += rate
	}
	return sum
}

// TestIdleEntries measures idle targetds against the number of entryds that
// are connected to each.
func TestIdleEntries(t *testing.T) {
	var samples usageSamples
	for _, entrydCount := range []int{10, 30, 60} {
		f := newFleet(t)
		targetds, entryds := f.deploy(5, entrydCount, 100)
		f.openConnections(entryds, 5)
		time.Sleep(settleTime)
		used := f.measureIdle(targetds)
		samples.add(float64(entrydCount), used)
		t.Logf("%d entryds, 5 targets: targetd %v", entrydCount, used)
		f.killAll()
	}
	samples.log(t, "targetd idle", "entryd", 350)
}

// TestAdapters measures idle entryds and targetds against the number of adapters in
// the configuration.
func TestAdapters(t *testing.T) {
	var entrydSamples, targetdSamples usageSamples
	for _, adapters := range []int{1000, 21000, 63000} {
		f := newFleet(t)
		targetds, entryds := f.deploy(3, 3, adapters)
		time.Sleep(settleTime)
		e, d := f.measureIdle(entryds), f.measureIdle(targetds)
		entrydSamples.add(float64(adapters), e)
		targetdSamples.add(float64(adapters), d)
		t.Logf("%d adapters: entryd %v; targetd %v", adapters, e, d)
		f.killAll()
	}
	entrydSamples.log(t, "entryd", "adapter", 63000)
	targetdSamples.log(t, "targetd", "adapter", 63000)
}
