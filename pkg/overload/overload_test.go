package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

var start = time.Unix(1000, 0)

// request returns a request of a class with an objective of 500 ms, whose callers wait 2 s.
func request(class string, urgency int) Request {
	return Request{Class: class, Urgency: urgency, Objective: 500 * time.Millisecond, ClassPatience: 2 * time.Second, Patience: 2 * time.Second}
}

func TestDecide(t *testing.T) {
	convey.Convey("Given a service without rejections", t, func() {
		c := New()
		decide := func(r Request, wait time.Duration) Decision {
			return c.Decide(start, "s", r, Forecast{At: start, Wait: wait, Work: 100 * time.Millisecond}, 0)
		}
		short := request("short", 1)
		convey.Convey("a request is admitted as long as its caller waits", func() {
			convey.So(decide(short, 1900*time.Millisecond).Admitted(), convey.ShouldBeTrue)
			d := decide(short, 2500*time.Millisecond)
			convey.So(d.Reason, convey.ShouldEqual, Overloaded)
			convey.So(d.RetryAfter, convey.ShouldEqual, 600*time.Millisecond)
		})
		convey.Convey("a target with capacity is used whatever the forecast", func() {
			f := Forecast{At: start, Wait: time.Minute, Free: true}
			convey.So(c.Decide(start, "s", short, f, 0).Admitted(), convey.ShouldBeTrue)
		})
		convey.Convey("an older forecast counts with what is left of it", func() {
			f := Forecast{At: start, Wait: 2500 * time.Millisecond}
			convey.So(c.Decide(start.Add(time.Second), "s", short, f, 0).Admitted(), convey.ShouldBeTrue)
		})
		convey.Convey("callers that were rejected at once return at different times", func() {
			f := Forecast{At: start, Wait: 4 * time.Second}
			first, last := c.Decide(start, "s", short, f, 0), c.Decide(start, "s", short, f, 0.999)
			convey.So(last.RetryAfter-first.RetryAfter, convey.ShouldBeGreaterThan, 400*time.Millisecond)
		})
		convey.Convey("and one after the other at the rate at which their class is admitted", func() {
			patient := short
			patient.ClassPatience, patient.Patience = 16*time.Second, 16*time.Second
			for range 20 { // 10 a second
				convey.So(decide(patient, 0).Admitted(), convey.ShouldBeTrue)
			}
			_ = decide(patient, 16*time.Second) // lowers the limit of the others
			last := decide(patient, 16*time.Second).RetryAfter
			for range 5 {
				next := decide(patient, 16*time.Second).RetryAfter
				convey.So(next-last, convey.ShouldAlmostEqual, 100*time.Millisecond, time.Millisecond)
				last = next
			}
			convey.Convey("but none much later than it honours", func() {
				for range 100 {
					convey.So(decide(patient, 16*time.Second).RetryAfter, convey.ShouldBeLessThan, 16*time.Second/3)
				}
			})
		})
		convey.Convey("a workspace above its share is rejected before others are late", func() {
			above := short
			above.AboveShare = true
			convey.So(decide(above, 200*time.Millisecond).Admitted(), convey.ShouldBeTrue)
			convey.So(decide(above, 300*time.Millisecond).Reason, convey.ShouldEqual, AboveShare)
			convey.Convey("and its rejections limit nobody else", func() {
				convey.So(decide(above, 5*time.Second).Admitted(), convey.ShouldBeFalse)
				convey.So(decide(short, 1900*time.Millisecond).Admitted(), convey.ShouldBeTrue)
			})
		})
		convey.Convey("after a rejection a less urgent class that waits longer is rejected as well", func() {
			patient := request("patient", 2)
			patient.Objective, patient.ClassPatience, patient.Patience = 4*time.Second, 16*time.Second, 16*time.Second
			convey.So(decide(patient, 3*time.Second).Admitted(), convey.ShouldBeTrue)
			convey.So(decide(short, 3*time.Second).Admitted(), convey.ShouldBeFalse)
			convey.So(decide(patient, 1500*time.Millisecond).Reason, convey.ShouldEqual, LessUrgent)
			convey.Convey("unless its workspace is starved or it was admitted before", func() {
				starved, queued := patient, patient
				starved.Starved, queued.Queued = true, true
				convey.So(decide(starved, 3*time.Second).Admitted(), convey.ShouldBeTrue)
				convey.So(decide(queued, 3*time.Second).Admitted(), convey.ShouldBeTrue)
			})
			convey.Convey("for a bounded time, and not a more urgent one", func() {
				convey.So(decide(request("urgent", 0), 1900*time.Millisecond).Admitted(), convey.ShouldBeTrue)
				later := start.Add(pressureValidity)
				f := Forecast{At: later, Wait: 3 * time.Second}
				convey.So(c.Decide(later, "s", patient, f, 0).Admitted(), convey.ShouldBeTrue)
			})
			convey.Convey("and not at another service", func() {
				f := Forecast{At: start, Wait: 3 * time.Second}
				convey.So(c.Decide(start, "other", patient, f, 0).Admitted(), convey.ShouldBeTrue)
			})
		})
		convey.Convey("a caller that leaves early limits the others of its class to no less than the objective", func() {
			hasty := short
			hasty.Patience = 50 * time.Millisecond
			convey.So(decide(hasty, 200*time.Millisecond).Admitted(), convey.ShouldBeFalse)
			convey.So(decide(short, 350*time.Millisecond).Admitted(), convey.ShouldBeTrue)
		})
		convey.Convey("a prompt that can't be read in time does not stop the others", func() {
			f := Forecast{At: start, Wait: time.Second, Work: time.Minute}
			convey.So(c.Decide(start, "s", short, f, 0).Admitted(), convey.ShouldBeFalse)
			convey.So(decide(short, 300*time.Millisecond).Admitted(), convey.ShouldBeTrue)
		})
	})
}

// kind is a kind of requests of the replayed workload.
type kind struct {
	Request
	perSecond float64
	work      time.Duration // time of an engine

	calls, served, late, timedOut, tries int
}

// returning is a request that was rejected.
type returning struct {
	kind  *kind
	left  time.Duration // until its caller leaves
	tries int
}

// replay runs a minute of the package's workload against one engine that works off its
// queue in the order of arrival. Callers honour Retry-After up to a third of the time that
// they have left.
func replay(seed uint64, kinds []*kind) (idle float64) {
	const step = 5 * time.Millisecond
	r := rand.New(rand.NewPCG(seed, 2))
	c := New()
	queue := map[time.Time][]returning{}
	backlog, idleSteps, steps := time.Duration(0), 0, 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(step) {
		steps++
		if backlog == 0 {
			idleSteps++
		}
		backlog = max(0, backlog-step)
		arrived := queue[now]
		delete(queue, now)
		for _, k := range kinds {
			if r.Float64() < k.perSecond*step.Seconds() {
				k.calls++
				arrived = append(arrived, returning{kind: k, left: k.ClassPatience})
			}
		}
		r.Shuffle(len(arrived), func(i, j int) { arrived[i], arrived[j] = arrived[j], arrived[i] })
		for _, a := range arrived {
			k := a.kind
			req := k.Request
			req.Patience = a.left
			k.tries++
			d := c.Decide(now, "s", req, Forecast{At: now, Wait: backlog, Work: k.work, Free: backlog == 0}, r.Float64())
			after := min(d.RetryAfter, a.left/3).Truncate(step) + step
			switch {
			case d.Admitted():
				if backlog+k.work > a.left {
					k.timedOut++
				}
				if k.ClassPatience-a.left+backlog+k.work > k.Objective {
					k.late++
				}
				k.served++
				backlog += k.work
			case a.left-after > 100*time.Millisecond:
				queue[now.Add(after)] = append(queue[now.Add(after)], returning{kind: k, left: a.left - after, tries: a.tries + 1})
			}
		}
	}
	return float64(idleSteps) / float64(steps)
}

// The workload of the package, at twice the capacity of an engine. Guards against an urgent
// class that is served less often because its callers wait less, long prompts that starve
// behind short ones, and an engine that idles because too much is rejected.
func TestOverload(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			batch := request("batch", 2)
			batch.Objective, batch.ClassPatience = 2*time.Second, 8*time.Second
			short := &kind{Request: request("chat", 0), perSecond: 10, work: 60 * time.Millisecond}
			long := &kind{Request: request("chat", 0), perSecond: 0.7, work: 850 * time.Millisecond}
			patient := &kind{Request: batch, perSecond: 12, work: 60 * time.Millisecond}
			kinds := []*kind{short, long, patient}
			idle := replay(seed, kinds)
			rate := func(k *kind) float64 { return float64(k.served) / float64(k.calls) }
			tries := func(k *kind) float64 { return float64(k.tries) / float64(k.calls) }
			chat := float64(short.served+long.served) / float64(short.calls+long.calls)
			t.Logf("served: short %.3f, long %.3f, less urgent %.3f; late %d, %d, %d; tries %.1f, %.1f, %.1f; idle %.3f",
				rate(short), rate(long), rate(patient), short.late, long.late, patient.late, tries(short), tries(long), tries(patient), idle)
			if chat < rate(patient) {
				t.Errorf("the urgent class was served at %.3f, the less urgent one at %.3f", chat, rate(patient))
			}
			if rate(long) < chat/2 {
				t.Errorf("long prompts were served at %.3f, their class at %.3f", rate(long), chat)
			}
			if idle > 0.02 {
				t.Errorf("the engine idled for %.3f of the time", idle)
			}
			for _, k := range kinds {
				if k.timedOut > 0 {
					t.Errorf("%d callers of %s left before they were served", k.timedOut, k.Class)
				}
			}
		})
	}
}

// Guards against an urgent class with a short objective that is served less often than a less
// urgent one with a long objective while the workspaces of both are above their shares, as is
// the only workspace of a deployment as soon as anything is rejected.
func TestClassesAboveShare(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			chat, batch := request("chat", 0), request("batch", 2)
			batch.Objective, batch.ClassPatience = 2*time.Second, 8*time.Second
			chat.AboveShare, batch.AboveShare = true, true
			urgent := &kind{Request: chat, perSecond: 10, work: 60 * time.Millisecond}
			patient := &kind{Request: batch, perSecond: 22, work: 60 * time.Millisecond}
			idle := replay(seed, []*kind{urgent, patient})
			rate := func(k *kind) float64 { return float64(k.served) / float64(k.calls) }
			t.Logf("served: urgent %.3f, less urgent %.3f; idle %.3f", rate(urgent), rate(patient), idle)
			if rate(urgent) < rate(patient) {
				t.Errorf("the urgent class was served at %.3f, the less urgent one at %.3f", rate(urgent), rate(patient))
			}
			if idle > 0.02 {
				t.Errorf("the engine idled for %.3f of the time", idle)
			}
		})
	}
}

// 16 workspaces with five routes each.
func BenchmarkDecide(b *testing.B) {
	c := New()
	var requests []Request
	for i := range 80 {
		requests = append(requests, request(fmt.Sprint(i), i%5))
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		now := start.Add(time.Duration(i) * time.Millisecond)
		c.Decide(now, "s", requests[i%80], Forecast{At: now, Wait: time.Duration(i%3) * time.Second}, 0.5)
	}
}

// Guards against a preview that differs from the decision or records anything.
func TestPreview(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	c, rejected := New(), 0
	for i := range 20_000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		urgency := random.IntN(3)
		r := request(fmt.Sprint(urgency), urgency)
		r.AboveShare, r.Starved, r.Queued = random.IntN(3) == 0, random.IntN(10) == 0, random.IntN(10) == 0
		r.Patience = time.Duration(random.Int64N(int64(r.ClassPatience)))
		f := Forecast{At: now, Wait: time.Duration(random.Int64N(int64(3 * time.Second))), Work: 100 * time.Millisecond, Free: random.IntN(5) == 0}
		draw, before := random.Float64(), stateOf(c)
		first := c.Preview(now, "s", r, f, draw)
		if after := stateOf(c); after != before {
			t.Fatalf("request %d: the preview changed the state from %s to %s", i, before, after)
		}
		d := c.Decide(now, "s", r, f, draw)
		if !d.Admitted() && first.Reason != d.Reason && first.Limit == d.Limit && !first.Admitted() {
			first.Reason = d.Reason // of equal limits the first one in the order of a map counts
		}
		if first != d {
			t.Fatalf("request %d: previewed %+v, decided %+v", i, first, d)
		}
		if !d.Admitted() {
			rejected++
		}
	}
	if rejected < 1000 {
		t.Errorf("only %d requests were rejected", rejected)
	}
}

// stateOf returns the state of the classes of a service.
func stateOf(c *Controller) string {
	classes := map[string]class{}
	for name, k := range c.services["s"] {
		classes[name] = *k
	}
	return fmt.Sprint(classes)
}
