//go:build scale

package scale

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// Goals of the users and of the project for an accepted configuration to be in
// force everywhere.
const (
	worstInForce = 9 * time.Second
	p99InForce   = 3 * time.Second
)

// changes is the number of changes that are accepted for each size.
const changes = 10

// revisionOf returns the revision that is in force at a daemon, by its metrics.
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

// inForceTimes returns how long each daemon took until revision was in force.
func inForceTimes(t *testing.T, daemons []*daemon, revision int) []time.Duration {
	t.Helper()
	began := time.Now()
	times := make([]time.Duration, len(daemons))
	var wg sync.WaitGroup
	for i, d := range daemons {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Since(began) < 2*worstInForce && revisionOf(t, d) < revision {
				time.Sleep(pollPause)
			}
			times[i] = time.Since(began)
		}()
	}
	wg.Wait()
	return times
}

// TestSpread measures the time from acceptance to in force, and the processor
// time and the store calls of one change, against the number of processes.
func TestSpread(t *testing.T) {
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = 4
	var x, calls []float64
	for _, targets := range []int{20, 60, 120} {
		f := newFleet(t)
		entries := targets / 2
		targetds, entryds := f.deploy(targets, entries, 3000)
		all := append(append([]*daemon{}, targetds...), entryds...)
		inForceTimes(t, all, 1)
		time.Sleep(settle)
		before := sumOf(f.storeCalls(), "")
		var times []time.Duration
		for n := 1; n <= changes; n++ {
			f.accept(n, 3000, n+1)
			times = append(times, inForceTimes(t, all, n+1)...)
			time.Sleep(time.Second)
		}
		each := (sumOf(f.storeCalls(), "") - before) / changes
		p50, p99, worst := quantile(times, 0.5), quantile(times, 0.99), quantile(times, 1)
		t.Logf("%d processes, %d changes: in force p50 %v p99 %v worst %v; %.1f store calls a change and second", len(all), changes, p50, p99, worst, each)
		if p99 > p99InForce || worst > worstInForce {
			t.Errorf("goals are %v at p99 and %v at worst", p99InForce, worstInForce)
		}
		x, calls = append(x, float64(len(all))), append(calls, each)
		f.killAll()
	}
	s := fit(x, calls)
	t.Logf("store calls a change: %.2f + %.4f a process; at 950 processes %.0f", s.at0, s.each, s.at(950))
}

// TestRecovery measures how long it takes until requests are answered again
// after a third of the targetds was killed at once.
func TestRecovery(t *testing.T) {
	for _, targets := range []int{15, 30, 60} {
		f := newFleet(t)
		targetds, entryds := f.deploy(targets, 5, 100)
		f.touchAll(entryds, targets)
		killed := time.Now()
		for _, d := range targetds[:targets/3] {
			_ = d.cmd.Process.Kill() // it runs
		}
		recovered, failures := f.recover(entryds, killed)
		t.Logf("%d targets, a third killed: %d calls failed, last failure %v after the kill", targets, failures, recovered)
		if recovered > worstInForce {
			t.Errorf("calls still failed after %v", worstInForce)
		}
		f.killAll()
	}
}

// recover calls through all entryds for a while and returns when the last call
// failed, after the kill, and how many did.
func (f *fleet) recover(entryds []*daemon, killed time.Time) (time.Duration, int) {
	f.t.Helper()
	var mu sync.Mutex
	var last time.Duration
	failures := 0
	var wg sync.WaitGroup
	for _, e := range entryds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Since(killed) < worstInForce+time.Second {
				if f.touch(e) != http.StatusOK {
					mu.Lock()
					failures++
					last = time.Since(killed)
					mu.Unlock()
				}
				time.Sleep(pollPause)
			}
		}()
	}
	wg.Wait()
	return last, failures
}
