package claim

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/outcome"
)

var (
	first      = Attempt{Request: "r1", Number: 1}
	second     = Attempt{Request: "r1", Number: 2}
	other      = Attempt{Request: "r2", Number: 1}
	self       = Writer{Name: "t1", Incarnation: "a"}
	testDigest = []byte("digest")
)

func claimOf(a Attempt, w Writer) Claim { return Claim{Attempt: a, Writer: w, Digest: testDigest} }

// runOperation runs op to its end against a store without faults. It returns the
// verdict and the number of calls.
func runOperation(store *fakeStore, op *Operation) (Verdict, int) {
	for calls := 0; ; calls++ {
		c, ok := op.Next()
		if !ok {
			return op.Verdict(), calls
		}
		op.ApplyReply(store.perform(c))
	}
}

// storeWith returns a store that holds r as version 1.
func storeWith(r Record) *fakeStore { return &fakeStore{record: &r, version: 1, newest: 1} }

func TestAcquire(t *testing.T) {
	earlierIncarnation := Writer{Name: "t1", Incarnation: "earlier"}
	otherWriter := Writer{Name: "t2", Incarnation: "b"}
	cases := []struct {
		name   string
		record Record
		kind   VerdictKind
		reason outcome.Reason
		calls  int
	}{
		{"own claim whose write got no response", Record{State: Claimed, Claim: claimOf(second, self)}, Run, outcome.NoReason, 2},
		{"claim of an earlier attempt that was not released", Record{State: Claimed, Claim: claimOf(first, otherWriter)}, Run, outcome.NoReason, 3},
		{"claim of a later attempt", Record{State: Claimed, Claim: claimOf(Attempt{"r1", 3}, otherWriter)}, NotRun, outcome.TargetLost, 2},
		{"claim of another request", Record{State: Claimed, Claim: claimOf(other, otherWriter)}, Unknown, outcome.KeyInProgress, 2},
		{"claim of an earlier incarnation of the same target", Record{State: Claimed, Claim: claimOf(other, earlierIncarnation)}, Unknown, outcome.TargetLost, 3},
		{"void", Record{State: Void, Claim: claimOf(other, otherWriter)}, Run, outcome.NoReason, 3},
		{"attempt voided", Record{State: Void, Claim: claimOf(other, otherWriter), Voided: []Attempt{second}}, NotRun, outcome.TargetLost, 2},
		{"answered", Record{State: Answered, Claim: claimOf(other, otherWriter)}, Replay, outcome.NoReason, 2},
		{"answered, body not stored", Record{State: Answered, Claim: claimOf(other, otherWriter), Answer: Answer{BodyOmitted: true}}, Unknown, outcome.ResultExpired, 2},
		{"run ended without an answer", Record{State: Interrupted, Claim: claimOf(other, otherWriter), Reason: outcome.EngineFailed}, Unknown, outcome.EngineFailed, 2},
		{"record of a different request", Record{State: Answered, Claim: Claim{Digest: []byte("x")}}, NotRun, outcome.KeyMismatch, 2},
	}
	convey.Convey("A claim of an unused key takes one call", t, func() {
		v, calls := runOperation(&fakeStore{}, NewAcquire(claimOf(first, self)))
		convey.So(v.Kind, convey.ShouldEqual, Run)
		convey.So(calls, convey.ShouldEqual, 1)
	})
	for _, c := range cases {
		convey.Convey("Claim of a key whose record is: "+c.name, t, func() {
			v, calls := runOperation(storeWith(c.record), NewAcquire(claimOf(second, self)))
			convey.So(v.Kind, convey.ShouldEqual, c.kind)
			convey.So(v.Reason, convey.ShouldEqual, c.reason)
			convey.So(calls, convey.ShouldEqual, c.calls)
		})
	}
	convey.Convey("The previous holder cannot release a claim that was taken over", t, func() {
		store := storeWith(Record{State: Claimed, Claim: claimOf(first, otherWriter)})
		v, _ := runOperation(store, NewAcquire(claimOf(second, self)))
		convey.So(v.Kind, convey.ShouldEqual, Run)
		runOperation(store, NewRelease(claimOf(first, otherWriter)))
		convey.So(store.record.State, convey.ShouldEqual, Claimed)
		convey.So(store.record.Claim.Attempt, convey.ShouldResemble, second)
	})
	convey.Convey("After a lost response the operation reads the record back", t, func() {
		op := NewAcquire(claimOf(first, self))
		_, _ = op.Next()
		op.ApplyReply(Reply{Kind: Failed})
		convey.So(op.MayHaveWritten(), convey.ShouldBeTrue)
		call, ok := op.Next()
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(call.Kind, convey.ShouldEqual, Read)
	})
}
