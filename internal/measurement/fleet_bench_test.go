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

// BenchmarkFleetSteady prints the measures of all policies at steady popularity.
func BenchmarkFleetSteady(b *testing.B) {
	for b.Loop() {
		w := newTable()
		for _, d := range []deployment{tessaro, dobrescu} {
			for _, zipf := range []float64{0.8, 1.0, 1.2} {
				for _, load := range []float64{0.5, 0.8, 0.95} {
					for _, p := range policies {
						if os.Getenv("ONLY") != "" && string(p) != os.Getenv("ONLY") {
							continue
						}
						row(w, d, zipf, load, p, play(d, scenario{}, p, zipf, load).summarise(runLength))
					}
				}
			}
		}
		_ = w.Flush()
	}
}

func newTable() *tabwriter.Writer {
	w := tabwriter.NewWriter(os.Stdout, 2, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\ndeployment\tzipf\tload\tpolicy\tp50\tp95\tp99\twait95\tstalled\tbound\tnot run\tfill\trunnable\tloads/s\tservice\tbeyond\tpeak\tover terms")
	return w
}

func row(w *tabwriter.Writer, d deployment, zipf, load float64, p policy, s summary) {
	_, _ = fmt.Fprintf(w, "%s\t%.1f\t%.2f\t%s\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%d\t%d\t%d\n",
		d.name, zipf, load, p, s.p50.Milliseconds(), s.p95.Milliseconds(), s.p99.Milliseconds(), s.wait95.Milliseconds(),
		s.stalled, d.missShare(zipf), s.notRun, s.fill, s.fillRunnable, s.loads, s.service, s.beyond, s.peak, s.overTerms)
}
