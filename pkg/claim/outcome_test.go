package claim

import (
	"bytes"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/outcome"
)

func TestRecordOutcome(t *testing.T) {
	convey.Convey("Claim and outcome take one call each, and the answer is replayed", t, func() {
		store := &fakeStore{}
		held, _ := runOperation(store, NewAcquire(claimOf(first, self)))
		_, calls := runOperation(store, NewRecordAnswer(held, Answer{Status: 201, ContentType: "text/plain", Body: []byte("ok")}))
		convey.So(calls, convey.ShouldEqual, 1)
		v, _ := runOperation(store, NewAcquire(claimOf(other, self)))
		convey.So(v.Kind, convey.ShouldEqual, Replay)
		convey.So(v.Record.Answer, convey.ShouldResemble, Answer{Status: 201, ContentType: "text/plain", Body: []byte("ok")})
	})
	convey.Convey("An answer larger than MaxReplayBytes is not stored", t, func() {
		store := &fakeStore{}
		held, _ := runOperation(store, NewAcquire(claimOf(first, self)))
		runOperation(store, NewRecordAnswer(held, Answer{Status: 200, Body: make([]byte, MaxReplayBytes+1)}))
		v, _ := runOperation(store, NewAcquire(claimOf(other, self)))
		convey.So(v.Kind, convey.ShouldEqual, Unknown)
		convey.So(v.Reason, convey.ShouldEqual, outcome.ResultExpired)
	})
	convey.Convey("After a release, a write of the claim that is still in flight conflicts", t, func() {
		store := &fakeStore{}
		op := NewAcquire(claimOf(first, self))
		late, _ := op.Next()
		runOperation(store, NewRelease(claimOf(first, self)))
		convey.So(store.perform(late).Kind, convey.ShouldEqual, Conflict)
		convey.So(store.record.State, convey.ShouldEqual, Void)
	})
	convey.Convey("A run that another process recorded as interrupted can still be answered", t, func() {
		store := &fakeStore{}
		held, _ := runOperation(store, NewAcquire(claimOf(first, self)))
		runOperation(store, NewAcquire(claimOf(other, Writer{Name: "t1", Incarnation: "later"})))
		convey.So(store.record.State, convey.ShouldEqual, Interrupted)
		runOperation(store, NewRecordAnswer(held, Answer{Status: 200}))
		convey.So(store.record.State, convey.ShouldEqual, Answered)
	})
}

func TestVoid(t *testing.T) {
	voidFirst := func(store *fakeStore) Verdict {
		v, _ := runOperation(store, NewVoid(first, testDigest))
		return v
	}
	convey.Convey("An attempt that is voided before its claim never runs", t, func() {
		store := &fakeStore{}
		convey.So(voidFirst(store).Kind, convey.ShouldEqual, NotRun)
		v, _ := runOperation(store, NewAcquire(claimOf(first, self)))
		convey.So(v.Kind, convey.ShouldEqual, NotRun)
		v, _ = runOperation(store, NewAcquire(claimOf(second, self)))
		convey.So(v.Kind, convey.ShouldEqual, Run)
	})
	convey.Convey("A void after the claim reports that the request may have run", t, func() {
		store := &fakeStore{}
		runOperation(store, NewAcquire(claimOf(first, self)))
		convey.So(voidFirst(store).Kind, convey.ShouldEqual, Unknown)
		convey.So(store.record.State, convey.ShouldEqual, Claimed)
	})
	convey.Convey("A void after the answer returns the answer for replay", t, func() {
		store := &fakeStore{}
		held, _ := runOperation(store, NewAcquire(claimOf(first, self)))
		runOperation(store, NewRecordAnswer(held, Answer{Status: 200}))
		convey.So(voidFirst(store).Kind, convey.ShouldEqual, Replay)
	})
	convey.Convey("A void does not change another request's claim", t, func() {
		store := &fakeStore{}
		runOperation(store, NewAcquire(claimOf(other, self)))
		v := voidFirst(store)
		convey.So(v.Kind, convey.ShouldEqual, Unknown)
		convey.So(v.Reason, convey.ShouldEqual, outcome.KeyInProgress)
	})
	convey.Convey("A record with MaxVoided voided attempts takes no more", t, func() {
		store := storeWith(Record{State: Void, Claim: Claim{Digest: testDigest}, Voided: make([]Attempt, MaxVoided)})
		convey.So(voidFirst(store).Kind, convey.ShouldEqual, Unknown)
	})
}

func TestCodec(t *testing.T) {
	convey.Convey("Decode is the inverse of Encode", t, func() {
		r := Record{
			State:  Answered,
			Claim:  claimOf(first, self),
			Voided: []Attempt{second, other},
			Answer: Answer{Status: 200, ContentType: "text/plain", Body: []byte("x")},
			Reason: outcome.EngineFailed,
		}
		got, err := Decode(Encode(r))
		convey.So(err, convey.ShouldBeNil)
		convey.So(got, convey.ShouldResemble, r)
	})
	convey.Convey("Decode rejects bytes that are not a valid record", t, func() {
		for _, b := range [][]byte{nil, {0xff}, Encode(Record{}), Encode(Record{State: stateCount})} {
			_, err := Decode(b)
			convey.So(err, convey.ShouldNotBeNil)
		}
	})
	convey.Convey("Different keys have different names, and different requests different digests", t, func() {
		convey.So(Name("a", "s", "k"), convey.ShouldNotEqual, Name("b", "s", "k"))
		convey.So(Name("a", "s", "k"), convey.ShouldNotEqual, Name("a", "s", "l"))
		convey.So(bytes.Equal(Digest("POST", "/a", nil), Digest("POST", "/", []byte("a"))), convey.ShouldBeFalse)
	})
}

// FuzzDecode checks that no stored bytes make Decode panic, and that it accepts no
// record that it rejects after Encode.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(Record{State: Claimed, Claim: claimOf(first, self)}))
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(b)
		if err != nil {
			return
		}
		if _, err := Decode(Encode(r)); err != nil {
			t.Fatalf("cannot decode a re-encoded record: %v", err)
		}
	})
}
