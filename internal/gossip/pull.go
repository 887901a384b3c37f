package gossip

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/internal/revision"
	"github.com/borageusher/borageusher/pkg/configuration"
)

const (
	maxQueuedAnswers     = 1024                    // capacity of the channel for the answers of a request or survey
	answerTimeout        = 1500 * time.Millisecond // for the next answer of a peer
	avoidPeriod          = 3 * time.Second         // in which a peer is not asked again after a failed pull
	checkInterval        = time.Second             // between two checks for peers that are ahead
	startupWait          = time.Second             // how long a starting process waits for the heartbeat of a second peer
	crossRegionDelayStep = 500 * time.Millisecond  // a pull from another region waits one step, and one for each candidate with a lower rank
	regionCheckInterval  = 20 * time.Millisecond   // between two checks for a peer of the own region during that delay
)

// runPulls pulls from peers that are ahead until ctx is done.
func (n *Node) runPulls(ctx context.Context) {
	startedAt := time.Now()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.peerAhead:
		case <-ticker.C:
		}
		if n.opts.Configurations.Revision() == 0 && n.peersWithHeartbeat() < 2 && time.Since(startedAt) < startupWait {
			continue
		}
		n.pullUntilCurrent(ctx)
	}
}

// peersWithHeartbeat returns the number of peers that have sent a heartbeat.
func (n *Node) peersWithHeartbeat() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, p := range n.peers {
		if p.hasHeartbeat {
			count++
		}
	}
	return count
}

// pullUntilCurrent pulls from peers until none is ahead, except those that are
// avoided after a failed pull.
func (n *Node) pullUntilCurrent(ctx context.Context) {
	for ctx.Err() == nil {
		conn := n.waitForRegionPeer(ctx, n.bestAhead(time.Now()))
		if conn == nil {
			return
		}
		if err := n.pullFrom(ctx, conn); err != nil {
			n.avoid(conn, time.Now().Add(avoidPeriod))
		}
	}
}

// waitForRegionPeer returns conn if it leads to a peer of the own region.
// Otherwise it waits in order to let other processes of the region pull across
// regions first. It returns the connection to a peer of the own region as soon
// as one is ahead, and the best connection at the end of the wait.
func (n *Node) waitForRegionPeer(ctx context.Context, conn *peer.Conn) *peer.Conn {
	until := time.Now().Add(crossRegionDelayStep * time.Duration(1+n.crossRegionRank(n.overlayMembers())))
	for conn != nil && conn.Remote().Region != n.opts.Self.Region && time.Now().Before(until) {
		sleep(ctx, regionCheckInterval)
		conn = n.bestAhead(time.Now())
	}
	return conn
}

// bestAhead returns the connection to the peer with the highest revision among
// those that are ahead, with preference for the own region. It returns nil if
// no peer is ahead, except those that are avoided after a failed pull.
func (n *Node) bestAhead(now time.Time) *peer.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var best *peer.Conn
	for conn, p := range n.peers {
		if !p.hasHeartbeat || now.Before(p.avoidUntil) || !n.isAhead(p.heartbeat) {
			continue
		}
		if best == nil || n.preferred(conn, best) {
			best = conn
		}
	}
	return best
}

// preferred reports whether a is preferred to b. The caller holds n.mu.
func (n *Node) preferred(a, b *peer.Conn) bool {
	localA, localB := a.Remote().Region == n.opts.Self.Region, b.Remote().Region == n.opts.Self.Region
	if localA != localB {
		return localA
	}
	return n.peers[a].heartbeat.Revision > n.peers[b].heartbeat.Revision
}

func (n *Node) avoid(conn *peer.Conn, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.peers[conn]; p != nil {
		p.avoidUntil = until
	}
}

// pullFrom requests newer state from a peer and applies it.
func (n *Node) pullFrom(ctx context.Context, conn *peer.Conn) error {
	own := n.opts.Configurations.Revision()
	after := n.opts.Members.Version()
	n.opts.Log.Event(event.RevisionFromPeer).Str("peer", conn.Remote().Name).Uint64("revision", own).Send()
	m, err := n.request(ctx, conn, peer.StateRequest{Revision: own, MembersVersion: uint64(after)})
	if err != nil {
		return err
	}
	a, ok := m.(peer.StateAnswer)
	if !ok {
		return &Error{Op: "request state", Kind: BadAnswer}
	}
	n.mergeMembers(a)
	if len(a.Root) == 0 {
		return n.checkNotAhead(conn)
	}
	return n.opts.Configurations.Adopt(ctx, a.Root, n.sources(conn)...)
}

// checkNotAhead returns an error if the peer's last heartbeat announced newer
// state than the process has.
func (n *Node) checkNotAhead(conn *peer.Conn) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.peers[conn]; p != nil && n.isAhead(p.heartbeat) {
		return &Error{Op: "request state", Kind: BadAnswer}
	}
	return nil
}

func (n *Node) mergeMembers(a peer.StateAnswer) {
	changed := make([]objects.Object, 0, len(a.Changed))
	for _, o := range a.Changed {
		changed = append(changed, objects.Object{Name: o.Name, Version: objects.Version(o.Version), Value: o.Value, Deleted: o.Deleted})
	}
	n.opts.Members.Merge(objects.Version(a.After), changed, objects.Version(a.MembersVersion))
}

// request sends a state request and returns the first answer.
func (n *Node) request(ctx context.Context, conn *peer.Conn, m peer.StateRequest) (peer.Message, error) {
	answers := n.answersOf(conn)
	if answers == nil {
		return nil, &Error{Op: "request state", Kind: NoAnswer}
	}
	for len(answers) > 0 {
		<-answers // of an earlier request that was abandoned
	}
	if _, err := conn.Send(m); err != nil {
		return nil, &Error{Op: "request state", Kind: NoAnswer, Err: err}
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

// nextAnswer returns the next answer to a request, which may have several.
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
	return nil, &Error{Op: "request state", Kind: NoAnswer}
}

// sources returns the sources for the sections of a revision: the given peer,
// followed by another peer of the region with at least the same revision.
func (n *Node) sources(first *peer.Conn) []revision.Source {
	out := []revision.Source{&peerSource{node: n, conn: first}}
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn, p := range n.peers {
		if conn != first && conn.Remote().Region == n.opts.Self.Region && p.heartbeat.Revision >= n.peers[first].revision() {
			return append(out, &peerSource{node: n, conn: conn})
		}
	}
	return out
}

// revision returns the peer's revision, or zero if p is nil.
func (p *peerState) revision() uint64 {
	if p == nil {
		return 0
	}
	return p.heartbeat.Revision
}

// peerSource is a revision.Source that requests sections from a peer.
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
	answer, err := s.node.request(ctx, s.conn, m)
	for range wanted {
		if err != nil {
			return out, err
		}
		a, ok := answer.(peer.SectionAnswer)
		if !ok {
			return out, &Error{Op: "request state", Kind: BadAnswer}
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

// sleep blocks for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
