package gateway

import (
	"testing"
	"time"
)

// BenchmarkChoose measures the choice among the engines of the larger of the
// users' deployments.
func BenchmarkChoose(b *testing.B) {
	now := time.Now()
	f := engineFleet(now, 18)
	c := callFor("a1")
	b.ReportAllocs()
	for b.Loop() {
		f.choose(now, c)
	}
}
