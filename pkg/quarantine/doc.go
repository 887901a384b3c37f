// Package quarantine finds the requests that crash the targets that run them.
//
// Every crash of a target names the requests that were in flight. Each of them
// is a suspect until it has been answered once; suspects run one at a time on
// a target. A request that was in flight at two crashes is convicted if it is
// the only such request of one of them, and is then refused for ConvictedFor.
// The verdict is a function of the known crashes alone, so every process that
// knows the same crashes comes to the same one.
//
// The approach is group testing of the requests in flight; see R. Dorfman,
// "The Detection of Defective Members of Large Populations", 1943.
//
// # Usage
//
//	var list quarantine.List
//	list.Add(crash)
//	switch list.Judge(now, quarantine.Of(request)) {
//	case quarantine.Convicted:
//		// refuse: not run
//	case quarantine.Suspect:
//		// run it alone among the suspects of a target
//	}
package quarantine
