package gossip

import (
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/revision"
	"github.com/borageusher/borageusher/pkg/overlay"
)

const (
	pollInterval  = 30 * time.Second       // between two reads of the object API by a process that does not watch it
	readDelayStep = 250 * time.Millisecond // delay of section reads for each watcher of the region with a lower rank
)

// WatchPolicy returns how the process follows the object API: a candidate of
// a zone watches it if fewer than overlay.Watchers candidates before it in the
// overlay.WatchOrder are connected, and the other processes poll it at a long
// interval. A process without peers watches it as well.
func (n *Node) WatchPolicy() revision.WatchPolicy {
	connected, changed := n.connectedPeers()
	if len(connected) == 0 {
		n.setWatching(true)
		return revision.WatchPolicy{Watch: true, Changed: changed}
	}
	members := n.overlayMembers()
	order := overlay.WatchOrder(members, n.opts.Self.Zone)
	position := overlay.Position(order, n.opts.Self.Name)
	connectedBefore := 0
	for _, m := range order[:max(position, 0)] {
		if connected[m.Name] {
			connectedBefore++
		}
	}
	watch := overlay.Watches(position, connectedBefore)
	n.setWatching(watch)
	delay := readDelayStep * time.Duration(n.sectionReadRank(members))
	return revision.WatchPolicy{Watch: watch, PollInterval: pollInterval, SectionDelay: delay, Changed: changed}
}

// sectionReadRank returns the number of watchers of the region that read
// sections before this process: those before it in its own zone, and those of
// the zones whose names sort before its own.
func (n *Node) sectionReadRank(members []overlay.Member) int {
	self := n.opts.Self
	rank := 0
	if i := overlay.Position(overlay.WatchOrder(members, self.Zone), self.Name); i > 0 {
		rank = min(i, overlay.Watchers)
	}
	zones := map[string]bool{}
	for _, m := range members {
		if m.Region == self.Region && m.Zone < self.Zone && !zones[m.Zone] {
			zones[m.Zone] = true
			rank += overlay.Watchers
		}
	}
	return rank
}

// crossRegionRank returns the number of candidates of the region that may pull
// from another region before this process does.
func (n *Node) crossRegionRank(members []overlay.Member) int {
	self := n.opts.Self
	zones := map[string]bool{self.Zone: true}
	earlier := 0
	for _, m := range members {
		if m.Region != self.Region || zones[m.Zone] {
			continue
		}
		zones[m.Zone] = true
		if m.Zone < self.Zone {
			earlier++
		}
	}
	position := overlay.Position(overlay.WatchOrder(members, self.Zone), self.Name)
	if position < 0 {
		position = overlay.Candidates
	}
	return position*len(zones) + earlier
}

// setWatching logs a change of the watch state and sets its gauge.
func (n *Node) setWatching(watching bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.watching == watching {
		return
	}
	n.watching = watching
	n.opts.Log.Event(event.DutyChanged).Bool("watching", watching).Send()
	gauge := 0.0
	if watching {
		gauge = 1
	}
	n.opts.Scope.Gauge("watching").Update(gauge)
}

// overlayMembers returns the known targets as members for package overlay.
func (n *Node) overlayMembers() []overlay.Member {
	targets := n.opts.Members.Targets()
	out := make([]overlay.Member, 0, len(targets))
	for _, t := range targets {
		out = append(out, overlay.Member{Name: t.Name, Region: t.Region, Zone: t.Zone})
	}
	return out
}

// connectedPeers returns the names of the connected peers and a channel that is
// closed when they change.
func (n *Node) connectedPeers() (map[string]bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]bool, len(n.peers))
	for conn := range n.peers {
		out[conn.Remote().Name] = true
	}
	return out, n.changed
}
