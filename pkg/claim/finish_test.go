package claim

import (
	"bytes"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/outcome"
)

func TestFinish(t *testing.T) {
	convey.Convey("Claim and outcome are two calls together, and the answer is replayed", t, func() {
		m := &memory{}
		held, _ := settle(m, NewTake(claimOf(first, here)))
		_, calls := settle(m, NewFinish(held, Answer{Status: 201, ContentType: "text/plain", Body: []byte("ok")}))
		convey.So(calls, convey.ShouldEqual, 1)
		v, _ := settle(m, NewTake(claimOf(other, here)))
		convey.So(v.Kind, convey.ShouldEqual, Replay)
		convey.So(v.Record.Answer, convey.ShouldResemble, Answer{Status: 201, ContentType: "text/plain", Body: []byte("ok")})
	})
	convey.Convey("A large answer is not kept", t, func() {
		m := &memory{}
		held, _ := settle(m, NewTake(claimOf(first, here)))
		settle(m, NewFinish(held, Answer{Status: 200, Body: make([]byte, MaxReplayBytes+1)}))
		v, _ := settle(m, NewTake(claimOf(other, here)))
		convey.So(v.Kind, convey.ShouldEqual, Unknown)
		convey.So(v.Reason, convey.ShouldEqual, outcome.ResultExpired)
	})
	convey.Convey("A release of a claim that is still under way keeps it from taking effect", t, func() {
		m := &memory{}
		op := NewTake(claimOf(first, here))
		late, _ := op.Next()
		settle(m, NewRelease(claimOf(first, here)))
		convey.So(m.perform(late).Kind, convey.ShouldEqual, Conflict)
		convey.So(m.record.State, convey.ShouldEqual, Void)
	})
	convey.Convey("A run that another process noted as broken off can still be answered", t, func() {
		m := &memory{}
		held, _ := settle(m, NewTake(claimOf(first, here)))
		settle(m, NewTake(claimOf(other, Writer{Name: "t1", Incarnation: "later"})))
		convey.So(m.record.State, convey.ShouldEqual, Broken)
		settle(m, NewFinish(held, Answer{Status: 200}))
		convey.So(m.record.State, convey.ShouldEqual, Answered)
	})
}

func TestVoid(t *testing.T) {
	lost := func(m *memory) Verdict {
		v, _ := settle(m, NewVoid(first, body))
		return v
	}
	convey.Convey("A void before the claim wins", t, func() {
		m := &memory{}
		convey.So(lost(m).Kind, convey.ShouldEqual, NotRun)
		v, _ := settle(m, NewTake(claimOf(first, here)))
		convey.So(v.Kind, convey.ShouldEqual, NotRun)
		v, _ = settle(m, NewTake(claimOf(second, here)))
		convey.So(v.Kind, convey.ShouldEqual, Run)
	})
	convey.Convey("A void after the claim learns that the request may have run", t, func() {
		m := &memory{}
		settle(m, NewTake(claimOf(first, here)))
		convey.So(lost(m).Kind, convey.ShouldEqual, Unknown)
		convey.So(m.record.State, convey.ShouldEqual, Claimed)
	})
	convey.Convey("A void after the answer replays it", t, func() {
		m := &memory{}
		held, _ := settle(m, NewTake(claimOf(first, here)))
		settle(m, NewFinish(held, Answer{Status: 200}))
		convey.So(lost(m).Kind, convey.ShouldEqual, Replay)
	})
	convey.Convey("A void beside another request's claim is no proof", t, func() {
		m := &memory{}
		settle(m, NewTake(claimOf(other, here)))
		v := lost(m)
		convey.So(v.Kind, convey.ShouldEqual, Unknown)
		convey.So(v.Reason, convey.ShouldEqual, outcome.KeyInProgress)
	})
	convey.Convey("A full record takes no more voids", t, func() {
		m := holding1(Record{State: Void, Claim: Claim{Digest: body}, Voided: make([]Attempt, MaxVoided)})
		convey.So(lost(m).Kind, convey.ShouldEqual, Unknown)
	})
}

func TestCodec(t *testing.T) {
	convey.Convey("A record survives encoding", t, func() {
		r := Record{
			State:  Answered,
			Claim:  claimOf(first, here),
			Voided: []Attempt{second, other},
			Answer: Answer{Status: 200, ContentType: "text/plain", Body: []byte("x")},
			Reason: outcome.EngineFailed,
		}
		got, err := Decode(Encode(r))
		convey.So(err, convey.ShouldBeNil)
		convey.So(got, convey.ShouldResemble, r)
	})
	convey.Convey("Other bytes are refused", t, func() {
		for _, b := range [][]byte{nil, {0xff}, Encode(Record{}), Encode(Record{State: stateCount})} {
			_, err := Decode(b)
			convey.So(err, convey.ShouldNotBeNil)
		}
	})
	convey.Convey("Names and digests tell keys and requests apart", t, func() {
		convey.So(Name("a", "s", "k"), convey.ShouldNotEqual, Name("b", "s", "k"))
		convey.So(Name("a", "s", "k"), convey.ShouldNotEqual, Name("a", "s", "l"))
		convey.So(bytes.Equal(Digest("POST", "/a", nil), Digest("POST", "/", []byte("a"))), convey.ShouldBeFalse)
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(Record{State: Claimed, Claim: claimOf(first, here)}))
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(b)
		if err != nil {
			return
		}
		if _, err := Decode(Encode(r)); err != nil {
			t.Fatalf("decoded record does not survive: %v", err)
		}
	})
}
