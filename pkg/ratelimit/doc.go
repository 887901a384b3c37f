// Package ratelimit schedules the requests that many entryds send to one target that
// takes only a limited number of requests a second from all of them together.
//
// # Load pattern
//
// Each entryd gets another share of the requests, which changes within seconds, and none
// knows those of the others. Equal parts of the limit would leave much of it unused at
// one entryd while requests wait at another, and a part below one request a second can't
// be spent at all. The more requests a target takes in a burst, the fewer it takes
// afterwards.
//
// # Decision
//
// A Scheduler issues the permits for one target in the order of the requests' urgency,
// then of their deadlines. Permits are spaced evenly; a target that had no requests for a
// while gets as many more as fall due in burstTime. A request that can't get a permit by
// its deadline is rejected at once, also if that follows from a more urgent one that
// came later, and learns when there will be room for it.
//
// The cost of a call is proportional to the number of requests that wait for one target.
//
// # Usage
//
//	s := ratelimit.New(now, 6.5)
//	s.Add(ratelimit.Request{ID: 1, Urgency: 0, Deadline: now.Add(300 * time.Millisecond)})
//	for _, d := range s.Decide(now) {
//		// tell the sender of request d.ID
//	}
//	if at, ok := s.Next(); ok {
//		// call Decide again at that time
//	}
package ratelimit
