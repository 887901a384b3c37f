package admission

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// fill admits requests of team until one is rejected, and returns their number.
func fill(l *Limiter, team string) int {
	n := 0
	for l.Admit(team) {
		n++
	}
	return n
}

func TestLimiter(t *testing.T) {
	convey.Convey("Given a limiter of 100 requests", t, func() {
		l := New(100)
		convey.Convey("a burst of one team leaves capacity for others", func() {
			convey.So(fill(l, "noisy"), convey.ShouldEqual, 75)
			convey.So(fill(l, "second"), convey.ShouldEqual, 25)
			convey.So(l.Admit("third"), convey.ShouldBeFalse)
			convey.Convey("and released capacity goes to teams below their share", func() {
				for range 10 {
					l.Release("noisy")
				}
				convey.So(l.Admit("noisy"), convey.ShouldBeFalse)
				convey.So(l.Admit("third"), convey.ShouldBeTrue)
				convey.So(l.Total(), convey.ShouldEqual, 91)
			})
		})
		convey.Convey("a release without an admitted request panics", func() {
			convey.So(func() { l.Release("x") }, convey.ShouldPanic)
		})
	})
	convey.Convey("A limiter of one request admits one", t, func() {
		l := New(1)
		convey.So(fill(l, "a"), convey.ShouldEqual, 1)
	})
}
