// Package loadbudget is a distributed rate limiter for the loads of weights. It
// keeps the loads of all targets of a deployment within the limits of the weight
// store.
//
// A load needs one permit. Every target owns a fixed part of the store's rate,
// its Share, a token bucket of permits that it uses without coordination. It
// transfers the permits that it does not need to an Allocator, which assigns
// them to targets with waiting requests. Permits are transferred, never copied:
// the sender's Share is debited before the message is sent. A lost message, a
// broken connection, a stopped allocator or two allocators at once therefore
// waste permits, but the loads that start never exceed the rate in total, and
// no leader election is needed.
//
// # Usage
//
//	s := loadbudget.NewShare(loadbudget.Limits{Rate: 7, Burst: 3, InFlight: 24}, 21, 0, now)
//	if s.TakePermit(now, need) {
//		// start the load, and when it has ended call s.Done(now)
//	}
//
//	a := loadbudget.NewAllocator(limits)
//	a.AddPermits(s.ReleasePermits(now))
//	a.SetNeeds("t1", s.UnmetNeeds())
//	for _, grant := range a.Grants(now) {
//		// send the grant to the target, which calls its Share's AddPermit
//	}
package loadbudget
