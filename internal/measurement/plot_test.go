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

// plotDirectory names the environment variable with the directory for plots;
// without it none are written.
const plotDirectory = "MEASUREMENT_PLOTS"

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// point is one measured run.
type point struct {
	deployment string
	zipf, load float64
	policy     policy
	summary    summary
}

// measure is one figure of a summary to plot.
type measure struct {
	file, label string
	of          func(s summary) float64
}

// plotSteady writes, for each deployment, the measures against the load at a
// Zipf exponent of 1.
func plotSteady(b *testing.B, points []point) {
	dir := os.Getenv(plotDirectory)
	if dir == "" {
		return
	}
	measures := []measure{
		{"stall", "p95 of the load stall, s", func(s summary) float64 { return s.p95.Seconds() }},
		{"stalled", "share of calls stalled", func(s summary) float64 { return s.stalled }},
		{"fill", "batch fill while work waits", func(s summary) float64 { return s.fill }},
	}
	for _, d := range []deployment{tessaro, dobrescu} {
		for _, m := range measures {
			plotMeasure(b, filepath.Join(dir, d.name+"_"+m.file+".png"), d, m, points)
		}
	}
}

func plotMeasure(b *testing.B, path string, d deployment, m measure, points []point) {
	p := plot.New()
	p.Title.Text = d.name + ", Zipf 1.0"
	p.X.Label.Text = "load, part of capacity"
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

func series(points []point, d deployment, pol policy, m measure) plotter.XYs {
	var xys plotter.XYs
	for _, pt := range points {
		if pt.deployment == d.name && pt.policy == pol && pt.zipf == 1.0 {
			xys = append(xys, plotter.XY{X: pt.load, Y: m.of(pt.summary)})
		}
	}
	return xys
}
