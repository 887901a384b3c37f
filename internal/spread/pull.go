package spread

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/internal/revision"
	"github.com/borageusher/borageusher/pkg/configuration"
)

// Times and sizes of asking a peer.
const (
	answerQueue   = 1024                    // answers of one request that may wait
	answerTimeout = 1500 * time.Millisecond // between two answers of a peer
	avoidTime     = 3 * time.Second         // how long a peer that did not answer is passed over
	lookInterval  = time.Second             // between two looks for peers that are ahead
	startGrace    = time.Second             // how long a starting process waits for a second peer
	regionPause   = 500 * time.Millisecond  // for each candidate of the region that asks another region first
	regionLook    = 20 * time.Millisecond   // between two looks for a peer of the region meanwhile
)

// pullAll asks peers that are ahead until ctx is done.
func (n *Node) pullAll(ctx context.Context) {
	began := time.Now()
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.behind:
		case <-ticker.C:
		}
		if n.opts.Configurations.Revision() == 0 && n.heard() < 2 && time.Since(began) < startGrace {
			continue
		}
		n.pull(ctx)
	}
}

// heard returns the number of peers that have told what they know.
func (n *Node) heard() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, p := range n.peers {
		if p.heard {
			count++
		}
	}
	return count
}

// pull asks peers until none that can be asked is ahead.
func (n *Node) pull(ctx context.Context) {
	for ctx.Err() == nil {
		conn := n.waitForLocal(ctx, n.bestAhead(time.Now()))
		if conn == nil {
			return
		}
		if err := n.pullFrom(ctx, conn); err != nil {
			n.avoid(conn, time.Now().Add(avoidTime))
		}
	}
}

// waitForLocal returns conn if it is to a peer of the own region. Otherwise it
// leaves other processes of the region the time to ask first, and returns the
// connection to a peer of the region that is ahead meanwhile, or else to the
// best one.
func (n *Node) waitForLocal(ctx context.Context, conn *peer.Conn) *peer.Conn {
	until := time.Now().Add(regionPause * time.Duration(1+n.crossOrder(n.members())))
	for conn != nil && conn.Remote().Region != n.opts.Self.Region && time.Now().Before(until) {
		sleep(ctx, regionLook)
		conn = n.bestAhead(time.Now())
	}
	return conn
}

// bestAhead returns the connection to the peer that is farthest ahead, of the
// own region if possible, or nil.
func (n *Node) bestAhead(now time.Time) *peer.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var best *peer.Conn
	for conn, p := range n.peers {
		if !p.heard || now.Before(p.avoidUntil) || !n.isAhead(p.beat) {
			continue
		}
		if best == nil || n.preferred(conn, best) {
			best = conn
		}
	}
	return best
}

// preferred reports whether a is asked rather than b. The caller holds n.mu.
func (n *Node) preferred(a, b *peer.Conn) bool {
	localA, localB := a.Remote().Region == n.opts.Self.Region, b.Remote().Region == n.opts.Self.Region
	if localA != localB {
		return localA
	}
	return n.peers[a].beat.Revision > n.peers[b].beat.Revision
}

func (n *Node) avoid(conn *peer.Conn, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.peers[conn]; p != nil {
		p.avoidUntil = until
	}
}

// pullFrom takes over what the peer knows beyond this process.
func (n *Node) pullFrom(ctx context.Context, conn *peer.Conn) error {
	own := n.opts.Configurations.Revision()
	after := n.opts.Members.Newest()
	n.opts.Log.At(event.RevisionFromPeer).Str("peer", conn.Remote().Name).Uint64("revision", own).Send()
	m, err := n.ask(ctx, conn, peer.StateRequest{Revision: own, Members: uint64(after)})
	if err != nil {
		return err
	}
	a, ok := m.(peer.StateAnswer)
	if !ok {
		return &Error{Op: "ask", Kind: BadAnswer}
	}
	n.merge(a)
	if len(a.Root) == 0 {
		return n.stillAhead(conn)
	}
	return n.opts.Configurations.Adopt(ctx, a.Root, n.sources(conn)...)
}

// stillAhead returns an error if the peer claims to know more than it gave.
func (n *Node) stillAhead(conn *peer.Conn) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.peers[conn]; p != nil && n.isAhead(p.beat) {
		return &Error{Op: "ask", Kind: BadAnswer}
	}
	return nil
}

func (n *Node) merge(a peer.StateAnswer) {
	changed := make([]objects.Object, 0, len(a.Changed))
	for _, o := range a.Changed {
		changed = append(changed, objects.Object{Name: o.Name, Version: objects.Version(o.Version), Value: o.Value, Deleted: o.Deleted})
	}
	n.opts.Members.Merge(objects.Version(a.After), changed, objects.Version(a.Members))
}

// ask sends a request and returns the first answer.
func (n *Node) ask(ctx context.Context, conn *peer.Conn, m peer.StateRequest) (peer.Message, error) {
	answers := n.answersOf(conn)
	if answers == nil {
		return nil, &Error{Op: "ask", Kind: NoAnswer}
	}
	for len(answers) > 0 {
		<-answers // of an earlier request that was given up
	}
	if _, err := conn.Send(m); err != nil {
		return nil, &Error{Op: "ask", Kind: NoAnswer, Err: err}
	}
	return nextAnswer(ctx, conn, answers)
}

func (n *Node) answersOf(conn *peer.Conn) chan peer.Message {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.peers[conn]; p != nil {
		return p.answers
	}
	return nil
}

func nextAnswer(ctx context.Context, conn *peer.Conn, answers <-chan peer.Message) (peer.Message, error) {
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case m := <-answers:
		return m, nil
	case <-conn.Closed():
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil, &Error{Op: "ask", Kind: NoAnswer}
}

// sources returns the peer and, behind it, another one of the region that
// knows at least as much, as places to take sections from.
func (n *Node) sources(first *peer.Conn) []revision.Source {
	out := []revision.Source{&peerSource{node: n, conn: first}}
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn, p := range n.peers {
		if conn != first && conn.Remote().Region == n.opts.Self.Region && p.beat.Revision >= n.peers[first].revision() {
			return append(out, &peerSource{node: n, conn: conn})
		}
	}
	return out
}

// revision returns the peer's revision, or zero for no peer.
func (p *peerState) revision() uint64 {
	if p == nil {
		return 0
	}
	return p.beat.Revision
}

// peerSource takes sections from a peer.
type peerSource struct {
	node *Node
	conn *peer.Conn
}

// Name implements revision.Source.
func (s *peerSource) Name() string { return s.conn.Remote().Name }

// Sections implements revision.Source.
func (s *peerSource) Sections(ctx context.Context, wanted []configuration.SectionRef) ([]configuration.Section, error) {
	var m peer.StateRequest
	for _, ref := range wanted {
		m.Sections = append(m.Sections, append([]byte(nil), ref.Digest[:]...))
	}
	var out []configuration.Section
	answer, err := s.node.ask(ctx, s.conn, m)
	for range wanted {
		if err != nil {
			return out, err
		}
		a, ok := answer.(peer.SectionAnswer)
		if !ok {
			return out, &Error{Op: "ask", Kind: BadAnswer}
		}
		if len(a.Data) > 0 {
			var d configuration.Digest
			copy(d[:], a.Digest)
			out = append(out, configuration.Section{Digest: d, Data: a.Data})
		}
		if len(out) < len(wanted) {
			answer, err = nextAnswer(ctx, s.conn, s.node.answersOf(s.conn))
		}
	}
	return out, nil
}

// sleep waits for d, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
