package spread

import (
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/revision"
	"github.com/borageusher/borageusher/pkg/relay"
)

// Times of following the object API.
const (
	relayedPoll = 30 * time.Second       // between two reads of a process that does not watch
	readDelay   = 250 * time.Millisecond // for each watcher of the region that reads sections first
)

// Duty tells how the process follows the object API: the first candidates of a
// zone that are alive watch it, and the others read it seldom. A process
// without any peer watches as well.
func (n *Node) Duty() revision.Duty {
	connected, changed := n.connected()
	if len(connected) == 0 {
		n.noteDuty(true)
		return revision.Duty{Watch: true, Changed: changed}
	}
	members := n.members()
	order := relay.WatchOrder(members, n.opts.Self.Zone)
	position := relay.Position(order, n.opts.Self.Name)
	before := 0
	for _, m := range order[:max(position, 0)] {
		if connected[m.Name] {
			before++
		}
	}
	watch := relay.Watches(position, before)
	n.noteDuty(watch)
	delay := readDelay * time.Duration(n.readOrder(members))
	return revision.Duty{Watch: watch, Poll: relayedPoll, Delay: delay, Changed: changed}
}

// readOrder returns how many watchers of the region's other zones read
// sections before this process.
func (n *Node) readOrder(members []relay.Member) int {
	self := n.opts.Self
	order := 0
	if i := relay.Position(relay.WatchOrder(members, self.Zone), self.Name); i > 0 {
		order = min(i, relay.Watchers)
	}
	zones := map[string]bool{}
	for _, m := range members {
		if m.Region == self.Region && m.Zone < self.Zone && !zones[m.Zone] {
			zones[m.Zone] = true
			order += relay.Watchers
		}
	}
	return order
}

// crossOrder returns how many candidates of the region ask another region
// before this process does.
func (n *Node) crossOrder(members []relay.Member) int {
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
	position := relay.Position(relay.WatchOrder(members, self.Zone), self.Name)
	if position < 0 {
		position = relay.Candidates
	}
	return position*len(zones) + earlier
}

func (n *Node) noteDuty(watching bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.watching == watching {
		return
	}
	n.watching = watching
	n.opts.Log.At(event.DutyChanged).Bool("watching", watching).Send()
	gauge := 0.0
	if watching {
		gauge = 1
	}
	n.opts.Scope.Gauge("watching").Update(gauge)
}

// members returns the known targets as members.
func (n *Node) members() []relay.Member {
	targets := n.opts.Members.Targets()
	out := make([]relay.Member, 0, len(targets))
	for _, t := range targets {
		out = append(out, relay.Member{Name: t.Name, Region: t.Region, Zone: t.Zone})
	}
	return out
}

// connected returns the names of the connected peers, and what is closed when
// they change.
func (n *Node) connected() (map[string]bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]bool, len(n.peers))
	for conn := range n.peers {
		out[conn.Remote().Name] = true
	}
	return out, n.changed
}
