package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

var start = time.Unix(1000, 0)

// source sends requests of one workspace.
type source struct {
	name      string
	perSecond float64
	repeats   bool // a rejected request is sent again at the next step

	pending, sent, served int
	usedTime              time.Duration
}

// replay runs sources in steps of 5 ms against engines that do `capacity` of engine time
// in that time. Requests of workspaces above their share are rejected while the backlog
// exceeds `busy`, all above four times that.
func replay(seed uint64, s *Shares, from time.Time, length time.Duration, capacity float64, sources []*source) time.Time {
	const step, busy = 5 * time.Millisecond, 250 * time.Millisecond
	r := rand.New(rand.NewPCG(seed, 1))
	backlog := time.Duration(0)
	now := from
	for ; now.Before(from.Add(length)); now = now.Add(step) {
		backlog = max(0, backlog-time.Duration(capacity*float64(step)))
		for _, i := range r.Perm(len(sources)) {
			w := sources[i]
			n := w.pending
			w.pending = 0
			if r.Float64() < w.perSecond*step.Seconds() {
				n++
				w.sent++
			}
			for range n {
				cost := time.Duration(10+r.IntN(30)) * time.Millisecond
				s.Offer(now, w.name, cost)
				standing := s.Standing(now, w.name)
				if backlog > 4*busy || (backlog > busy && standing == Above) {
					if w.repeats {
						w.pending++
					}
					continue
				}
				s.Use(now, w.name, cost)
				backlog += cost
				w.served++
				w.usedTime += cost
			}
		}
	}
	return now
}

// The workload of the package: without shares, all workspaces are served as rarely as the
// one that sends 8 times its usual load.
func TestBusyWorkspace(t *testing.T) {
	for _, c := range []struct {
		capacity float64 // of the usual load of all
		repeats  bool
		others   float64 // least fraction of the others' requests that are served
	}{
		{1.3, false, 0.97}, {1.3, true, 0.97}, {1.05, false, 0.9},
	} {
		t.Run(fmt.Sprint(c.capacity, c.repeats), func(t *testing.T) {
			for seed := range uint64(5) {
				sources := []*source{{name: "busy", perSecond: 8 * 2.5, repeats: c.repeats}}
				for i := range 15 {
					sources = append(sources, &source{name: fmt.Sprint("w", i), perSecond: 2.5})
				}
				replay(seed, New(), start, time.Minute, c.capacity*16*2.5*0.0245, sources)
				all, allServed, least := 0, 0, 1.0
				for i, w := range sources {
					all, allServed = all+w.sent, allServed+w.served
					if i > 0 {
						least = min(least, float64(w.served)/float64(w.sent))
					}
				}
				busy, total := float64(sources[0].served)/float64(sources[0].sent), float64(allServed)/float64(all)
				t.Logf("seed %d: all %.3f, busy %.3f, least of the others %.3f", seed, total, busy, least)
				if least < c.others {
					t.Errorf("seed %d: another workspace got %.3f of its requests served, expected %.2f", seed, least, c.others)
				}
				if busy < total/4 {
					t.Errorf("seed %d: the busy workspace got %.3f of its requests served, all %.3f", seed, busy, total)
				}
			}
		})
	}
}

// A workspace that was idle gets its share back within seconds from those that borrowed it.
func TestLentShare(t *testing.T) {
	s := New()
	borrower, owner := &source{name: "borrower", perSecond: 100}, &source{name: "owner"}
	now := replay(1, s, start, 20*time.Second, 1, []*source{borrower, owner})
	if used := borrower.usedTime.Seconds() / 20; used < 0.95 {
		t.Errorf("the borrower used %.2f of the idle capacity", used)
	}
	owner.perSecond = 100
	replay(2, s, now, 2*time.Second, 1, []*source{borrower, owner})
	if used := owner.usedTime.Seconds() / 2; used < 0.5 {
		t.Errorf("after its return the owner got %.2f of the capacity within 2 s", used)
	}
}

func TestDivide(t *testing.T) {
	for _, c := range []struct {
		capacity float64
		demands  []float64
		want     float64
	}{
		{10, nil, math.Inf(1)},
		{10, []float64{1, 2, 3}, math.Inf(1)},
		{6, []float64{1, 2, 3}, math.Inf(1)},
		{6, []float64{1, 4, 4}, 2.5},
		{3, []float64{4, 4, 4}, 1},
	} {
		if got := divide(c.capacity, c.demands); got != c.want && math.Abs(got-c.want) > 1e-6 {
			t.Errorf("divide(%v, %v) = %v, expected %v", c.capacity, c.demands, got, c.want)
		}
	}
}

func TestShares(t *testing.T) {
	convey.Convey("Given a workspace of which half was served and one that got all", t, func() {
		s := New()
		for range 10 {
			s.Offer(start, "small", time.Second)
			s.Use(start, "small", time.Second)
		}
		for i := range 100 {
			s.Offer(start, "large", time.Second)
			if i%2 == 0 {
				s.Use(start, "large", time.Second)
			}
		}
		convey.So(s.Standing(start, "small"), convey.ShouldEqual, Within)
		convey.So(s.Standing(start, "unknown"), convey.ShouldEqual, Within)
		convey.So(s.Standing(start, "large"), convey.ShouldEqual, Above)
		used, fair := s.Share(start, "large")
		convey.So(used, convey.ShouldAlmostEqual, 50.0/60, 1e-6)
		convey.So(fair, convey.ShouldAlmostEqual, 50.0/60, 1e-6)
		convey.Convey("a standing does not change between two computations of the level", func() {
			convey.So(s.Standing(start.Add(levelValidity/2), "large"), convey.ShouldEqual, Above)
		})
		convey.Convey("without rejections only a workspace with far more than the others is above its share", func() {
			even, busy := New(), New()
			for i := range 16 {
				for range 10 + i%3 {
					even.Offer(start, fmt.Sprint(i), time.Second)
					even.Use(start, fmt.Sprint(i), time.Second)
				}
			}
			busy.Offer(start, "15", 80*time.Second)
			busy.Use(start, "15", 80*time.Second)
			for i := range 15 {
				busy.Offer(start, fmt.Sprint(i), 10*time.Second)
				busy.Use(start, fmt.Sprint(i), 10*time.Second)
			}
			for i := range 16 {
				convey.So(even.Standing(start, fmt.Sprint(i)), convey.ShouldEqual, Within)
				convey.So(busy.Standing(start, fmt.Sprint(i)) == Above, convey.ShouldEqual, i == 15)
			}
		})
		convey.Convey("use that is withdrawn does not count", func() {
			later := start.Add(time.Second)
			s.Withdraw(later, "large", time.Second, start)
			used, _ := s.Share(later, "large")
			convey.So(used, convey.ShouldAlmostEqual, 49.0/59, 1e-6)
		})
		convey.Convey("workspaces without requests are forgotten", func() {
			s.Standing(start.Add(2*time.Minute), "small")
			convey.So(s.workspaces, convey.ShouldBeEmpty)
		})
	})
}

func TestSharesCost(t *testing.T) {
	s := New()
	now := start
	for i := range 10000 {
		s.Offer(now, fmt.Sprint("w", i%16), time.Second)
	}
	if n := testing.AllocsPerRun(1000, func() {
		now = now.Add(levelValidity)
		s.Offer(now, "w1", time.Second)
		s.Standing(now, "w1")
	}); n > 0 {
		t.Errorf("%v allocations a call", n)
	}
}

func TestRoom(t *testing.T) {
	convey.Convey("A workspace that fills the room leaves places for others", t, func() {
		r := NewRoom()
		fill := func(workspace string, most int) (n int) {
			for n < most && r.Admits(160, 0, workspace) {
				r.Add(workspace)
				n++
			}
			return n
		}
		convey.So(fill("busy", 1000), convey.ShouldEqual, 140)
		for i := range 4 {
			convey.So(fill(fmt.Sprint("w", i), 4), convey.ShouldEqual, 4)
		}
		convey.So(r.Admits(160, 0, "busy"), convey.ShouldBeFalse)
		convey.Convey("and gets none back until it holds less than its share", func() {
			for range 30 {
				r.Remove("busy")
			}
			convey.So(fill("busy", 1000), convey.ShouldBeBetween, 10, 25)
			convey.So(fill("w0", 1000), convey.ShouldBeGreaterThan, 15)
			convey.So(r.Admits(160, 0, "w9"), convey.ShouldBeFalse) // no place is left at all
		})
		convey.Convey("and a removal without an addition panics", func() {
			convey.So(func() { r.Remove("w8") }, convey.ShouldPanic)
		})
	})
}

func BenchmarkShares(b *testing.B) {
	s := New()
	names := make([]string, 16)
	for i := range names {
		names[i] = fmt.Sprint("w", i)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		s.Offer(now, names[i%16], time.Second)
		s.Standing(now, names[i%16])
		s.Use(now, names[i%16], time.Second)
	}
}
