package overlay

import "testing"

// BenchmarkGroups measures Groups with the 600 members for which the system is
// designed. A process calls it about once a second.
func BenchmarkGroups(b *testing.B) {
	members := testMembers(120)
	for i := 0; i < b.N; i++ {
		Groups(members[7], members)
	}
}
