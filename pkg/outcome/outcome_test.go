package outcome

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestReasonNames(t *testing.T) {
	convey.Convey("Every reason has a unique name, and every one but NoReason an error status", t, func() {
		seen := map[string]Reason{}
		for r := NoReason; r < reasonCount; r++ {
			name := r.String()
			convey.So(name, convey.ShouldNotBeBlank)
			convey.So(seen, convey.ShouldNotContainKey, name)
			seen[name] = r
			if r != NoReason {
				convey.So(r.Status(), convey.ShouldBeBetweenOrEqual, 400, 599)
			}
		}
		convey.So(reasonCount.String(), convey.ShouldEqual, "unrecognised")
	})
}

func TestOutcomeZeroValue(t *testing.T) {
	convey.Convey("The zero value does not report that a request did not run", t, func() {
		var o Outcome
		convey.So(o, convey.ShouldEqual, Unknown)
		convey.So([]string{Answered.String(), NotRun.String(), Unknown.String()},
			convey.ShouldResemble, []string{"answered", "not_run", "unknown"})
	})
}
