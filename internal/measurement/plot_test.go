package measurement

import (
	"os"
	"path/filepath"
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotDirVariable names the environment variable with the directory for plots. If
// it is empty, no plots are written.
const plotDirVariable = "MEASUREMENT_PLOTS"

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// runResult is the result of one run.
type runResult struct {
	deployment string
	zipf, load float64
	policy     policy
	summary    summary
}

// plottedMetric is a metric of a summary to plot.
type plottedMetric struct {
	file, label string
	of          func(s summary) float64
}

// plotSteady writes, for each deployment, plots of the metrics against the load at
// a Zipf exponent of 1.
func plotSteady(b *testing.B, points []runResult) {
	dir := os.Getenv(plotDirVariable)
	if dir == "" {
		return
	}
	measures := []plottedMetric{
		{"stall", "p95 of the adapter load stall, s", func(s summary) float64 { return s.p95.Seconds() }},
		{"stalled", "share of calls stalled", func(s summary) float64 { return s.stalled }},
		{"fill", "batch fill while requests wait", func(s summary) float64 { return s.batchFill }},
	}
	for _, d := range []deployment{tessaro, dobrescu} {
		for _, m := range measures {
			plotMetric(b, filepath.Join(dir, d.name+"_"+m.file+".png"), d, m, points)
		}
	}
}

func plotMetric(b *testing.B, path string, d deployment, m plottedMetric, points []runResult) {
	p := plot.New()
	p.Title.Text = d.name + ", Zipf 1.0"
	p.X.Label.Text = "load, share of capacity"
	p.Y.Label.Text = m.label
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	for _, pol := range policies {
		lines = append(lines, string(pol), series(points, d, pol, m))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		b.Fatal(err)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		b.Fatal(err)
	}
}

func series(points []runResult, d deployment, pol policy, m plottedMetric) plotter.XYs {
	var xys plotter.XYs
	for _, pt := range points {
		if pt.deployment == d.name && pt.policy == pol && pt.zipf == 1.0 {
			xys = append(xys, plotter.XY{X: pt.load, Y: m.of(pt.summary)})
		}
	}
	return xys
}
