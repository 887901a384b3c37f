package entry

import (
	"context"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/quarantine"
)

// fixedSuspects gives one verdict and counts what is cleared.
type fixedSuspects struct {
	verdict quarantine.Verdict
	cleared int
}

func (s *fixedSuspects) Judge(time.Time, quarantine.Request) (quarantine.Verdict, []string) {
	return s.verdict, []string{"t1"}
}

func (s *fixedSuspects) Clear(time.Time, quarantine.Request) { s.cleared++ }

// fixedHandler gives one result and counts the calls.
type fixedHandler struct {
	result Result
	calls  int
}

func (h *fixedHandler) Handle(context.Context, *Call, time.Time) Result {
	h.calls++
	return h.result
}

func TestQuarantineFilter(t *testing.T) {
	tests := []struct {
		about   string
		verdict quarantine.Verdict
		key     string
		result  Result
		want    outcome.Outcome
		calls   int
		cleared int
	}{
		{about: "an innocent", result: Result{Outcome: outcome.Answered}, want: outcome.Answered, calls: 1},
		{about: "an answered suspect", verdict: quarantine.Suspect, result: Result{Outcome: outcome.Answered}, want: outcome.Answered, calls: 1, cleared: 1},
		{about: "a suspect without an answer", verdict: quarantine.Suspect, result: Result{Outcome: outcome.Unknown}, want: outcome.Unknown, calls: 1},
		{about: "a convicted one", verdict: quarantine.Convicted, want: outcome.NotRun},
		{about: "a convicted one whose key may have run", verdict: quarantine.Convicted, key: "k", want: outcome.Unknown},
	}
	convey.Convey("The filter follows the verdict", t, func() {
		for _, test := range tests {
			convey.Convey(test.about, func() {
				s := &fixedSuspects{verdict: test.verdict}
				next := &fixedHandler{result: test.result}
				c := &Call{Team: &configuration.Team{Name: "t"}, IdempotencyKey: test.key}
				got := quarantineFilter{suspects: s}.Filter(context.Background(), c, time.Now(), next)
				convey.So(got.Outcome, convey.ShouldEqual, test.want)
				convey.So(next.calls, convey.ShouldEqual, test.calls)
				convey.So(s.cleared, convey.ShouldEqual, test.cleared)
			})
		}
	})
}

func TestNoteCrash(t *testing.T) {
	convey.Convey("Two targets that crash with a call in flight are enough", t, func() {
		c := &Call{}
		crashed := Result{Outcome: outcome.Unknown, Reason: outcome.EngineCrashed}
		lost := Result{Outcome: outcome.Unknown, Reason: outcome.TargetLost}
		refused := rejected(outcome.TargetLost, "never reached")
		convey.So(noteCrash(c, "t0", refused), convey.ShouldResemble, refused)
		convey.So(c.Suspect, convey.ShouldBeFalse)
		convey.So(noteCrash(c, "t1", crashed).Reason, convey.ShouldEqual, outcome.EngineCrashed)
		convey.So(c.Suspect, convey.ShouldBeTrue)
		convey.So(noteCrash(c, "t1", crashed).Reason, convey.ShouldEqual, outcome.EngineCrashed)
		convey.So(noteCrash(c, "t2", lost).Reason, convey.ShouldEqual, outcome.Quarantined)
	})
}
