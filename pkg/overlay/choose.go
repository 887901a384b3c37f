package overlay

import (
	"crypto/sha256"
	"encoding/binary"
	"sort"
)

// Numbers of watchers and connections.
const (
	Watchers    = 2 // processes per zone that watch the object API
	Candidates  = 8 // processes per zone that watch the object API or may take over from a watcher
	zonePeers   = 3 // connections of a process within its zone
	regionPeers = 1 // connections of a process to other zones of its region
	remotePeers = 1 // connections of a candidate to other regions
)

// Member is one process that accepts peer connections.
type Member struct {
	Name   string
	Region string
	Zone   string // availability zone
}

// Group is a set of members, to a number of which a process should be connected.
type Group struct {
	Count   int      // number of connections
	Members []Member // in order of preference
}

// WatchOrder returns the members of a zone that may watch the object API, at most
// Candidates, in order of preference.
func WatchOrder(members []Member, zone string) []Member {
	in := filter(members, func(m Member) bool { return m.Zone == zone })
	rank(in, "watch "+zone)
	return in[:min(len(in), Candidates)]
}

// Position returns the index of the named member in order, or -1.
func Position(order []Member, name string) int {
	for i, m := range order {
		if m.Name == name {
			return i
		}
	}
	return -1
}

// Watches reports whether the member at position in a zone's WatchOrder must watch
// the object API: it is a candidate, and connectedBefore, the number of the members
// before it that are connected to it, is less than Watchers.
func Watches(position, connectedBefore int) bool {
	return position >= 0 && connectedBefore < Watchers
}

// Groups returns the connections that self should have: to members of its zone and to
// another zone of its region. A candidate for watching also connects to the candidates
// before it, to detect their failure, and to one member in another region. The first
// Watchers candidates also connect to the first candidate of each other zone of the
// region. A process that is no candidate and has no members in its region connects to
// members of other regions.
func Groups(self Member, members []Member) []Group {
	others := filter(members, func(m Member) bool { return m.Name != self.Name })
	rank(others, "relay "+self.Name)
	zone := filter(others, func(m Member) bool { return m.Zone == self.Zone })
	region := filter(others, func(m Member) bool { return m.Zone != self.Zone && m.Region == self.Region })
	other := filter(others, func(m Member) bool { return m.Region != self.Region })
	groups := []Group{{Count: zonePeers, Members: zone}, {Count: regionPeers, Members: region}}
	order := WatchOrder(members, self.Zone)
	if i := Position(order, self.Name); i >= 0 {
		groups = append(groups, Group{Count: i, Members: order[:i]}, Group{Count: remotePeers, Members: other})
		if i < Watchers {
			groups = append(groups, firstCandidates(region)...)
		}
	} else if len(zone)+len(region) == 0 {
		groups = append(groups, Group{Count: zonePeers, Members: other})
	}
	return groups
}

// firstCandidates returns a group for each zone of members, with one connection to
// the first candidate of the zone.
func firstCandidates(members []Member) []Group {
	var out []Group
	seen := map[string]bool{}
	for _, m := range members {
		if !seen[m.Zone] {
			seen[m.Zone] = true
			out = append(out, Group{Count: 1, Members: WatchOrder(members, m.Zone)})
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
