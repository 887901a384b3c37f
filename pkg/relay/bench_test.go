package relay

import "testing"

// BenchmarkGroups measures the choice that a process of the planned fleet makes
// about once a second.
func BenchmarkGroups(b *testing.B) {
	members := fleet(120)
	for i := 0; i < b.N; i++ {
		Groups(members[7], members)
	}
}
