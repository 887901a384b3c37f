// Package loadbudget keeps the loads of all targets of a deployment within what
// the weight store allows.
//
// Every target owns a fixed part of the store's rate, a Share, which it may use
// without asking anyone. What it does not need it gives away to a Granter, which
// hands it to the targets whose requests wait. Rights move and are never copied:
// the giver's Share is debited before the message is sent. So a lost message, a
// cut connection, a stopped granter or two granters at once waste rights, but
// the sum of the loads that start never passes the rate, and no leader has to
// be agreed on.
//
// # Usage
//
//	s := loadbudget.NewShare(loadbudget.Limits{Rate: 7, Burst: 3, InFlight: 24}, 21, 0, now)
//	if s.Take(now, need) {
//		// order the load, then call s.Done(now)
//	}
//
//	g := loadbudget.NewGranter(limits)
//	g.Donate(s.Donate(now))
//	g.Ask("t1", s.Asked())
//	for _, grant := range g.Grants(now) {
//		// tell the target, which calls its Share's Receive
//	}
package loadbudget
