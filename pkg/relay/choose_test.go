package relay

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// fleet returns n members in each of five zones of two regions.
func fleet(n int) []Member {
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

// reached returns the number of members that news from one reaches over the
// wanted connections when those that dead reports are left out.
func reached(members []Member, dead func(Member) bool) (got, alive int) {
	edges := map[string][]string{}
	for _, m := range members {
		if dead(m) {
			continue
		}
		alive++
		for _, g := range Groups(m, members) {
			n := 0
			for _, o := range g.Members {
				if n == g.Want {
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

func TestNewsReachesAll(t *testing.T) {
	convey.Convey("News reaches every live member of the planned fleet", t, func() {
		members := fleet(120)
		for name, dead := range map[string]func(Member) bool{
			"all live":       func(Member) bool { return false },
			"a third dead":   func(m Member) bool { return m.Name[len(m.Name)-1]%3 == 0 },
			"one zone alone": func(m Member) bool { return m.Zone != "z2" },
		} {
			convey.Convey(name, func() {
				got, alive := reached(members, dead)
				convey.So(got, convey.ShouldEqual, alive)
			})
		}
	})
}

func TestWatchers(t *testing.T) {
	convey.Convey("Exactly two members of a zone watch when all are connected", t, func() {
		order := WatchOrder(fleet(120), "z1")
		convey.So(order, convey.ShouldHaveLength, Candidates)
		n := 0
		for i := range order {
			if Watches(i, i) {
				n++
			}
		}
		convey.So(n, convey.ShouldEqual, Watchers)
		convey.So(Watches(5, 1), convey.ShouldBeTrue) // those before it are lost
		convey.So(Watches(Position(order, "nobody"), 0), convey.ShouldBeFalse)
	})
}

func TestConnectionsBounded(t *testing.T) {
	convey.Convey("No member is wanted by more than a few others", t, func() {
		members := fleet(120)
		degree := map[string]int{}
		for _, m := range members {
			for _, g := range Groups(m, members) {
				for _, o := range g.Members[:min(g.Want, len(g.Members))] {
					degree[o.Name]++
				}
			}
		}
		for _, n := range degree {
			convey.So(n, convey.ShouldBeLessThan, 30)
		}
	})
}
