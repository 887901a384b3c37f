package spread

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/relay"
)

// Times of keeping connections.
const (
	relayInterval = time.Second      // between two looks at the connections
	firstBackoff  = time.Second      // after the first failure of a peer
	mostBackoff   = time.Minute      // after many failures
	stableTime    = 30 * time.Second // how long a connection lasts before its peer's failures are forgotten
)

// relayState is what a node knows of a peer that it dialled.
type relayState struct {
	conn       *peer.Conn // nil while there is none
	dialling   bool
	failures   int
	notBefore  time.Time // of the next attempt
	openedAt   time.Time
	unwanted   bool
	unwantedAt time.Time
}

// place is a peer to dial.
type place struct {
	key  string // name of the peer, or address of a seed
	addr netip.AddrPort
}

// keepRelays keeps the wanted connections until ctx is done.
func (n *Node) keepRelays(ctx context.Context) {
	for ctx.Err() == nil {
		n.maintain(ctx, time.Now())
		sleep(ctx, relayInterval/2+time.Duration(rand.Int64N(int64(relayInterval))))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.relays {
		if r.conn != nil {
			r.conn.Close()
		}
	}
}

// maintain dials what is wanted and not connected, and closes what it dialled
// and is not wanted any more.
func (n *Node) maintain(ctx context.Context, now time.Time) {
	addrs := map[string]netip.AddrPort{}
	for _, t := range n.opts.Members.Targets() {
		addrs[t.Name] = t.Addr
	}
	groups := relay.Groups(n.selfMember(), n.members())
	n.mu.Lock()
	defer n.mu.Unlock()
	attached := map[string]bool{}
	for conn := range n.peers {
		attached[conn.Remote().Name] = true
	}
	wanted := map[string]bool{}
	for _, g := range groups {
		n.fill(ctx, g, addrs, attached, wanted, now)
	}
	if len(attached) == 0 {
		n.dialSeeds(ctx, now)
	}
	n.closeUnwanted(wanted, addrs, now)
}

func (n *Node) selfMember() relay.Member {
	return relay.Member{Name: n.opts.Self.Name, Region: n.opts.Self.Region, Zone: n.opts.Self.Zone}
}

// fill dials the first members of a group that are not known to fail. The
// caller holds n.mu.
func (n *Node) fill(ctx context.Context, g relay.Group, addrs map[string]netip.AddrPort, attached, wanted map[string]bool, now time.Time) {
	have := 0
	for _, m := range g.Members {
		if have == g.Want {
			return
		}
		r := n.relay(m.Name)
		switch {
		case attached[m.Name], r.dialling:
		case now.Before(r.notBefore):
			continue
		default:
			n.dial(ctx, place{key: m.Name, addr: addrs[m.Name]}, r)
		}
		wanted[m.Name] = true
		have++
	}
}

func (n *Node) dialSeeds(ctx context.Context, now time.Time) {
	for _, addr := range n.opts.Seeds {
		r := n.relay(addr.String())
		if r.conn == nil && !r.dialling && !now.Before(r.notBefore) {
			n.dial(ctx, place{key: addr.String(), addr: addr}, r)
		}
	}
}

// relay returns the state of a peer to dial. The caller holds n.mu.
func (n *Node) relay(key string) *relayState {
	r := n.relays[key]
	if r == nil {
		r = &relayState{}
		n.relays[key] = r
	}
	return r
}

// closeUnwanted closes connections that were not wanted for stableTime and
// forgets peers that are no members any more. The caller holds n.mu.
func (n *Node) closeUnwanted(wanted map[string]bool, addrs map[string]netip.AddrPort, now time.Time) {
	for key, r := range n.relays {
		_, member := addrs[key]
		switch {
		case r.conn == nil:
			if !member && !r.dialling && now.After(r.notBefore.Add(mostBackoff)) {
				delete(n.relays, key)
			}
		case wanted[key] || wanted[r.conn.Remote().Name]:
			r.unwanted = false
		case !r.unwanted:
			r.unwanted, r.unwantedAt = true, now
		case now.Sub(r.unwantedAt) > stableTime:
			r.conn.Close()
		}
	}
}

// dial opens a connection in the background. The caller holds n.mu.
func (n *Node) dial(ctx context.Context, p place, r *relayState) {
	r.dialling = true
	go func() {
		conn, err := n.opts.Dialer.Dial(ctx, p.addr)
		if err == nil {
			err = n.serve(ctx, conn, r)
		}
		n.opts.Log.At(event.RelayLost).Str("peer", p.key).Err(err).Send()
		n.lost(r, time.Now())
	}()
}

// serve runs a dialled connection until it ends.
func (n *Node) serve(ctx context.Context, conn *peer.Conn, r *relayState) error {
	n.mu.Lock()
	r.conn, r.dialling, r.openedAt, r.unwanted = conn, false, time.Now(), false
	n.mu.Unlock()
	detach := n.Attach(conn)
	defer detach()
	return conn.Run(ctx, n.Beat, func(m peer.Message) { n.Handle(conn, m) })
}

// lost notes that a connection ended or could not be opened. A peer that fails
// again and again is left alone for longer and longer.
func (n *Node) lost(r *relayState, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.conn != nil && now.Sub(r.openedAt) > stableTime {
		r.failures = 0
	}
	r.conn, r.dialling = nil, false
	backoff := min(mostBackoff, firstBackoff<<min(r.failures, 10))
	r.failures++
	r.notBefore = now.Add(backoff/2 + time.Duration(rand.Int64N(int64(backoff))))
}
