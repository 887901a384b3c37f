// Package admission bounds the requests that one process holds at once, so
// that no team's flood takes the place of the others.
//
// # Usage
//
//	l := admission.New(2000)
//	if !l.Admit(team) {
//		// refuse: overloaded
//	}
//	defer l.Release(team)
package admission
