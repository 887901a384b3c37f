package spread

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

// Configurations is the controller of the configuration in force.
type Configurations interface {
	Revision() uint64
	Root() []byte
	Section(d configuration.Digest) ([]byte, bool)
	Adopt(ctx context.Context, root []byte, sources ...revision.Source) error
}

// Members is the controller of the registrations.
type Members interface {
	Targets() []target.Target
	Newest() objects.Version
	Since(after objects.Version) ([]objects.Object, objects.Version)
	Merge(after objects.Version, changed []objects.Object, newest objects.Version)
}

// Dialer opens peer connections.
type Dialer interface {
	Dial(ctx context.Context, addr netip.AddrPort) (*peer.Conn, error)
}

// Options are what a Node needs.
type Options struct {
	Self           peer.Identity
	Configurations Configurations
	Members        Members
	Dialer         Dialer
	Seeds          []netip.AddrPort // targetds to ask when no member is known
	Log            event.Log
	Scope          tally.Scope
}

// Node is a process's part in spreading news.
type Node struct {
	opts   Options
	behind chan struct{} // filled when a peer may be ahead

	mu       sync.Mutex
	peers    map[*peer.Conn]*peerState
	relays   map[string]*relayState // by name of the peer, or address of a seed
	surveys  map[string]*survey
	gone     map[string]time.Time // when the last connection of a peer ended, by its name
	watching bool                 // the last duty, for the log
	changed  chan struct{}        // closed and replaced when the connections change
}

// peerState is what a node knows of the process at the other end of a
// connection.
type peerState struct {
	heard      bool // a heartbeat came
	beat       peer.Heartbeat
	avoidUntil time.Time         // after it failed to answer
	answers    chan peer.Message // of the request in progress
}

// New returns a node without connections.
func New(opts Options) *Node {
	return &Node{
		opts:    opts,
		behind:  make(chan struct{}, 1),
		peers:   map[*peer.Conn]*peerState{},
		relays:  map[string]*relayState{},
		surveys: map[string]*survey{},
		gone:    map[string]time.Time{},
		changed: make(chan struct{}),
	}
}

// Run keeps connections and asks peers that are ahead until ctx is done.
func (n *Node) Run(ctx context.Context) {
	go n.keepRelays(ctx)
	n.pullAll(ctx)
}

// Attach makes conn one of the connections that news travels on and returns
// what takes it away again. It must be called before conn.Run.
func (n *Node) Attach(conn *peer.Conn) (detach func()) {
	conn.CountIn(n.opts.Scope, n.opts.Self.Region)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[conn] = &peerState{answers: make(chan peer.Message, answerQueue)}
	n.noteConnections()
	conn.Beat()
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.peers, conn)
		n.gone[conn.Remote().Name] = time.Now()
		n.noteConnections()
	}
}

// noteConnections tells those that wait that the connections have changed. The
// caller holds n.mu.
func (n *Node) noteConnections() {
	n.opts.Scope.Gauge("peers").Update(float64(len(n.peers)))
	close(n.changed)
	n.changed = make(chan struct{})
}

// Beat returns a heartbeat that tells what the process knows.
func (n *Node) Beat() peer.Heartbeat {
	return peer.Heartbeat{Revision: n.opts.Configurations.Revision(), Members: uint64(n.opts.Members.Newest())}
}

// Announce tells all peers at once what the process knows now.
func (n *Node) Announce() {
	n.opts.Scope.Gauge("revision").Update(float64(n.opts.Configurations.Revision()))
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.peers {
		conn.Beat()
	}
}

// Handle handles a message that is about news, and reports false for others.
// It also reports false for heartbeats, which others read as well.
func (n *Node) Handle(conn *peer.Conn, m peer.Message) bool {
	switch m := m.(type) {
	case peer.Heartbeat:
		n.noteBeat(conn, m)
		return false
	case peer.StateRequest:
		n.answer(conn, m)
	case peer.StateAnswer, peer.SectionAnswer:
		n.deliver(conn, m)
	case peer.Survey:
		n.passSurvey(conn, m)
	case peer.SurveyAnswer:
		n.passSurveyAnswer(m)
	default:
		return false
	}
	return true
}

func (n *Node) noteBeat(conn *peer.Conn, m peer.Heartbeat) {
	n.mu.Lock()
	if p := n.peers[conn]; p != nil {
		p.beat = m
		p.heard = true
	}
	n.mu.Unlock()
	if n.isAhead(m) {
		signal(n.behind)
	}
}

// isAhead reports whether a peer with that heartbeat knows something newer.
func (n *Node) isAhead(m peer.Heartbeat) bool {
	return m.Revision > n.opts.Configurations.Revision() || m.Members > uint64(n.opts.Members.Newest())
}

// answer sends what a peer asked for.
func (n *Node) answer(conn *peer.Conn, m peer.StateRequest) {
	if len(m.Sections) > 0 {
		n.sendSections(conn, m.Sections)
		return
	}
	a := peer.StateAnswer{After: m.Members}
	if n.opts.Configurations.Revision() > m.Revision {
		a.Root = n.opts.Configurations.Root()
	}
	changed, newest := n.opts.Members.Since(objects.Version(m.Members))
	a.Members = uint64(newest)
	for _, o := range changed {
		a.Changed = append(a.Changed, peer.MemberObject{Name: o.Name, Version: uint64(o.Version), Value: o.Value, Deleted: o.Deleted})
	}
	_, _ = conn.Send(a) // a lost connection is seen by its reader
}

func (n *Node) sendSections(conn *peer.Conn, digests [][]byte) {
	for _, digest := range digests {
		var d configuration.Digest
		copy(d[:], digest)
		data, _ := n.opts.Configurations.Section(d) // none tells the peer to ask elsewhere
		if _, err := conn.Send(peer.SectionAnswer{Digest: digest, Data: data}); err != nil {
			return
		}
	}
}

// deliver passes an answer to the request that waits for it.
func (n *Node) deliver(conn *peer.Conn, m peer.Message) {
	n.mu.Lock()
	p := n.peers[conn]
	n.mu.Unlock()
	if p == nil {
		return
	}
	select {
	case p.answers <- m:
	default: // nobody waits any more
	}
}

// signal fills a channel of one place unless it is full.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
