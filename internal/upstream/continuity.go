package upstream

import (
	"net/netip"
	"time"
)

// continuityRetention is the time for which an interruption is remembered after the last
// connection to a target was closed. It exceeds the time for which users of the package take
// one into account, 8 s.
const continuityRetention = 10 * time.Second

// minIdleTimeout is the shortest time after which targets close idle connections: those of the
// users' deployments state whole seconds.
const minIdleTimeout = time.Second

// Continuity is the evidence that the connections to a target give on whether the same process
// has responded for some time. A process that ends closes all its connections.
type Continuity struct {
	Open          bool      // there is a connection, idle or with a request
	Since         time.Time // since when there have been connections without an interruption, if Open is set
	InterruptedAt time.Time // last time at which the target broke a response off or closed a connection that was just used, zero if none is remembered
}

// targetConns is what is known of the connections to a target.
type targetConns struct {
	open          int
	since         time.Time
	interruptedAt time.Time
}

// Continuity returns the evidence of the connections to the target at addr.
func (c *Client) Continuity(addr netip.AddrPort) Continuity {
	c.mu.Lock()
	defer c.mu.Unlock()
	tc := c.targets[addr]
	if tc == nil {
		return Continuity{}
	}
	return Continuity{Open: tc.open > 0, Since: tc.since, InterruptedAt: tc.interruptedAt}
}

// connected records that a connection to the target at addr was opened.
func (c *Client) connected(now time.Time, addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tc := c.targets[addr]
	if tc == nil {
		tc = &targetConns{}
		c.targets[addr] = tc
	}
	if tc.open++; tc.open == 1 {
		tc.since = now
	}
}

// disconnected records that a connection to the target at addr was closed.
func (c *Client) disconnected(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if tc := c.targets[addr]; tc != nil {
		tc.open--
	}
}

// interrupted records that the target at addr broke a response off.
func (c *Client) interrupted(now time.Time, addr netip.AddrPort) { c.closedAfter(now, addr, 0) }

// closedAfter records that the target at addr closed a connection that had been idle for the given
// time. From minIdleTimeout on, the target may have closed it for being idle.
func (c *Client) closedAfter(now time.Time, addr netip.AddrPort, idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tc := c.targets[addr]
	if tc == nil {
		return
	}
	tc.since = now
	if idle < minIdleTimeout {
		tc.interruptedAt = now
	}
}

// expireTargets forgets targets without a connection and a recent interruption. The caller holds
// mu.
func (c *Client) expireTargets(now time.Time) {
	for addr, tc := range c.targets {
		if tc.open == 0 && now.Sub(tc.interruptedAt) > continuityRetention {
			delete(c.targets, addr)
		}
	}
}
