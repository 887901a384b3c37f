package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestBudget(t *testing.T) {
	convey.Convey("A service that always fails is hit by its traffic, a tenth more, and the burst", t, func() {
		for _, n := range []int{1, 10, 1000, 100000} {
			b := NewBudget(0.1, 10)
			hits := 0
			for range n {
				hits++
				b.Deposit()
				for range 3 { // each request would be retried three times
					if b.Withdraw() {
						hits++
					}
				}
			}
			convey.So(float64(hits), convey.ShouldBeLessThanOrEqualTo, 1.1*float64(n)+10)
			convey.So(hits, convey.ShouldBeGreaterThan, n)
		}
	})
	convey.Convey("Traffic without failures saves up no more than the burst", t, func() {
		b := NewBudget(0.1, 10)
		for range 100000 {
			b.Deposit()
		}
		taken := 0
		for b.Withdraw() {
			taken++
		}
		convey.So(taken, convey.ShouldEqual, 10)
	})
	convey.Convey("A budget without a ratio is a programming error", t, func() {
		convey.So(func() { NewBudget(0, 1) }, convey.ShouldPanic)
	})
}

func TestAfter(t *testing.T) {
	convey.Convey("The advice follows the rate at which requests leave", t, func() {
		var m Mean
		convey.So(m.Value(), convey.ShouldEqual, 0)
		for range 200 {
			m.Observe(4 * time.Second)
		}
		convey.So(m.Value(), convey.ShouldEqual, 4*time.Second)
		convey.So(After(5, 10, m.Value()), convey.ShouldEqual, 2*time.Second)
		convey.So(After(1, 1000, m.Value()), convey.ShouldEqual, MinAfter)
		convey.So(After(1000, 1, m.Value()), convey.ShouldEqual, MaxAfter)
		convey.So(After(3, 0, m.Value()), convey.ShouldEqual, MinAfter)
	})
}

func ExampleAfter() {
	fmt.Println(After(30, 40, 8*time.Second))
	// Output: 6s
}
