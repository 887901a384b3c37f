package admission

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func fill(l *Limiter, team string) int {
	n := 0
	for l.Admit(team) {
		n++
	}
	return n
}

func TestLimiter(t *testing.T) {
	convey.Convey("Given a limiter of 100 places", t, func() {
		l := New(100)
		convey.Convey("one team's flood leaves places for others", func() {
			convey.So(fill(l, "flood"), convey.ShouldEqual, 75)
			convey.So(fill(l, "second"), convey.ShouldEqual, 25)
			convey.So(l.Admit("third"), convey.ShouldBeFalse)
			convey.Convey("and places that come free go to teams below their share", func() {
				for range 10 {
					l.Release("flood")
				}
				convey.So(l.Admit("flood"), convey.ShouldBeFalse)
				convey.So(l.Admit("third"), convey.ShouldBeTrue)
				convey.So(l.Total(), convey.ShouldEqual, 91)
			})
		})
		convey.Convey("a release without an admit is a programming error", func() {
			convey.So(func() { l.Release("x") }, convey.ShouldPanic)
		})
	})
	convey.Convey("A limiter of one place works", t, func() {
		l := New(1)
		convey.So(fill(l, "a"), convey.ShouldEqual, 1)
	})
}
