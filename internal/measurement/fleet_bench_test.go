package measurement

import (
	"fmt"
	"os"
	"testing"
	"text/tabwriter"
	"time"
)

// Lengths of a run.
const (
	runLength = 900 * time.Second
	disturbed = 600 * time.Second
	seed      = 1
)

var policies = []policy{policyRandom, policyLeast, policyRendezvous, policyOwn}

// play runs one policy and returns the fleet after the run.
func play(d deployment, sc scenario, p policy, zipf, load float64) *fleet {
	f := newFleet(d, sc, p, seed)
	f.run(generate(d, sc, zipf, load, runLength, seed), runLength)
	return f
}

// Scenarios beyond steady popularity.
var scenarios = []scenario{
	{name: "popularity shift", shift: true, disturbed: disturbed},
	{name: "cold restart", restart: true, disturbed: disturbed},
	{name: "store rate halved", halfRate: true, disturbed: disturbed},
	{name: "one team floods", flood: true, disturbed: disturbed},
	{name: "cut off from the granter", cutOff: true},
}

// BenchmarkFleetSteady prints the measures of all policies at steady popularity.
func BenchmarkFleetSteady(b *testing.B) {
	for b.Loop() {
		w := newTable()
		var points []point
		for _, d := range []deployment{tessaro, dobrescu} {
			for _, zipf := range []float64{0.8, 1.0, 1.2} {
				for _, load := range []float64{0.5, 0.8, 0.95} {
					for _, p := range policies {
						s := play(d, scenario{}, p, zipf, load).summarise(runLength)
						row(w, d.name, zipf, load, p, d.missShare(zipf), s)
						points = append(points, point{d.name, zipf, load, p, s})
					}
				}
			}
		}
		flush(b, w)
		plotSteady(b, points)
	}
}

// BenchmarkFleetDisturbed prints the measures after each disturbance, and how
// long the share of stalled calls takes to come back to its steady value.
func BenchmarkFleetDisturbed(b *testing.B) {
	for b.Loop() {
		w := newTable()
		recovery := tabwriter.NewWriter(os.Stdout, 2, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(recovery, "\ndeployment\tscenario\tpolicy\tsteady stalled\tback within a tenth after\tsteady wait95\twait95 after")
		for _, d := range []deployment{tessaro, dobrescu} {
			for _, sc := range scenarios {
				for _, p := range policies {
					f := play(d, sc, p, 1.0, 0.5)
					row(w, d.name+", "+sc.name, 1.0, 0.5, p, d.missShare(1.0), f.summarise(runLength))
					rowRecovery(recovery, d, sc, p, f)
				}
			}
		}
		flush(b, w)
		flush(b, recovery)
	}
}

// BenchmarkFleetCosts prints what the cost of a stall changes.
func BenchmarkFleetCosts(b *testing.B) {
	for b.Loop() {
		w := newTable()
		for _, d := range []deployment{tessaro, dobrescu} {
			for _, stall := range []float64{0.25, 1, 4, 16} {
				d.costs.Stall = stall
				name := fmt.Sprintf("%s, stall cost %g", d.name, stall)
				row(w, name, 1.2, 0.5, policyOwn, d.missShare(1.2), play(d, scenario{}, policyOwn, 1.2, 0.5).summarise(runLength))
			}
		}
		flush(b, w)
	}
}

// rowRecovery prints how calls fare before and after the disturbance. The flooding
// team's own calls are left out of the waits.
func rowRecovery(w *tabwriter.Writer, d deployment, sc scenario, p policy, f *fleet) {
	if sc.disturbed == 0 {
		return
	}
	before := f.m.between(warmUp, disturbed)
	after := f.m.between(disturbed, runLength)
	at, _ := recoveryTime(&f.m, share(before, isStalled))
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%s\t%d\t%d\n", d.name, sc.name, p, share(before, isStalled), at,
		percentile(without(before, "guest1"), 0.95, waitOf).Milliseconds(),
		percentile(without(after, "guest1"), 0.95, waitOf).Milliseconds())
}

func without(samples []sample, team string) []sample {
	var out []sample
	for _, s := range samples {
		if s.team != team {
			out = append(out, s)
		}
	}
	return out
}

// recoveryWindow is the time over which a share of stalled calls is taken.
const recoveryWindow = 30 * time.Second

// recoveryTime returns when, after the disturbance, the first window of calls
// begins whose share of stalled calls is within a tenth of steady, and false if
// none does.
func recoveryTime(m *metrics, steady float64) (time.Duration, bool) {
	for at := disturbed; at+recoveryWindow <= runLength; at += 10 * time.Second {
		if share(m.between(at, at+recoveryWindow), isStalled) <= 1.1*steady {
			return at - disturbed, true
		}
	}
	return runLength, false
}

func newTable() *tabwriter.Writer {
	w := tabwriter.NewWriter(os.Stdout, 2, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\ndeployment\tzipf\tload\tpolicy\tp50\tp95\tp99\twait95\tstalled\tbound\tnot run\tfill\trunnable\tloads/s\tservice\tbeyond\tpeak\tover terms")
	return w
}

func flush(b *testing.B, w *tabwriter.Writer) {
	if err := w.Flush(); err != nil {
		b.Fatal(err)
	}
}

func row(w *tabwriter.Writer, name string, zipf, load float64, p policy, bound float64, s summary) {
	_, _ = fmt.Fprintf(w, "%s\t%.1f\t%.2f\t%s\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%d\t%d\t%d\n",
		name, zipf, load, p, s.p50.Milliseconds(), s.p95.Milliseconds(), s.p99.Milliseconds(), s.wait95.Milliseconds(),
		s.stalled, bound, s.notRun, s.fill, s.fillRunnable, s.loads, s.service, s.beyond, s.peak, s.overTerms)
}
