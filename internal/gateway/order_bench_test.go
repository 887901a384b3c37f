package gateway

import (
	"testing"
	"time"

	"github.com/borageusher/borageusher/pkg/target"
)

// A call of a service with few targets beside one with many.
func BenchmarkEngineTime(b *testing.B) {
	now := time.Now()
	f := spreadFleet(now, "a", 600, 1)
	for i := range 6 {
		f.upsert(now, target.Replica{ID: "p-" + string(rune('0'+i)), Service: "plain", Addr: testAddr(1000 + i), Zone: "a", Slots: 6, State: target.Live})
	}
	c := callFor("")
	c.service, c.model = "plain", ""
	for b.Loop() {
		f.engineTime(c, 1)
	}
}
