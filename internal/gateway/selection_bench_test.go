package gateway

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkFleetChoose measures target selection with as many engines as the users'
// deployments have, as one that has grown has, and as planned.
func BenchmarkFleetChoose(b *testing.B) {
	for _, engines := range []int{18, 40, 350, 600} {
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
