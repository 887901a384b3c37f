package gossip

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/internal/revision"
	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/target"
)

// Configurations holds the configuration in force; see revision.Controller.
type Configurations interface {
	Revision() uint64
	Root() []byte
	Section(d configuration.Digest) ([]byte, bool)
	Adopt(ctx context.Context, root []byte, sources ...revision.Source) error
}

// Members holds the registrations; see members.Controller.
type Members interface {
	Targets() []target.Target
	Version() objects.Version
	ChangesSince(after objects.Version) ([]objects.Object, objects.Version)
	Merge(after objects.Version, changed []objects.Object, newest objects.Version)
}

// Dialer opens peer connections.
type Dialer interface {
	Dial(ctx context.Context, addr netip.AddrPort) (*peer.Conn, error)
}

// Options are the dependencies and settings of a Node.
type Options struct {
	Self           peer.Identity
	Configurations Configurations
	Members        Members
	Dialer         Dialer
	Seeds          []netip.AddrPort // addresses of targetds to dial while no peer is connected
	Log            event.Log
	Scope          tally.Scope
}

// Node exchanges configurations and registrations with the peers of a process.
type Node struct {
	opts      Options
	peerAhead chan struct{} // signals that a peer may be ahead

	mu             sync.Mutex
	peers          map[*peer.Conn]*peerState
	overlayPeers   map[string]*overlayPeer // by name of the peer, or address of a seed
	surveys        map[string]*survey
	disconnectedAt map[string]time.Time // end of the last connection to a peer, by its name
	watching       bool                 // last watch state that was logged
	changed        chan struct{}        // closed and replaced when the connections change
}

// peerState is the state of the peer at the other end of a connection.
type peerState struct {
	hasHeartbeat bool              // a heartbeat was received
	heartbeat    peer.Heartbeat    // last one received
	avoidUntil   time.Time         // end of the period in which the peer is not asked, after a failure
	answers      chan peer.Message // to the request in progress
}

// New returns a Node without connections.
func New(opts Options) *Node {
	return &Node{
		opts:           opts,
		peerAhead:      make(chan struct{}, 1),
		peers:          map[*peer.Conn]*peerState{},
		overlayPeers:   map[string]*overlayPeer{},
		surveys:        map[string]*survey{},
		disconnectedAt: map[string]time.Time{},
		changed:        make(chan struct{}),
	}
}

// Run maintains connections and pulls from peers that are ahead until ctx is
// done.
func (n *Node) Run(ctx context.Context) {
	go n.runOverlay(ctx)
	n.runPulls(ctx)
}

// Attach adds conn to the connections that the node uses and returns a function
// that removes it. Attach must be called before conn.Run.
func (n *Node) Attach(conn *peer.Conn) (detach func()) {
	conn.SetMetrics(n.opts.Scope, n.opts.Self.Region)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[conn] = &peerState{answers: make(chan peer.Message, maxQueuedAnswers)}
	n.notifyConnectionsChanged()
	conn.SendHeartbeat()
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.peers, conn)
		n.disconnectedAt[conn.Remote().Name] = time.Now()
		n.notifyConnectionsChanged()
	}
}

// notifyConnectionsChanged wakes the goroutines that wait for a change of the
// connections. The caller holds n.mu.
func (n *Node) notifyConnectionsChanged() {
	n.opts.Scope.Gauge("peers").Update(float64(len(n.peers)))
	close(n.changed)
	n.changed = make(chan struct{})
}

// Heartbeat returns a heartbeat with the versions of the process's state.
func (n *Node) Heartbeat() peer.Heartbeat {
	return peer.Heartbeat{Revision: n.opts.Configurations.Revision(), MembersVersion: uint64(n.opts.Members.Version())}
}

// Announce sends a heartbeat to all peers without delay. It must be called
// after the configuration or the registrations have changed.
func (n *Node) Announce() {
	n.opts.Scope.Gauge("revision").Update(float64(n.opts.Configurations.Revision()))
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.peers {
		conn.SendHeartbeat()
	}
}

// Handle processes the messages of this package and reports whether m is one
// of them. It processes heartbeats too but reports false for them, because
// other packages need them as well.
func (n *Node) Handle(conn *peer.Conn, m peer.Message) bool {
	switch m := m.(type) {
	case peer.Heartbeat:
		n.recordHeartbeat(conn, m)
		return false
	case peer.StateRequest:
		n.handleStateRequest(conn, m)
	case peer.StateAnswer, peer.SectionAnswer:
		n.deliverAnswer(conn, m)
	case peer.Survey:
		n.forwardSurvey(conn, m)
	case peer.SurveyAnswer:
		n.forwardSurveyAnswer(m)
	default:
		return false
	}
	return true
}

func (n *Node) recordHeartbeat(conn *peer.Conn, m peer.Heartbeat) {
	n.mu.Lock()
	if p := n.peers[conn]; p != nil {
		p.heartbeat = m
		p.hasHeartbeat = true
	}
	n.mu.Unlock()
	if n.isAhead(m) {
		signal(n.peerAhead)
	}
}

// isAhead reports whether the sender of heartbeat m has newer state than this
// process.
func (n *Node) isAhead(m peer.Heartbeat) bool {
	return m.Revision > n.opts.Configurations.Revision() || m.MembersVersion > uint64(n.opts.Members.Version())
}

// handleStateRequest sends a peer the sections that it requests or, if it requests
// none, the root if it is newer and the registrations that changed since its version.
func (n *Node) handleStateRequest(conn *peer.Conn, m peer.StateRequest) {
	if len(m.Sections) > 0 {
		n.sendSections(conn, m.Sections)
		return
	}
	a := peer.StateAnswer{After: m.MembersVersion}
	if n.opts.Configurations.Revision() > m.Revision {
		a.Root = n.opts.Configurations.Root()
	}
	changed, newest := n.opts.Members.ChangesSince(objects.Version(m.MembersVersion))
	a.MembersVersion = uint64(newest)
	for _, o := range changed {
		a.Changed = append(a.Changed, peer.MemberObject{Name: o.Name, Version: uint64(o.Version), Value: o.Value, Deleted: o.Deleted})
	}
	_, _ = conn.Send(a) // the reader of conn detects a lost connection
}

func (n *Node) sendSections(conn *peer.Conn, digests [][]byte) {
	for _, digest := range digests {
		var d configuration.Digest
		copy(d[:], digest)
		data, _ := n.opts.Configurations.Section(d) // empty data makes the peer try another source
		if _, err := conn.Send(peer.SectionAnswer{Digest: digest, Data: data}); err != nil {
			return
		}
	}
}

// deliverAnswer passes an answer to the goroutine that waits for it.
func (n *Node) deliverAnswer(conn *peer.Conn, m peer.Message) {
	n.mu.Lock()
	p := n.peers[conn]
	n.mu.Unlock()
	if p == nil {
		return
	}
	select {
	case p.answers <- m:
	default: // the request was abandoned
	}
}

// signal sends on a channel of capacity one unless it is full.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
