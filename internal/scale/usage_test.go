//go:build scale

package scale

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"
)

// ticksPerSecond is the unit of the kernel's processor time in /proc.
const ticksPerSecond = 100

// usage is what a process has used.
type usage struct {
	cpu      time.Duration // since its start
	resident int64         // bytes
}

// usageOf reads a process's usage.
func usageOf(t *testing.T, d *daemon) usage {
	t.Helper()
	pid := d.cmd.Process.Pid
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+2:]))
	ticks := atoi(t, fields[11]) + atoi(t, fields[12])
	pages := atoi(t, fields[21])
	return usage{
		cpu:      time.Duration(ticks) * time.Second / ticksPerSecond,
		resident: pages * int64(os.Getpagesize()),
	}
}

func atoi(t *testing.T, s string) int64 {
	t.Helper()
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// load is the mean use of several processes over a time.
type load struct {
	coreShare float64 // of one core
	resident  float64 // bytes
}

// loadOf measures the mean load of a process over a time.
func loadOf(t *testing.T, daemons []*daemon, window time.Duration) load {
	t.Helper()
	before := make([]usage, len(daemons))
	for i, d := range daemons {
		before[i] = usageOf(t, d)
	}
	began := time.Now()
	time.Sleep(window)
	took := time.Since(began)
	var l load
	for i, d := range daemons {
		after := usageOf(t, d)
		l.coreShare += (after.cpu - before[i].cpu).Seconds() / took.Seconds()
		l.resident += float64(after.resident)
	}
	l.coreShare /= float64(len(daemons))
	l.resident /= float64(len(daemons))
	return l
}

// slope is a line through measured points.
type slope struct {
	at0, each float64
}

// fit returns the least-squares line through points.
func fit(x, y []float64) slope {
	at0, each := stat.LinearRegression(x, y, nil, false)
	return slope{at0: at0, each: each}
}

// at returns the line's value at x.
func (s slope) at(x float64) float64 { return s.at0 + s.each*x }

// metricsOf returns the samples of a daemon's metrics, by name with labels.
func metricsOf(t *testing.T, d *daemon) map[string]float64 {
	t.Helper()
	resp, err := http.Get("http://" + d.addr.String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]float64{}
	for _, line := range strings.Split(string(data), "\n") {
		i := strings.LastIndexByte(line, ' ')
		if i < 0 || line[0] == '#' {
			continue
		}
		if v, err := strconv.ParseFloat(line[i+1:], 64); err == nil {
			out[line[:i]] = v
		}
	}
	return out
}

// sumOf adds up the samples whose name starts with prefix.
func sumOf(samples map[string]float64, prefix string) float64 {
	var sum float64
	for name, v := range samples {
		if strings.HasPrefix(name, prefix) {
			sum += v
		}
	}
	return sum
}
