package gateway

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/routing"
	"github.com/borageusher/borageusher/pkg/target"
)

// leavingFleet returns a fleet with a drain time of four seconds and the plain target x,
// which was listed as live at now and announces one second later that it leaves.
func leavingFleet(now time.Time, remaining time.Duration) *Fleet {
	f := NewFleet("a", "north", map[string]string{"a": "north"}, event.Discard())
	f.setDrainTime(4 * time.Second)
	f.cfg = routing.New(1, nil, []routing.Service{{Name: "s"}}, routing.Limits{})
	f.announceLeaving(now, now.Add(time.Second), remaining)
	return f
}

func (f *Fleet) announceLeaving(listedAt, at time.Time, remaining time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := target.Replica{ID: "x", Service: "s", Addr: testAddr(0), Zone: "a", Version: "v1", Slots: 4, State: target.Live, Started: time.UnixMilli(1)}
	if !listedAt.IsZero() {
		f.upsert(listedAt, r)
	}
	r.State, r.Remaining = target.Leaving, remaining
	f.upsert(at, r)
}

func plainCallOfS() *call {
	c := plainCall()
	c.service = "s"
	return c
}

func startedStream() *call {
	c := plainCallOfS()
	c.headerSent, c.softwareVersion = true, "v1"
	return c
}

func furtherAttempt() *call {
	c := plainCallOfS()
	c.attemptsSent = 1
	return c
}

// TestLeavingTargetServes guards against calls that are rejected although a leaving target
// could go on with them, and against requests to a target after its drain time.
func TestLeavingTargetServes(t *testing.T) {
	now := time.Now()
	usableFor := func(f *Fleet, c *call) (last time.Duration) {
		for d := time.Second; d < 6*time.Second; d += 100 * time.Millisecond {
			sel, ok := f.choose(now.Add(d), c)
			if !ok {
				continue
			}
			last = d
			convey.So(f.remainsChosen(now.Add(d), sel, c) && f.stillSuits(now.Add(d), c, sel), convey.ShouldBeTrue)
			convey.So(f.stillSuits(now.Add(5*time.Second), c, sel), convey.ShouldBeFalse)
		}
		return last
	}
	convey.Convey("While no live target can be used", t, func() {
		f := leavingFleet(now, 0)
		convey.Convey("calls that have begun are sent to a leaving one for the drain time since it was last known to stay", func() {
			convey.So(usableFor(f, startedStream()), convey.ShouldEqual, 3400*time.Millisecond)
			convey.So(usableFor(f, furtherAttempt()), convey.ShouldEqual, 3400*time.Millisecond)
			convey.So(f.hasVersionOf(now.Add(3400*time.Millisecond), startedStream()), convey.ShouldBeTrue)
			convey.So(f.hasVersionOf(now.Add(3500*time.Millisecond), startedStream()), convey.ShouldBeFalse)
		})
		convey.Convey("calls that have not begun are not", func() {
			convey.So(usableFor(f, plainCallOfS()), convey.ShouldEqual, 0)
		})
		convey.Convey("nor calls that it refused, or while connections to it fail", func() {
			c := startedStream()
			c.refused["x"] = true
			convey.So(usableFor(f, c), convey.ShouldEqual, 0)
			f.recordConnectFailure(now.Add(3*time.Second), f.targets["x"])
			_, ok := f.choose(now.Add(3*time.Second), startedStream())
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("its backoff delays calls that it may still be sent afterwards", func() {
			f.observeNotice(now, now, f.targets["x"], ResponseMeta{Backoff: 2 * time.Second})
			end, ok := f.backoffEnd(now.Add(time.Second), startedStream())
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(end, convey.ShouldEqual, now.Add(2*time.Second))
			f.observeNotice(now, now, f.targets["x"], ResponseMeta{Backoff: 4 * time.Second})
			_, ok = f.backoffEnd(now.Add(time.Second), startedStream())
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("a live one is preferred, and an avoided one is not", func() {
			f.mu.Lock()
			f.upsert(now, target.Replica{ID: "y", Service: "s", Addr: testAddr(1), Zone: "a", Version: "v1", Slots: 4, State: target.Live, Started: time.UnixMilli(1)})
			f.mu.Unlock()
			at := now.Add(time.Second)
			sel, _ := f.choose(at, startedStream())
			convey.So(sel.replica.ID, convey.ShouldEqual, "y")
			f.recordConnectFailure(at, f.targets["y"])
			sel, _ = f.choose(at, startedStream())
			convey.So(sel.replica.ID, convey.ShouldEqual, "x")
		})
		convey.Convey("the explanation says so", func() {
			var x Explanation
			_, ok := f.explainChoice(now.Add(time.Second), &x, startedStream(), true)
			convey.So(ok && x.Leaving && x.Cautious, convey.ShouldBeTrue)
			convey.So(x.Candidates[0].Obstacle, convey.ShouldBeEmpty)
			convey.So(explanationToJSON(x).Leaving, convey.ShouldBeTrue)
		})
	})
	convey.Convey("A target that is removed at short notice is used for the time that it states", t, func() {
		convey.So(usableFor(leavingFleet(now, 1500*time.Millisecond), startedStream()), convey.ShouldEqual, 1900*time.Millisecond)
	})
	convey.Convey("A target that was first listed as leaving is not used, as it may have left long ago", t, func() {
		f := leavingFleet(now, 0)
		f.targets, f.notices = map[string]*targetState{}, map[target.Incarnation]*targetNotice{}
		f.announceLeaving(time.Time{}, now.Add(time.Second), 0)
		convey.So(usableFor(f, startedStream()), convey.ShouldEqual, 0)
	})
}

// TestServingEvidence guards against a drain time that is counted from the moment at which
// the entryd learned of the end and not from its announcement.
func TestServingEvidence(t *testing.T) {
	now := time.Now()
	at := now.Add(3 * time.Second)
	for name, evidence := range map[string]func(*Fleet, *targetState){
		"a response without a notice to a request sent at that time": func(f *Fleet, x *targetState) {
			f.observeNotice(at.Add(time.Second), at, x, ResponseMeta{Instance: "x"})
		},
		"a report of its engine": func(f *Fleet, x *targetState) {
			f.applyEngineState(at, x, peer.EngineState{Reachable: true, Started: 1})
		},
		"a change of the engine's load": func(f *Fleet, x *targetState) {
			f.applyEngineState(now, x, peer.EngineState{Reachable: true, Started: 1})
			f.applyEngineLoad(at, x, peer.EngineLoad{Running: 1})
			f.applyEngineLoad(at.Add(time.Second), x, peer.EngineLoad{Running: 1}) // may be an old report
		},
		"its entry as of that time": func(f *Fleet, _ *targetState) {
			(&replicaSink{fleet: f}).AsOf(at)
		},
	} {
		convey.Convey("The drain time begins at "+name, t, func() {
			f := leavingFleet(now, 0)
			f.targets, f.notices = map[string]*targetState{}, map[target.Incarnation]*targetNotice{}
			f.mu.Lock()
			f.upsert(now, target.Replica{ID: "x", Service: "s", Addr: testAddr(0), Zone: "a", Version: "v1", Slots: 4, State: target.Live, Started: time.UnixMilli(1)})
			f.mu.Unlock()
			evidence(f, f.targets["x"])
			f.announceLeaving(time.Time{}, at.Add(2*time.Second), 0)
			convey.So(f.targets["x"].notice.servesUntil, convey.ShouldEqual, at.Add(4*time.Second-drainMargin))
		})
	}
}
