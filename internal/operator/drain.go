package operator

import (
	"context"
	"net/netip"
	"os"
	"strings"

	"github.com/borageusher/borageusher/internal/daemon"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/internal/registration"
	"github.com/borageusher/borageusher/internal/settings"
	"github.com/borageusher/borageusher/pkg/target"
)

// drainFlags are the flags of the command drain.
type drainFlags struct {
	direct      string // address of the targetd; if empty, the object API is used
	keyFile     string // file with the peer key
	authorities string // PEM file with the certificate authorities of the targetd
}

func (f *drainFlags) add(c *commandLine) {
	c.flags.StringVar(&f.direct, "direct", "", "`address` of the targetd, to drain it without the platform")
	c.flags.StringVar(&f.keyFile, "key", "", "`file` with the peer key, for -direct")
	c.flags.StringVar(&f.authorities, "authorities", "", "PEM `file` with the authorities to verify the targetd's certificate, for -direct")
}

func runDrain(c *commandLine) int {
	if c.flags.NArg() != 1 {
		c.flags.Usage()
		return exitUsage
	}
	if c.drain.direct != "" {
		return runDrainDirect(c)
	}
	store, err := c.objectAPI()
	if err != nil {
		return c.fail(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	name := c.flags.Arg(0)
	o, err := store.Get(ctx, objects.Targets, name)
	if objects.IsKind(err, objects.NotFound) {
		return c.fail(&Error{Op: "drain " + name, Kind: NoTarget})
	}
	if err != nil {
		return c.fail(err)
	}
	t, err := registration.Decode(o.Value)
	if err != nil {
		return c.fail(err)
	}
	rec := registration.Record{Target: t, Version: o.Version}
	if _, err := registration.SetState(ctx, store, rec, target.Leaving); err != nil {
		return c.fail(err)
	}
	c.printf("target %s is leaving\n", name)
	return exitOK
}

// runDrainDirect sends the drain message to the targetd over a peer connection,
// so that a target can be drained while the object API is unavailable. The
// handshake authenticates both sides with the peer key; the name of the remote
// process is compared with that of the target.
func runDrainDirect(c *commandLine) int {
	dialer, addr, err := c.drain.dialer()
	if err != nil {
		return c.fail(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	conn, err := dialer.Dial(ctx, addr)
	if err != nil {
		return c.fail(err)
	}
	defer conn.Close()
	name := c.flags.Arg(0)
	if conn.Remote().Name != name {
		return c.fail(&Error{Op: "drain " + name + " at " + addr.String(), Kind: NoTarget})
	}
	if _, err := conn.Send(peer.Drain{Epoch: conn.Remote().Epoch}); err != nil {
		return c.fail(err)
	}
	if err := awaitDraining(ctx, conn); err != nil {
		return c.fail(err)
	}
	c.printf("target %s is leaving\n", name)
	return exitOK
}

// awaitDraining waits for a heartbeat in which the targetd reports that it is
// draining.
func awaitDraining(ctx context.Context, conn *peer.Conn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	draining := false
	heartbeat := func() peer.Heartbeat { return peer.Heartbeat{} }
	err := conn.Run(ctx, heartbeat, func(m peer.Message) {
		if h, ok := m.(peer.Heartbeat); ok && h.Draining {
			draining = true
			cancel()
		}
	})
	if draining {
		return nil
	}
	return err
}

func (f *drainFlags) dialer() (*peer.Dialer, netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(f.direct)
	if err != nil {
		return nil, addr, &Error{Op: "read flags", Kind: BadFlag, Err: err}
	}
	key, err := os.ReadFile(f.keyFile)
	if err != nil {
		return nil, addr, &Error{Op: "read key", Kind: BadFlag, Err: err}
	}
	self := peer.Identity{Name: "operator", Role: "operator", Incarnation: daemon.NewIncarnation()}
	d, err := daemon.NewDialer(self, settings.Common{
		PeerKey: strings.TrimSpace(string(key)),
		CAFile:  f.authorities,
	})
	return d, addr, err
}
