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
// The requests of a kind may crash their targets because of one shared segment of
// their prompts, with no two of them alike. A SegmentList identifies such segments. A
// segment is a suspect of a crash if a request with it was in flight and had no answer
// yet. It stays one until a target begins an answer to a request with it: a sound
// segment gets an answer as soon as a target lives, one that crashes targets never.
// A segment is convicted if it is a suspect of several crashes, of which a later one
// occurred under a request that was sent after the first, while the service answered
// other requests; if it is a suspect of most crashes of its service meanwhile; if so many
// of them are unlikely by chance; and if no other segment explains the same crashes
// better. For a segment that had been answered before, a crash counts only if an answer
// was due. Targets that fail together, again and again, thus convict no segment: as long
// as none of them answers, nothing is decided, and the first answers clear the segments
// in use.
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
//
//	var segments quarantine.SegmentList
//	segments.Add(segmentCrash)
//	if segments.Classify(now, quarantine.SegmentFingerprint(service, id)) == quarantine.Convicted {
//		// refuse: not run
//	}
package quarantine
