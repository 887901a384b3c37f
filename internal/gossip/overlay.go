package gossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/overlay"
)

const (
	maintainInterval = time.Second      // mean time between two checks of the connections
	initialBackoff   = time.Second      // after the first failure of a peer
	maxBackoff       = time.Minute      // bound of the exponential backoff
	stablePeriod     = 30 * time.Second // lifetime of a connection that resets the backoff of its peer, and time until an unwanted one is closed
)

// overlayPeer is the state of a peer that the node dials.
type overlayPeer struct {
	conn          *peer.Conn // nil while there is none
	dialling      bool
	failures      int       // failed dials and ended connections since one lasted for stablePeriod
	nextDialAt    time.Time // earliest time of the next attempt
	openedAt      time.Time
	unwanted      bool // the peer is not among those that the node should be connected to
	unwantedSince time.Time
}

// dialPeer identifies a peer to dial.
type dialPeer struct {
	key  string // name of the peer, or address of a seed
	addr netip.AddrPort
}

// runOverlay maintains the wanted connections until ctx is done.
func (n *Node) runOverlay(ctx context.Context) {
	for ctx.Err() == nil {
		n.maintainOverlay(ctx, time.Now())
		sleep(ctx, maintainInterval/2+time.Duration(rand.Int64N(int64(maintainInterval))))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, op := range n.overlayPeers {
		if op.conn != nil {
			op.conn.Close()
		}
	}
}

// maintainOverlay dials wanted peers that are not connected, and closes
// connections that the node dialled and that are no longer wanted.
func (n *Node) maintainOverlay(ctx context.Context, now time.Time) {
	addrs := map[string]netip.AddrPort{}
	for _, t := range n.opts.Members.Targets() {
		addrs[t.Name] = t.Addr
	}
	groups := overlay.Groups(n.selfMember(), n.overlayMembers())
	n.mu.Lock()
	defer n.mu.Unlock()
	attached := map[string]bool{}
	for conn := range n.peers {
		attached[conn.Remote().Name] = true
	}
	wanted := map[string]bool{}
	for _, g := range groups {
		n.dialGroup(ctx, g, addrs, attached, wanted, now)
	}
	if len(attached) == 0 {
		n.dialSeeds(ctx, now)
	}
	n.closeUnwanted(wanted, addrs, now)
}

func (n *Node) selfMember() overlay.Member {
	return overlay.Member{Name: n.opts.Self.Name, Region: n.opts.Self.Region, Zone: n.opts.Self.Zone}
}

// dialGroup dials the first members of a group, skipping those in backoff,
// until the group has its wanted number of connections. The caller holds n.mu.
func (n *Node) dialGroup(ctx context.Context, g overlay.Group, addrs map[string]netip.AddrPort, attached, wanted map[string]bool, now time.Time) {
	count := 0
	for _, m := range g.Members {
		if count == g.Count {
			return
		}
		op := n.overlayPeer(m.Name)
		switch {
		case attached[m.Name], op.dialling:
		case now.Before(op.nextDialAt):
			continue
		default:
			n.dial(ctx, dialPeer{key: m.Name, addr: addrs[m.Name]}, op)
		}
		wanted[m.Name] = true
		count++
	}
}

// dialSeeds dials the seeds that are not connected or in backoff. The caller
// holds n.mu.
func (n *Node) dialSeeds(ctx context.Context, now time.Time) {
	for _, addr := range n.opts.Seeds {
		op := n.overlayPeer(addr.String())
		if op.conn == nil && !op.dialling && !now.Before(op.nextDialAt) {
			n.dial(ctx, dialPeer{key: addr.String(), addr: addr}, op)
		}
	}
}

// overlayPeer returns the state of a peer, creating it if needed. The caller holds
// n.mu.
func (n *Node) overlayPeer(key string) *overlayPeer {
	op := n.overlayPeers[key]
	if op == nil {
		op = &overlayPeer{}
		n.overlayPeers[key] = op
	}
	return op
}

// closeUnwanted closes connections that have been unwanted for stablePeriod and
// deletes the state of peers that are no longer members. The caller holds n.mu.
func (n *Node) closeUnwanted(wanted map[string]bool, addrs map[string]netip.AddrPort, now time.Time) {
	for key, op := range n.overlayPeers {
		_, member := addrs[key]
		switch {
		case op.conn == nil:
			if !member && !op.dialling && now.After(op.nextDialAt.Add(maxBackoff)) {
				delete(n.overlayPeers, key)
			}
		case wanted[key] || wanted[op.conn.Remote().Name]:
			op.unwanted = false
		case !op.unwanted:
			op.unwanted, op.unwantedSince = true, now
		case now.Sub(op.unwantedSince) > stablePeriod:
			op.conn.Close()
		}
	}
}

// dial opens a connection in the background. The caller holds n.mu.
func (n *Node) dial(ctx context.Context, p dialPeer, op *overlayPeer) {
	op.dialling = true
	go func() {
		conn, err := n.opts.Dialer.Dial(ctx, p.addr)
		if err == nil {
			err = n.runConn(ctx, conn, op)
		}
		n.opts.Log.Event(event.RelayLost).Str("peer", p.key).Err(err).Send()
		n.recordDisconnect(op, time.Now())
	}()
}

// runConn attaches a dialled connection and runs it until it ends.
func (n *Node) runConn(ctx context.Context, conn *peer.Conn, op *overlayPeer) error {
	n.mu.Lock()
	op.conn, op.dialling, op.openedAt, op.unwanted = conn, false, time.Now(), false
	n.mu.Unlock()
	detach := n.Attach(conn)
	defer detach()
	return conn.Run(ctx, n.Heartbeat, func(m peer.Message) { n.Handle(conn, m) })
}

// recordDisconnect records that a connection ended or could not be opened, and
// sets the time of the next attempt by exponential backoff with jitter.
func (n *Node) recordDisconnect(op *overlayPeer, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if op.conn != nil && now.Sub(op.openedAt) > stablePeriod {
		op.failures = 0
	}
	op.conn, op.dialling = nil, false
	backoff := min(maxBackoff, initialBackoff<<min(op.failures, 10))
	op.failures++
	op.nextDialAt = now.Add(backoff/2 + time.Duration(rand.Int64N(int64(backoff))))
}
