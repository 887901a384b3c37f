package upstream

import (
	"context"
	"net/netip"

	"github.com/borageusher/borageusher/internal/socket"
)

// Probe opens a connection to the target at addr and closes it without a request. It
// returns the reason if none could be opened.
func (c *Client) Probe(ctx context.Context, addr netip.AddrPort) error {
	conn, err := dial(ctx, addr, socket.Buffers{})
	if err != nil {
		return err
	}
	_ = conn.Close() // no request is affected by an error
	return nil
}
