package measurement

import (
	"fmt"
	"os"
	"testing"
	"text/tabwriter"
	"time"
)

// Duration of a run, time of the disturbance and random seed.
const (
	runDuration   = 900 * time.Second
	disturbanceAt = 600 * time.Second
	seed          = 1
)

var policies = []policy{policyRandom, policyLeastLoaded, policyRendezvous, policyBorageusher}

// simulate runs a policy on a deployment and returns the fleet after the run. zipf is
// the exponent of the adapters' Zipf popularity, load the request rate as a share of
// the deployment's capacity.
func simulate(d deployment, sc scenario, p policy, zipf, load float64) *fleet {
	f := newFleet(d, sc, p, seed)
	f.run(generate(d, sc, zipf, load, runDuration, seed), runDuration)
	return f
}

// scenarios are the disturbances of BenchmarkFleetDisturbed.
var scenarios = []scenario{
	{name: "popularity shift", shift: true, disturbanceAt: disturbanceAt},
	{name: "cold restart", restart: true, disturbanceAt: disturbanceAt},
	{name: "store rate halved", halfRate: true, disturbanceAt: disturbanceAt},
	{name: "one team floods", flood: true, disturbanceAt: disturbanceAt},
	{name: "allocator unreachable", allocatorUnreachable: true},
}

// BenchmarkFleetSteady prints the metrics of all policies under steady popularity.
func BenchmarkFleetSteady(b *testing.B) {
	for b.Loop() {
		w := newTable()
		var points []runResult
		for _, d := range []deployment{tessaro, dobrescu} {
			for _, zipf := range []float64{0.8, 1.0, 1.2} {
				for _, load := range []float64{0.5, 0.8, 0.95} {
					for _, p := range policies {
						s := simulate(d, scenario{}, p, zipf, load).summarise(runDuration)
						writeRow(w, d.name, zipf, load, p, d.missShare(zipf), s)
						points = append(points, runResult{d.name, zipf, load, p, s})
					}
				}
			}
		}
		flush(b, w)
		plotSteady(b, points)
	}
}

// BenchmarkFleetDisturbed prints the metrics for each disturbance, and how long the
// share of stalled calls takes to recover to its steady value.
func BenchmarkFleetDisturbed(b *testing.B) {
	for b.Loop() {
		w := newTable()
		recovery := tabwriter.NewWriter(os.Stdout, 2, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(recovery, "\ndeployment\tscenario\tpolicy\tsteady stalled\trecovery to within a tenth\tsteady wait p95\twait p95 after")
		for _, d := range []deployment{tessaro, dobrescu} {
			for _, sc := range scenarios {
				for _, p := range policies {
					f := simulate(d, sc, p, 1.0, 0.5)
					writeRow(w, d.name+", "+sc.name, 1.0, 0.5, p, d.missShare(1.0), f.summarise(runDuration))
					writeRecoveryRow(recovery, d, sc, p, f)
				}
			}
		}
		flush(b, w)
		flush(b, recovery)
	}
}

// BenchmarkFleetCosts prints the metrics for several values of the stall cost.
func BenchmarkFleetCosts(b *testing.B) {
	for b.Loop() {
		w := newTable()
		for _, d := range []deployment{tessaro, dobrescu} {
			for _, stall := range []float64{0.25, 1, 4, 16} {
				d.costs.Stall = stall
				name := fmt.Sprintf("%s, stall cost %g", d.name, stall)
				writeRow(w, name, 1.2, 0.5, policyBorageusher, d.missShare(1.2), simulate(d, scenario{}, policyBorageusher, 1.2, 0.5).summarise(runDuration))
			}
		}
		flush(b, w)
	}
}

// writeRecoveryRow writes the metrics before and after the disturbance, or nothing if
// the scenario has no disturbanceAt. The waits exclude the calls of guest1, the
// flooding team.
func writeRecoveryRow(w *tabwriter.Writer, d deployment, sc scenario, p policy, f *fleet) {
	if sc.disturbanceAt == 0 {
		return
	}
	before := f.metrics.arrivedBetween(warmUp, disturbanceAt)
	after := f.metrics.arrivedBetween(disturbanceAt, runDuration)
	at, _ := recoveryTime(&f.metrics, share(before, isStalled))
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%s\t%d\t%d\n", d.name, sc.name, p, share(before, isStalled), at,
		percentile(excludeTeam(before, "guest1"), 0.95, waitOf).Milliseconds(),
		percentile(excludeTeam(after, "guest1"), 0.95, waitOf).Milliseconds())
}

func excludeTeam(samples []sample, team string) []sample {
	var out []sample
	for _, s := range samples {
		if s.team != team {
			out = append(out, s)
		}
	}
	return out
}

// recoveryWindow is the length of the windows for which recoveryTime computes the
// share of stalled calls.
const recoveryWindow = 30 * time.Second

// recoveryTime returns the time from the disturbance to the start of the first window
// whose share of stalled calls exceeds steady by at most a tenth, and false if there
// is none. A window starts every 10 s.
func recoveryTime(m *metrics, steady float64) (time.Duration, bool) {
	for at := disturbanceAt; at+recoveryWindow <= runDuration; at += 10 * time.Second {
		if share(m.arrivedBetween(at, at+recoveryWindow), isStalled) <= 1.1*steady {
			return at - disturbanceAt, true
		}
	}
	return runDuration, false
}

func newTable() *tabwriter.Writer {
	w := tabwriter.NewWriter(os.Stdout, 2, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\ndeployment\tzipf\tload\tpolicy\tp50\tp95\tp99\twait p95\tstalled\tmiss share\tnot run\tfill\tfill runnable\tloads/s\tservice ratio\tover rate\tpeak loads\tover quota")
	return w
}

func flush(b *testing.B, w *tabwriter.Writer) {
	if err := w.Flush(); err != nil {
		b.Fatal(err)
	}
}

func writeRow(w *tabwriter.Writer, name string, zipf, load float64, p policy, missShare float64, s summary) {
	_, _ = fmt.Fprintf(w, "%s\t%.1f\t%.2f\t%s\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%d\t%d\t%d\n",
		name, zipf, load, p, s.p50.Milliseconds(), s.p95.Milliseconds(), s.p99.Milliseconds(), s.waitP95.Milliseconds(),
		s.stalled, missShare, s.notRun, s.batchFill, s.batchFillRunnable, s.loadsPerSecond, s.leastServiceRatio, s.rateViolations, s.peakLoadsInFlight, s.quotaViolations)
}
