// Package admission limits the concurrent requests of a process, with capacity
// reserved so that a burst of one team does not crowd out the requests of others.
//
// # Usage
//
//	l := admission.New(2000)
//	if !l.Admit(team) {
//		return outcome.Overloaded
//	}
//	defer l.Release(team)
package admission
