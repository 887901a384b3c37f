package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestBudget(t *testing.T) {
	convey.Convey("With a ratio of 0.1, a service that always fails receives at most 1.1 times the requests plus the burst", t, func() {
		for _, n := range []int{1, 10, 1000, 100000} {
			b := NewBudget(0.1, 10)
			attempts := 0
			for range n {
				attempts++
				b.Deposit()
				for range 3 { // each request has up to three retries
					if b.Withdraw() {
						attempts++
					}
				}
			}
			convey.So(float64(attempts), convey.ShouldBeLessThanOrEqualTo, 1.1*float64(n)+10)
			convey.So(attempts, convey.ShouldBeGreaterThan, n)
		}
	})
	convey.Convey("Requests without failures accumulate no more tokens than the burst", t, func() {
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
	convey.Convey("A budget without a ratio panics", t, func() {
		convey.So(func() { NewBudget(0, 1) }, convey.ShouldPanic)
	})
}

func TestAfter(t *testing.T) {
	convey.Convey("The time follows the rate at which requests leave, within its bounds", t, func() {
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
