package gateway

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkFleetChoose measures the choice among the engines of the larger of the
// users' deployments, and among as many as the test addresses allow.
func BenchmarkFleetChoose(b *testing.B) {
	for _, engines := range []int{18, 250} {
		b.Run(strconv.Itoa(engines), func(b *testing.B) {
			now := time.Now()
			f := engineFleet(now, engines)
			c := callFor("a1")
			b.ReportAllocs()
			for b.Loop() {
				f.choose(now, c)
			}
		})
	}
}
