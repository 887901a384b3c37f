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

// ticksPerSecond is the number of clock ticks per second in /proc/PID/stat (USER_HZ).
const ticksPerSecond = 100

// usage is the resource use of a process.
type usage struct {
	cpu           time.Duration // processor time since the start of the process
	residentBytes int64
}

// usageOf reads the resource use of a process from /proc.
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
		cpu:           time.Duration(ticks) * time.Second / ticksPerSecond,
		residentBytes: pages * int64(os.Getpagesize()),
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

// meanUsage is the mean resource use of several processes over a time window.
type meanUsage struct {
	cores         float64 // kept busy by a process
	residentBytes float64 // at the end of the window
}

// meanUsageOf measures the mean resource use of the daemons over a time window.
func meanUsageOf(t *testing.T, daemons []*daemon, window time.Duration) meanUsage {
	t.Helper()
	before := make([]usage, len(daemons))
	for i, d := range daemons {
		before[i] = usageOf(t, d)
	}
	began := time.Now()
	time.Sleep(window)
	took := time.Since(began)
	var mean meanUsage
	for i, d := range daemons {
		after := usageOf(t, d)
		mean.cores += (after.cpu - before[i].cpu).Seconds() / took.Seconds()
		mean.residentBytes += float64(after.residentBytes)
	}
	mean.cores /= float64(len(daemons))
	mean.residentBytes /= float64(len(daemons))
	return mean
}

// line is the line y = intercept + slope*x.
type line struct {
	intercept, slope float64
}

// fit returns the least-squares line through the points (x[i], y[i]).
func fit(x, y []float64) line {
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	return line{intercept: intercept, slope: slope}
}

// valueAt returns the value of the line at x.
func (l line) valueAt(x float64) float64 { return l.intercept + l.slope*x }

// metricsOf returns the values of a daemon's metrics, by name with labels.
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

// sumOf returns the sum of the samples whose name starts with prefix.
func sumOf(samples map[string]float64, prefix string) float64 {
	var sum float64
	for name, v := range samples {
		if strings.HasPrefix(name, prefix) {
			sum += v
		}
	}
	return sum
}
