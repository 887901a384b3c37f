package overlay

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// testMembers returns n members in each of five zones of two regions.
func testMembers(n int) []Member {
	var out []Member
	for z := range 5 {
		for i := range n {
			region := "lombardy"
			if z >= 3 {
				region = "muntenia"
			}
			out = append(out, Member{Name: fmt.Sprintf("t%d-%d", z, i), Region: region, Zone: fmt.Sprintf("z%d", z)})
		}
	}
	return out
}

// countReached returns the number of members that an update from one live member
// reaches over the wanted connections, and the number of live members. The members
// for which dead holds are left out.
func countReached(members []Member, dead func(Member) bool) (got, alive int) {
	edges := map[string][]string{}
	for _, m := range members {
		if dead(m) {
			continue
		}
		alive++
		for _, g := range Groups(m, members) {
			n := 0
			for _, o := range g.Members {
				if n == g.Count {
					break
				}
				if !dead(o) {
					n++
					edges[m.Name] = append(edges[m.Name], o.Name)
					edges[o.Name] = append(edges[o.Name], m.Name)
				}
			}
		}
	}
	seen := map[string]bool{}
	var queue []string
	for name := range edges {
		queue = append(queue, name)
		seen[name] = true
		break
	}
	for len(queue) > 0 {
		for _, o := range edges[queue[0]] {
			if !seen[o] {
				seen[o] = true
				queue = append(queue, o)
			}
		}
		queue = queue[1:]
	}
	return len(seen), alive
}

func TestUpdatesReachAllMembers(t *testing.T) {
	convey.Convey("An update reaches every live member of a fleet of 600", t, func() {
		members := testMembers(120)
		for name, dead := range map[string]func(Member) bool{
			"all members live":                func(Member) bool { return false },
			"four tenths of the members dead": func(m Member) bool { return m.Name[len(m.Name)-1]%3 == 0 },
			"only one zone live":              func(m Member) bool { return m.Zone != "z2" },
		} {
			convey.Convey(name, func() {
				got, alive := countReached(members, dead)
				convey.So(got, convey.ShouldEqual, alive)
			})
		}
	})
}

func TestWatchers(t *testing.T) {
	convey.Convey("Exactly two members of a zone watch the object API when all are connected", t, func() {
		order := WatchOrder(testMembers(120), "z1")
		convey.So(order, convey.ShouldHaveLength, Candidates)
		n := 0
		for i := range order {
			if Watches(i, i) {
				n++
			}
		}
		convey.So(n, convey.ShouldEqual, Watchers)
		convey.So(Watches(5, 1), convey.ShouldBeTrue) // only one of the members before it is connected
		convey.So(Watches(Position(order, "nobody"), 0), convey.ShouldBeFalse)
	})
}

func TestConnectionsBounded(t *testing.T) {
	convey.Convey("Fewer than 30 other members connect to one member", t, func() {
		members := testMembers(120)
		degree := map[string]int{}
		for _, m := range members {
			for _, g := range Groups(m, members) {
				for _, o := range g.Members[:min(g.Count, len(g.Members))] {
					degree[o.Name]++
				}
			}
		}
		for _, n := range degree {
			convey.So(n, convey.ShouldBeLessThan, 30)
		}
	})
}
