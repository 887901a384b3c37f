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

// fixedSuspects returns a fixed verdict and counts the calls of Clear.
type fixedSuspects struct {
	verdict quarantine.Verdict
	cleared int
}

func (s *fixedSuspects) Classify(time.Time, quarantine.Request) (quarantine.Verdict, []string) {
	return s.verdict, []string{"t1"}
}

func (s *fixedSuspects) Clear(time.Time, quarantine.Request) { s.cleared++ }

// fixedHandler returns a fixed result and counts the calls.
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
		name    string
		verdict quarantine.Verdict
		key     string
		result  Result
		want    outcome.Outcome
		calls   int
		cleared int
	}{
		{name: "innocent request", result: Result{Outcome: outcome.Answered}, want: outcome.Answered, calls: 1},
		{name: "answered suspect", verdict: quarantine.Suspect, result: Result{Outcome: outcome.Answered}, want: outcome.Answered, calls: 1, cleared: 1},
		{name: "unanswered suspect", verdict: quarantine.Suspect, result: Result{Outcome: outcome.Unknown}, want: outcome.Unknown, calls: 1},
		{name: "convicted request", verdict: quarantine.Convicted, want: outcome.NotRun},
		{name: "convicted request with an idempotency key", verdict: quarantine.Convicted, key: "k", want: outcome.Unknown},
	}
	convey.Convey("The filter rejects convicted requests and clears answered suspects", t, func() {
		for _, test := range tests {
			convey.Convey(test.name, func() {
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

func TestRecordCrash(t *testing.T) {
	convey.Convey("A call is quarantined after two different targets crashed while running it", t, func() {
		c := &Call{}
		crashed := Result{Outcome: outcome.Unknown, Reason: outcome.EngineCrashed}
		lost := Result{Outcome: outcome.Unknown, Reason: outcome.TargetLost}
		refused := rejected(outcome.TargetLost, "never reached")
		convey.So(recordCrash(c, "t0", refused), convey.ShouldResemble, refused)
		convey.So(c.Suspect, convey.ShouldBeFalse)
		convey.So(recordCrash(c, "t1", crashed).Reason, convey.ShouldEqual, outcome.EngineCrashed)
		convey.So(c.Suspect, convey.ShouldBeTrue)
		convey.So(recordCrash(c, "t1", crashed).Reason, convey.ShouldEqual, outcome.EngineCrashed)
		convey.So(recordCrash(c, "t2", lost).Reason, convey.ShouldEqual, outcome.Quarantined)
	})
}
