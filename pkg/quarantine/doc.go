// Package quarantine identifies poison requests: those that crash the targets that
// run them.
//
// A crash of a target is recorded with the requests that were in flight. Each of
// them is a suspect until it has been answered once, for at most SuspectFor; a target
// runs at most one suspect at a time. A request that was in flight at two crashes
// within SuspectFor is convicted if no other suspect of one of them was in flight at
// a second crash within that time. It is then refused for ConvictedFor. The verdict
// is a function of the known crashes alone, so processes that have the same crashes
// compute the same verdict.
//
// The method is group testing of the requests in flight; see R. Dorfman,
// "The Detection of Defective Members of Large Populations", 1943.
//
// # Usage
//
//	var list quarantine.List
//	list.Add(crash)
//	switch list.Classify(now, quarantine.FingerprintOf(request)) {
//	case quarantine.Convicted:
//		// refuse: not run
//	case quarantine.Suspect:
//		// run it when the target runs no other suspect
//	}
package quarantine
