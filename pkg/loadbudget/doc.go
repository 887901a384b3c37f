// Package loadbudget is a distributed rate limiter for the loads of weights. It
// keeps the loads of all targets of a deployment within the limits of the weight
// store.
//
// A load needs one permit. Every target owns a fixed part of the store's rate, its
// Share, a token bucket of permits that it uses without coordination. It transfers
// the permits that it does not need to a Granter, which assigns them to targets
// with waiting requests. Permits are transferred, never copied: the sender's Share
// is debited before the message is sent. A lost message, a broken connection, a
// stopped granter or two granters at once therefore waste permits, but the loads
// that start never exceed the rate in total, and no leader election is needed.
//
// # Usage
//
//	s := loadbudget.NewShare(loadbudget.Limits{Rate: 7, Burst: 3, InFlight: 24}, 21, 0, now)
//	if s.Take(now, need) {
//		// start the load, and when it has ended call s.Done(now)
//	}
//
//	g := loadbudget.NewGranter(limits)
//	g.Donate(s.Donate(now))
//	g.Ask("t1", s.Asked())
//	for _, grant := range g.Grants(now) {
//		// send the grant to the target, which calls its Share's Receive
//	}
package loadbudget
