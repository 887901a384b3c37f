package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

// forLimits runs a replay of callers that send three times their quota for the large and
// the small workspace of the page.
func forLimits(t *testing.T, run func(r *replay)) {
	for name, l := range map[string]Limit{"large": largeLimit, "small": smallLimit} {
		t.Run(name, func(t *testing.T) {
			r := newReplay(t, l, 21, mixedCost)
			r.setDemand(3*l.PerSecond, uneven(21)...)
			run(r)
			r.checkWindows()
		})
	}
}

// Issuer lost: its accounts notice at different times and agree on another one, which
// first does not know whether the old one still issues.
func TestIssuerLost(t *testing.T) {
	forLimits(t, func(r *replay) {
		r.run(10 * time.Second)
		r.issuers[0].down = true
		next := r.addIssuer(r.now)
		for _, n := range r.nodes {
			r.run(100 * time.Millisecond)
			r.moveTo(n, next)
		}
		r.run(18 * time.Second)
		r.checkShare(15*time.Second, 30*time.Second, 0.95)
	})
}

// Two issuers: for as long as an issuer assumes that there may be another one, half of
// the accounts use each, and both groups ask for more than the quota. The first issuer has
// its whole burst, so that a second burst or the full rate twice would exceed the bounds.
func TestTwoIssuers(t *testing.T) {
	forLimits(t, func(r *replay) {
		next := r.addIssuer(r.now)
		for i, n := range r.nodes {
			if i%2 == 0 {
				r.moveTo(n, next)
			}
		}
		r.run(startTime)
		for _, n := range r.nodes {
			if n.issuer != next {
				r.moveTo(n, next)
			}
		}
		r.run(18 * time.Second)
		r.checkShare(4*time.Second, 20*time.Second, 0.95)
	})
}

// An issuer that was replaced for a while must not grant the units of that time.
func TestIssuerReturns(t *testing.T) {
	forLimits(t, func(r *replay) {
		r.run(10 * time.Second)
		next := r.addIssuer(r.now)
		for _, n := range r.nodes {
			r.moveTo(n, next)
		}
		r.run(10 * time.Second)
		for _, n := range r.nodes {
			r.moveTo(n, 0)
		}
		if r.run(50 * time.Millisecond); !r.issuers[0].Starting(r.now) {
			r.t.Error("the earlier issuer did not begin again")
		}
		r.run(10 * time.Second)
	})
}

// The configuration reaches the processes within a second, the issuer through any of them.
// The small workspace's quota becomes that of a large request in three seconds, so that its
// use is measured over a minute.
func TestQuotaLowered(t *testing.T) {
	forLimits(t, func(r *replay) {
		r.run(10 * time.Second)
		lower := Limit{PerSecond: r.limit.PerSecond / 10, Burst: r.limit.Burst / 10, Version: 2}
		for _, n := range r.nodes {
			n.account.SetLimit(lower, len(r.nodes))
			r.run(40 * time.Millisecond)
		}
		r.limit, r.old = lower, r.now
		r.run(72 * time.Second)
		r.checkShare(22*time.Second, 82*time.Second, 0.95)
	})
}

// A store that lost a configuration gives its version out again. Once no process states the
// former limit of that version, the issuer must not grant by it.
func TestVersionGivenOutAgain(t *testing.T) {
	is := NewIssuer(epoch, pageBounds, smallLimit)
	lower := Limit{PerSecond: smallLimit.PerSecond / 10, Burst: smallLimit.Burst / 10, Version: smallLimit.Version}
	m := Membership{Connected: 2, Known: 2}
	for at := time.Duration(0); at < 2*versionTime; at += 100 * time.Millisecond {
		now := epoch.Add(at)
		is.Request(now, Sender{Name: "e1", First: true, Age: at}, lower, Request{}, m)
		if at < 2*time.Second { // this process has not read the configuration yet
			is.Request(now, Sender{Name: "e2", First: true, Age: at}, smallLimit, Request{}, m)
			if is.limit != smallLimit {
				t.Fatalf("the limit changed to %+v while another process stated the former one", is.limit)
			}
		}
	}
	if is.limit != lower {
		t.Errorf("limit %+v, want %+v", is.limit, lower)
	}
}

// All processes start at once, and the first requests arrive before any connection.
func TestAllStartAtOnce(t *testing.T) {
	forLimits(t, func(r *replay) {
		r.issuers[0].down = true
		next := r.addIssuer(r.now)
		for _, n := range r.nodes {
			r.moveTo(n, -1)
		}
		for _, n := range r.nodes {
			r.run(50 * time.Millisecond)
			r.moveTo(n, next)
		}
		r.run(14 * time.Second)
		r.checkShare(5*time.Second, 15*time.Second, 0.95)
	})
}

// A process that was paused must not spend credit that the issuer has counted as void and
// granted to others.
func TestPausedAccount(t *testing.T) {
	forLimits(t, func(r *replay) {
		r.run(10 * time.Second)
		for _, n := range r.nodes[:5] {
			n.paused = true
		}
		r.run(10 * time.Second)
		for _, n := range r.nodes[:5] {
			n.paused = false
			if b := n.account.Balance(r.now); b > 0 {
				r.t.Errorf("%s has %.0f units after a pause", n.name, b)
			}
		}
		r.run(10 * time.Second)
		r.checkShare(12*time.Second, 30*time.Second, 0.95)
	})
}

// The region of every second process is cut off: its processes spend their parts without an
// issuer, and the issuer of the others leaves these parts to them.
func TestPartition(t *testing.T) {
	forLimits(t, func(r *replay) {
		r.run(10 * time.Second)
		r.partitioned = true
		for i, n := range r.nodes {
			if i%2 == 1 {
				r.moveTo(n, -1)
			}
		}
		r.run(20 * time.Second)
		r.checkShare(12*time.Second, 30*time.Second, 0.9)
	})
}

// Both sides of a partition find an issuer.
func TestPartitionWithIssuers(t *testing.T) {
	forLimits(t, func(r *replay) {
		r.run(10 * time.Second)
		r.partitioned = true
		next := r.addIssuer(r.now)
		for i, n := range r.nodes {
			if i%2 == 1 {
				r.moveTo(n, next)
			}
		}
		r.run(20 * time.Second)
		r.checkShare(13*time.Second, 30*time.Second, 0.95)
	})
}

// Each availability zone is cut off from the others and finds an issuer. What the issuers
// tolerate of missing processes must not add up beyond the bounds.
func TestPartitionOfAllZones(t *testing.T) {
	const zones = 6
	forLimits(t, func(r *replay) {
		r.run(10 * time.Second)
		r.partitioned = true
		issuers := []int{0}
		for range zones - 1 {
			issuers = append(issuers, r.addIssuer(r.now))
		}
		for i, n := range r.nodes {
			if zone := i % zones; zone > 0 {
				r.moveTo(n, issuers[zone])
			}
		}
		r.run(20 * time.Second)
		r.checkShare(13*time.Second, 30*time.Second, 0.95)
	})
}

// One link is lost: a process that can't reach the issuer asks the next one, which must
// not grant the whole quota again. All of them do after the loss of the issuer itself.
func TestDeputy(t *testing.T) {
	forLimits(t, func(r *replay) {
		r.run(10 * time.Second)
		next := r.addIssuer(r.now)
		r.nodes[0].first = false
		r.moveTo(r.nodes[0], next)
		r.run(10 * time.Second)
		r.issuers[0].down = true
		for _, n := range r.nodes[1:] {
			n.first = false
			r.moveTo(n, next)
		}
		r.run(10 * time.Second)
		r.checkShare(24*time.Second, 30*time.Second, 0.95)
	})
}

// A process that can't reach the issuer is the only one to use the next one, and has little
// demand for a while. The next issuer must not have saved up a second burst by the time at
// which all processes ask for more than the quota.
func TestDeputyAfterIdleTime(t *testing.T) {
	forLimits(t, func(r *replay) {
		next := r.addIssuer(r.now)
		r.nodes[0].first = false
		r.moveTo(r.nodes[0], next)
		r.setDemand(r.limit.PerSecond/100, uneven(21)...)
		r.run(20 * time.Second)
		r.setDemand(3*r.limit.PerSecond, uneven(21)...)
		r.run(10 * time.Second)
		r.checkShare(21*time.Second, 30*time.Second, 0.95)
	})
}

// The quota must not go to small requests only: the largest are served at least half as
// often as all.
func TestSizesUnderShortage(t *testing.T) {
	forLimits(t, func(r *replay) {
		r.run(24 * time.Second)
		var offered, got [2]int
		classOf := func(c float64) int {
			if c >= 9000 {
				return 1
			}
			return 0
		}
		for _, c := range r.offered {
			offered[classOf(c)]++
		}
		for _, s := range r.spent {
			got[classOf(s.units)]++
		}
		small, large := float64(got[0])/float64(offered[0]), float64(got[1])/float64(offered[1])
		r.t.Logf("%.3f of small requests and %.3f of large ones were admitted", small, large)
		if large < small/2 {
			r.t.Errorf("%.3f of large requests were admitted, %.3f of small ones", large, small)
		}
	})
}

// While credit is short, less urgent requests must not take it from more urgent ones that
// alone are within the quota.
func TestUrgencyUnderShortage(t *testing.T) {
	r := newReplay(t, largeLimit, 21, func(rng *rand.Rand) float64 { return float64(700 + rng.IntN(500)) })
	r.setDemand(3*r.limit.PerSecond, uneven(21)...)
	for _, n := range r.nodes {
		n.urgency = func(rng *rand.Rand) int { return min(1, rng.IntN(5)) } // a fifth is urgent
	}
	r.run(20 * time.Second)
	r.checkWindows()
	r.checkShare(4*time.Second, 20*time.Second, 0.95)
	var share [2]float64
	for u := range share {
		offered := 0.0
		for _, n := range r.nodes {
			offered += n.byClass[u]
		}
		share[u] = r.classSpent(u) / offered
	}
	t.Logf("%.3f of urgent requests and %.3f of others were admitted", share[0], share[1])
	if share[0] < 0.9 {
		t.Errorf("%.3f of the urgent requests were admitted", share[0])
	}
}

// The first requests at a process neither wait nor are rejected while the issuer can be
// reached, also without an answer.
func TestFirstRequests(t *testing.T) {
	a := NewAccount(epoch, pageBounds)
	a.SetLimit(smallLimit, 21)
	a.SetIssuer(epoch, true, true)
	a.Add(epoch, Waiter{ID: 1, Cost: 700, Until: epoch.Add(time.Second)})
	a.Add(epoch, Waiter{ID: 2, Cost: 900, Until: epoch.Add(time.Second)})
	if d := a.Decide(epoch); len(d) != 2 || !d[0].Admitted || !d[1].Admitted {
		t.Fatalf("decisions %+v, want both admitted", d)
	}
	a.Add(epoch, Waiter{ID: 3, Cost: 9300, Until: epoch.Add(150 * time.Millisecond)})
	if d := a.Decide(epoch); len(d) != 0 {
		t.Fatalf("decisions %+v, want the large request to wait for the answer", d)
	}
	q, ok := a.Request(epoch)
	if !ok || q.Held != -1600 || q.Need <= 0 {
		t.Fatalf("request %+v, want one for the overdraft and the waiting request", q)
	}
	is := NewIssuer(epoch.Add(-time.Minute), pageBounds, smallLimit)
	now := epoch.Add(60 * time.Millisecond)
	answer, _ := is.Request(now, Sender{Name: "e1", First: true, Age: time.Minute}, smallLimit, q, Membership{Connected: 21, Known: 21})
	a.Apply(now, answer)
	if d := a.Decide(now); len(d) != 1 || !d[0].Admitted {
		t.Fatalf("decisions %+v after %+v, want the large request admitted", d, answer)
	}
}

// A request that is larger than all that a window allows must not run, and its cost must not
// keep the others from being served.
func TestTooLargeForAnyWindow(t *testing.T) {
	forLimits(t, func(r *replay) {
		n := r.nodes[0]
		r.nextID++
		w := Waiter{ID: r.nextID, Cost: 1e12, Until: r.now.Add(maxCreditWait)}
		n.waiters[w.ID] = w
		n.account.Add(r.now, w)
		r.run(24 * time.Second)
		r.checkShare(4*time.Second, 24*time.Second, 0.95)
	})
}

// A request without an answer is not the caller's fault: it is not reported as one over
// the quota.
func TestUnanswered(t *testing.T) {
	a := NewAccount(epoch, pageBounds)
	a.SetLimit(smallLimit, 21)
	a.SetIssuer(epoch, true, true)
	a.Add(epoch, Waiter{ID: 1, Cost: 9300, Until: epoch.Add(100 * time.Millisecond)})
	if d := a.Decide(epoch); len(d) != 0 {
		t.Fatalf("decisions %+v, want none", d)
	}
	d := a.Decide(epoch.Add(100 * time.Millisecond))
	if len(d) != 1 || d[0].Admitted || !d[0].Unanswered || d[0].Wait <= 0 {
		t.Fatalf("decisions %+v, want an unanswered one", d)
	}
}

// An answer to an earlier request says nothing of a later one. In the second after the loss
// of the issuer, requests within the quota must not be reported as over it.
func TestUnansweredAfterAnswer(t *testing.T) {
	a, is := NewAccount(epoch, pageBounds), NewIssuer(epoch.Add(-time.Minute), pageBounds, smallLimit)
	a.SetLimit(smallLimit, 21)
	a.SetIssuer(epoch, true, true)
	a.Add(epoch, Waiter{ID: 1, Cost: 700, Until: epoch.Add(100 * time.Millisecond)})
	a.Decide(epoch)
	q, _ := a.Request(epoch)
	answer, _ := is.Request(epoch, Sender{Name: "e1", First: true, Age: time.Minute}, smallLimit, q, Membership{Connected: 21, Known: 21})
	if answer.Short {
		t.Fatalf("answer %+v, want enough credit", answer)
	}
	a.Apply(epoch, answer)
	now := epoch.Add(500 * time.Millisecond) // the issuer was lost in the meantime
	a.Add(now, Waiter{ID: 2, Cost: 9300, Until: now.Add(100 * time.Millisecond)})
	a.Decide(now)
	if _, ok := a.Request(now); !ok {
		t.Fatal("no request for the waiting one")
	}
	d := a.Decide(now.Add(100 * time.Millisecond))
	if len(d) != 1 || d[0].Admitted || !d[0].Unanswered {
		t.Fatalf("decisions %+v, want an unanswered one", d)
	}
}

// Callers of a workspace over its quota were told that the issuer had not answered, although
// it had granted all that there was, and returned after too short a time.
func TestAnsweredButOverQuota(t *testing.T) {
	a, is := NewAccount(epoch, pageBounds), NewIssuer(epoch, pageBounds, smallLimit)
	a.SetLimit(smallLimit, 21)
	a.SetIssuer(epoch, true, true)
	a.Add(epoch, Waiter{ID: 1, Cost: 9300, Until: epoch.Add(100 * time.Millisecond)})
	a.Decide(epoch)
	q, _ := a.Request(epoch)
	answer, _ := is.Request(epoch, Sender{Name: "e1", First: true, Age: time.Minute}, smallLimit, q, Membership{Connected: 21, Known: 21})
	answer.Short = false // there may be credit for what was asked, but not for the request
	a.Apply(epoch, answer)
	d := a.Decide(epoch.Add(100 * time.Millisecond))
	if len(d) != 1 || d[0].Admitted || d[0].Unanswered || d[0].Wait <= 0 {
		t.Fatalf("decisions %+v after %+v, want one over the quota", d, answer)
	}
}

// A refund that is applied twice, or long after the units were spent, would exceed the
// quota.
func TestRefund(t *testing.T) {
	a := NewAccount(epoch, pageBounds)
	a.SetLimit(smallLimit, 21)
	a.SetIssuer(epoch, true, true)
	old, recent := &Charge{Cost: 500, At: epoch.Add(-refundTime - 1)}, &Charge{Cost: 700, At: epoch}
	a.balance = -1200
	if a.Refund(epoch, old) || a.Balance(epoch) != -1200 {
		t.Error("an old charge was refunded")
	}
	if !a.Refund(epoch, recent) || a.Balance(epoch) != -500 {
		t.Errorf("balance %v after a refund, want -500", a.Balance(epoch))
	}
	if a.Refund(epoch, recent) || a.Balance(epoch) != -500 {
		t.Errorf("balance %v after a second refund, want -500", a.Balance(epoch))
	}
}

// Requests that never run must cost no quota: half of those admitted are refunded.
func TestRefundsAreUsed(t *testing.T) {
	forLimits(t, func(r *replay) {
		r.refund = 0.5
		r.run(24 * time.Second)
		r.checkShare(6*time.Second, 24*time.Second, 0.95)
	})
}

// Without demand nothing is held or sent.
func TestUnusedCreditIsReturned(t *testing.T) {
	r := newReplay(t, largeLimit, 21, mixedCost)
	r.setDemand(0.5*r.limit.PerSecond, uneven(21)...)
	r.run(3 * time.Second)
	r.setDemand(0)
	r.run(3 * time.Second)
	sent := r.messages
	r.run(3 * time.Second)
	if r.messages != sent {
		t.Errorf("%d messages were sent without demand", r.messages-sent)
	}
	for _, n := range r.nodes {
		if !n.account.Idle(r.now) {
			t.Errorf("%s is not idle", n.name)
		}
	}
	r.issuers[0].expire(r.now.Add(time.Second))
	if r.issuers[0].outstanding != 0 {
		t.Errorf("%.0f units are outstanding", r.issuers[0].outstanding)
	}
}
