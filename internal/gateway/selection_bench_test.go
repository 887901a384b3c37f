package gateway

import (
	"fmt"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
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

// loadedFleet returns engines of which each holds 16 of 10,000 adapters and held some
// before, with loads and learned speeds.
func loadedFleet(now time.Time, engines int) *Fleet {
	f := engineFleet(now, engines)
	for i := range engines {
		t := f.targets[fmt.Sprintf("i-%d", i)]
		for round := range 4 {
			var names []string
			for k := range 16 {
				names = append(names, fmt.Sprintf("a%d", ((i*64+round*16+k)*(k%4*k%4+1))%10000))
			}
			f.applyEngineState(now, t, adapterState(names...))
		}
		f.applyEngineLoad(now, t, peer.EngineLoad{Running: i % 5})
		f.observeLoad(now, t, Load{Running: i % 5, Slots: 4, Slowness: 1.2})
		f.observeReading(now, t, 1000*(i%7), time.Duration(100+40*(i%7))*time.Millisecond)
	}
	return f
}

// BenchmarkFleetChooseLoaded measures target selection for many adapters among engines
// that hold some of them, and for the model alone.
func BenchmarkFleetChooseLoaded(b *testing.B) {
	now := time.Now()
	for _, engines := range []int{18, 40, 350, 600} {
		f := loadedFleet(now, engines)
		calls := make([]*call, 1000)
		for i := range calls {
			calls[i] = callFor(fmt.Sprintf("a%d", i*7%10000))
			for _, t := range f.targets {
				t.loadRequestedAt[calls[i].adapter] = now.Add(time.Hour) // the test connection can't send
			}
		}
		b.Run(fmt.Sprintf("adapters/%d", engines), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				f.choose(now, calls[i%len(calls)])
			}
		})
		b.Run(fmt.Sprintf("model/%d", engines), func(b *testing.B) {
			c := callFor("")
			b.ReportAllocs()
			for b.Loop() {
				f.choose(now, c)
			}
		})
	}
}

// Memory that grows with the number of targets, for each of some hundred choices a second,
// would keep the garbage collector busy on the smallest VMs.
func TestChoiceAllocatesNothing(t *testing.T) {
	now := time.Now()
	for _, engines := range []int{18, 600} {
		f := loadedFleet(now, engines)
		for _, c := range []*call{callFor("a1"), callFor("a9999"), callFor("")} {
			for _, engine := range f.targets {
				engine.loadRequestedAt[c.adapter] = now.Add(time.Hour) // the test connection can't send
			}
			f.choose(now, c)
			// The count is that of the process, so that other goroutines may add to some
			// measurements. An allocation by the choice itself is in all of them.
			n := math.Inf(1)
			for range 5 {
				n = min(n, testing.AllocsPerRun(100, func() { f.choose(now, c) }))
			}
			if n > 0 {
				t.Errorf("%d engines, adapter %q: %v allocations", engines, c.adapter.Name, n)
			}
		}
	}
}
