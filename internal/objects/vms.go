package objects

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
)

// VM is one entry of the platform's list of VMs. The list is updated with a
// delay.
type VM struct {
	Addr    netip.Addr
	Leaving bool
}

type vmWire struct {
	Address string `json:"address"`
	State   string `json:"state"`
}

// VMs returns the platform's list of live and leaving VMs. The error is of kind
// Unavailable if there is no valid response.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	resp, err := c.WithPurpose(ForVMs).do(ctx, "vms", http.MethodGet, c.baseURL+"/v1/vms", nil, nil)
	if err != nil {
		return nil, err
	}
	var entries []vmWire
	if err := json.Unmarshal(resp.body, &entries); err != nil {
		return nil, &Error{Op: "vms", Kind: Unavailable, Err: err}
	}
	var out []VM
	for _, w := range entries {
		addr, err := netip.ParseAddr(w.Address)
		if err != nil {
			return nil, &Error{Op: "vms", Kind: Unavailable, Err: err}
		}
		out = append(out, VM{Addr: addr, Leaving: w.State == "leaving"})
	}
	return out, nil
}
