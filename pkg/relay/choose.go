package relay

import (
	"crypto/sha256"
	"encoding/binary"
	"sort"
)

// Sizes of the choice.
const (
	Watchers     = 2 // processes of a zone that watch the object API
	Candidates   = 8 // processes of a zone that may take over as watchers
	zoneRelays   = 3 // connections within the zone
	regionRelays = 1 // connections to other zones of the region
	otherRelays  = 1 // connections of a candidate to other regions
)

// Member is one process that accepts peer connections.
type Member struct {
	Name   string
	Region string
	Zone   string // availability zone
}

// Group is a number of connections that a process wants to members, which are
// in order of preference.
type Group struct {
	Want    int
	Members []Member
}

// WatchOrder returns the members of a zone that may watch the object API, at
// most Candidates, first choice first.
func WatchOrder(members []Member, zone string) []Member {
	in := filter(members, func(m Member) bool { return m.Zone == zone })
	rank(in, "watch "+zone)
	return in[:min(len(in), Candidates)]
}

// Position returns the place of the named member in order, or -1.
func Position(order []Member, name string) int {
	for i, m := range order {
		if m.Name == name {
			return i
		}
	}
	return -1
}

// Watches reports whether the member at position in a zone's order must watch
// the object API: it is a candidate, and fewer than Watchers of the members
// before it are connected to it.
func Watches(position, connectedBefore int) bool {
	return position >= 0 && connectedBefore < Watchers
}

// Groups returns the connections that self wants. Candidates for watching also
// want those before them in the order, to see whether they live, and one to
// another region; the first of them also want the first candidate of each other
// zone of the region. A process without members in its region takes any.
func Groups(self Member, members []Member) []Group {
	others := filter(members, func(m Member) bool { return m.Name != self.Name })
	rank(others, "relay "+self.Name)
	zone := filter(others, func(m Member) bool { return m.Zone == self.Zone })
	region := filter(others, func(m Member) bool { return m.Zone != self.Zone && m.Region == self.Region })
	other := filter(others, func(m Member) bool { return m.Region != self.Region })
	groups := []Group{{Want: zoneRelays, Members: zone}, {Want: regionRelays, Members: region}}
	order := WatchOrder(members, self.Zone)
	if i := Position(order, self.Name); i >= 0 {
		groups = append(groups, Group{Want: i, Members: order[:i]}, Group{Want: otherRelays, Members: other})
		if i < Watchers {
			groups = append(groups, firstOfZones(region)...)
		}
	} else if len(zone)+len(region) == 0 {
		groups = append(groups, Group{Want: zoneRelays, Members: other})
	}
	return groups
}

// firstOfZones returns a group for each zone of members that wants the first
// candidate of the zone.
func firstOfZones(members []Member) []Group {
	var out []Group
	seen := map[string]bool{}
	for _, m := range members {
		if !seen[m.Zone] {
			seen[m.Zone] = true
			out = append(out, Group{Want: 1, Members: WatchOrder(members, m.Zone)})
		}
	}
	return out
}

func filter(members []Member, keep func(Member) bool) []Member {
	var out []Member
	for _, m := range members {
		if keep(m) {
			out = append(out, m)
		}
	}
	return out
}

// rank sorts members by their rendezvous score for key, highest first.
func rank(members []Member, key string) {
	scores := make(map[string]uint64, len(members))
	for _, m := range members {
		sum := sha256.Sum256([]byte(key + "\x00" + m.Name))
		scores[m.Name] = binary.BigEndian.Uint64(sum[:])
	}
	sort.Slice(members, func(i, j int) bool {
		if a, b := scores[members[i].Name], scores[members[j].Name]; a != b {
			return a > b
		}
		return members[i].Name < members[j].Name
	})
}
