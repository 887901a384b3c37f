// Package quota decides how the quota of a workspace, a rate of units a second, is spent by
// many processes of which none sees the requests of the others.
//
// # Load pattern
//
// Callers of a workspace reach some or all of the processes with uneven shares that change
// within seconds, and may send many times their quota. Requests differ in size by more
// than ten times, and a small workspace's quota for one process is less than one request a
// second.
//
// # Decision
//
// One process, the Issuer of the workspace, has a token bucket and grants credit to the
// Account of each process that spends it. An account requests the credit that its demand
// of the next moments needs before it has a use for it, so that requests do not wait for a
// round trip, and returns what it does not need. While credit is short, the issuer divides
// it in proportion to the demand. A request that is larger than its account's share gets
// credit that the account repays from its later shares, so that large requests are served
// as often as small ones.
//
// Credit is valid for a limited time since it was requested. The sum of what all accounts
// hold and may overdraw, and of what two issuers may grant while processes disagree on the
// issuer, is within the bounds that the operators allow; see Bounds.
//
// An account that has no answer yet may overdraw its balance by a small amount. One
// without an issuer for longer spends an equal part of the rate.
//
// # Usage
//
//	a := quota.NewAccount(bounds)
//	a.SetLimit(now, quota.Limit{PerSecond: 29000, Burst: 29000, Version: 7}, 21)
//	a.Add(now, quota.Waiter{ID: 1, Urgency: 0, Cost: 700, Until: now.Add(60 * time.Millisecond)})
//	for _, d := range a.Decide(now) { ... }
//	if r, ok := a.Request(now); ok {
//		answer := issuer.Request(now, "e1", limit, r, membership)
//		a.Apply(now, answer)
//	}
package quota
