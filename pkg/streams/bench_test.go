package streams

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/borageusher/borageusher/pkg/placement"
)

// BenchmarkTable measures the memory for each stream in a table.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{1000, 10000, 60000} {
		b.Run(fmt.Sprintf("streams=%d", n), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				t := NewTable(n)
				for i := range n {
					o := Origin{Service: fmt.Sprint("chat", i%2), Version: fmt.Sprint("v", i%2)}
					t.Record(epoch, Key(placement.Mix(uint64(i))), o, epoch.Add(time.Minute))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(t.Len()), "B/stream")
			}
		})
	}
}
