//go:build scale

package scale

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// Goals for the time until an accepted configuration is in force in all processes:
// the maximum is the users' goal, the 99th percentile the project's.
const (
	maxPropagation = 9 * time.Second
	p99Propagation = 3 * time.Second
)

// changesPerSize is the number of configuration changes for each fleet size.
const changesPerSize = 10

// revisionOf returns the revision that is in force in a daemon, by its metrics.
func revisionOf(t *testing.T, d *daemon) int {
	t.Helper()
	return int(sumOf(metricsOf(t, d), "borageusher_"+programOf(d)+"_revision"))
}

func programOf(d *daemon) string {
	if d.name[0] == 'e' {
		return "entryd"
	}
	return "targetd"
}

// propagationTimes returns the time from the call until revision is in force, for
// each daemon. It stops waiting after twice maxPropagation.
func propagationTimes(t *testing.T, daemons []*daemon, revision int) []time.Duration {
	t.Helper()
	began := time.Now()
	times := make([]time.Duration, len(daemons))
	var wg sync.WaitGroup
	for i, d := range daemons {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Since(began) < 2*maxPropagation && revisionOf(t, d) < revision {
				time.Sleep(pollInterval)
			}
			times[i] = time.Since(began)
		}()
	}
	wg.Wait()
	return times
}

// TestConfigurationPropagation measures the time until an accepted configuration
// is in force, and the object API calls of one change, against the number of
// processes.
func TestConfigurationPropagation(t *testing.T) {
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = 4
	var x, calls []float64
	for _, targets := range []int{20, 60, 120} {
		f := newFleet(t)
		entrydCount := targets / 2
		targetds, entryds := f.deploy(targets, entrydCount, 3000)
		all := append(append([]*daemon{}, targetds...), entryds...)
		propagationTimes(t, all, 1)
		time.Sleep(settleTime)
		before := sumOf(f.storeCalls(), "")
		var times []time.Duration
		for n := 1; n <= changesPerSize; n++ {
			f.accept(n, 3000, n+1)
			times = append(times, propagationTimes(t, all, n+1)...)
			time.Sleep(time.Second)
		}
		callsPerChange := (sumOf(f.storeCalls(), "") - before) / changesPerSize
		p50, p99, worst := quantile(times, 0.5), quantile(times, 0.99), quantile(times, 1)
		t.Logf("%d processes, %d changes: in force p50 %v p99 %v worst %v; %.1f store calls per change, idle calls of its second included", len(all), changesPerSize, p50, p99, worst, callsPerChange)
		if p99 > p99Propagation || worst > maxPropagation {
			t.Errorf("goals are p99 %v and worst %v", p99Propagation, maxPropagation)
		}
		x, calls = append(x, float64(len(all))), append(calls, callsPerChange)
		f.killAll()
	}
	s := fit(x, calls)
	t.Logf("store calls per change: %.2f + %.4f per process; at 950 processes %.0f", s.intercept, s.slope, s.valueAt(950))
}

// TestRecovery measures the time until no request fails any more after a third of
// the targetds is killed at once.
func TestRecovery(t *testing.T) {
	for _, targets := range []int{15, 30, 60} {
		f := newFleet(t)
		targetds, entryds := f.deploy(targets, 5, 100)
		f.openConnections(entryds, targets)
		killed := time.Now()
		for _, d := range targetds[:targets/3] {
			_ = d.cmd.Process.Kill() // cannot fail, the process is running
		}
		recovered, failures := f.measureRecovery(entryds, killed)
		t.Logf("%d targets, a third killed: %d calls failed, last failure %v after the kill", targets, failures, recovered)
		if recovered > maxPropagation {
			t.Errorf("calls still fail %v after the kill", maxPropagation)
		}
		f.killAll()
	}
}

// measureRecovery sends requests through all entryds until a second after
// maxPropagation has passed since the kill. It returns the time from the kill to
// the last failed call and the number of failed calls.
func (f *fleet) measureRecovery(entryds []*daemon, killed time.Time) (time.Duration, int) {
	f.t.Helper()
	var mu sync.Mutex
	var last time.Duration
	failures := 0
	var wg sync.WaitGroup
	for _, e := range entryds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Since(killed) < maxPropagation+time.Second {
				if f.sendRequest(e) != http.StatusOK {
					mu.Lock()
					failures++
					last = time.Since(killed)
					mu.Unlock()
				}
				time.Sleep(pollInterval)
			}
		}()
	}
	wg.Wait()
	return last, failures
}
