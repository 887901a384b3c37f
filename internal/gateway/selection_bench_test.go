package gateway

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkFleetChoose measures target selection with as many engines as the
// larger of the users' deployments has, and with as many as the test addresses
// allow.
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
