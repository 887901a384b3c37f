package claim

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/outcome"
)

var (
	first  = Attempt{Request: "r1", Number: 1}
	second = Attempt{Request: "r1", Number: 2}
	other  = Attempt{Request: "r2", Number: 1}
	here   = Writer{Name: "t1", Incarnation: "a"}
	body   = []byte("digest")
)

func claimOf(a Attempt, w Writer) Claim { return Claim{Attempt: a, Writer: w, Digest: body} }

// settle runs op against a store without faults and returns its verdict and
// the number of calls.
func settle(m *memory, op *Operation) (Verdict, int) {
	for calls := 0; ; calls++ {
		c, ok := op.Next()
		if !ok {
			return op.Verdict(), calls
		}
		op.Tell(m.perform(c))
	}
}

func holding1(r Record) *memory { return &memory{record: &r, version: 1, newest: 1} }

func TestTake(t *testing.T) {
	before := Writer{Name: "t1", Incarnation: "earlier"}
	elsewhere := Writer{Name: "t2", Incarnation: "b"}
	cases := []struct {
		name   string
		record Record
		kind   VerdictKind
		reason outcome.Reason
		calls  int
	}{
		{"own claim whose answer was lost", Record{State: Claimed, Claim: claimOf(second, here)}, Run, outcome.NoReason, 2},
		{"earlier attempt not given back", Record{State: Claimed, Claim: claimOf(first, elsewhere)}, Run, outcome.NoReason, 3},
		{"later attempt", Record{State: Claimed, Claim: claimOf(Attempt{"r1", 3}, elsewhere)}, NotRun, outcome.TargetLost, 2},
		{"another request runs", Record{State: Claimed, Claim: claimOf(other, elsewhere)}, Unknown, outcome.KeyInProgress, 2},
		{"this target's earlier process ran it", Record{State: Claimed, Claim: claimOf(other, before)}, Unknown, outcome.TargetLost, 3},
		{"void", Record{State: Void, Claim: claimOf(other, elsewhere)}, Run, outcome.NoReason, 3},
		{"excluded", Record{State: Void, Claim: claimOf(other, elsewhere), Voided: []Attempt{second}}, NotRun, outcome.TargetLost, 2},
		{"answered", Record{State: Answered, Claim: claimOf(other, elsewhere)}, Replay, outcome.NoReason, 2},
		{"answer too large", Record{State: Answered, Claim: claimOf(other, elsewhere), Answer: Answer{Oversize: true}}, Unknown, outcome.ResultExpired, 2},
		{"broken off", Record{State: Broken, Claim: claimOf(other, elsewhere), Reason: outcome.EngineFailed}, Unknown, outcome.EngineFailed, 2},
		{"another body", Record{State: Answered, Claim: Claim{Digest: []byte("x")}}, NotRun, outcome.KeyMismatch, 2},
	}
	convey.Convey("A claim of a free key is one call", t, func() {
		v, calls := settle(&memory{}, NewTake(claimOf(first, here)))
		convey.So(v.Kind, convey.ShouldEqual, Run)
		convey.So(calls, convey.ShouldEqual, 1)
	})
	for _, c := range cases {
		convey.Convey("A claim that finds: "+c.name, t, func() {
			v, calls := settle(holding1(c.record), NewTake(claimOf(second, here)))
			convey.So(v.Kind, convey.ShouldEqual, c.kind)
			convey.So(v.Reason, convey.ShouldEqual, c.reason)
			convey.So(calls, convey.ShouldEqual, c.calls)
		})
	}
	convey.Convey("A claim that takes a record over belongs to the taker alone", t, func() {
		m := holding1(Record{State: Claimed, Claim: claimOf(first, elsewhere)})
		v, _ := settle(m, NewTake(claimOf(second, here)))
		convey.So(v.Kind, convey.ShouldEqual, Run)
		settle(m, NewRelease(claimOf(first, elsewhere)))
		convey.So(m.record.State, convey.ShouldEqual, Claimed)
		convey.So(m.record.Claim.Attempt, convey.ShouldResemble, second)
	})
	convey.Convey("A lost answer leaves the operation open and unsettled", t, func() {
		op := NewTake(claimOf(first, here))
		_, _ = op.Next()
		op.Tell(Reply{Kind: Failed})
		convey.So(op.MayHaveWritten(), convey.ShouldBeTrue)
		call, ok := op.Next()
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(call.Kind, convey.ShouldEqual, Read)
	})
}
