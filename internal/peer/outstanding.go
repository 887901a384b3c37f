package peer

import (
	"net/http"
	"time"

	"github.com/borageusher/borageusher/pkg/orders"
)

// OutstandingOrders names orders that an engine may still execute although its targetd has
// given them up. Targetds report them to entryds, which keep them for the targetd that is
// started next. An entryd sends it first, possibly without orders, and only to a targetd that
// announces that it keeps them. A targetd sends it only to an entryd that has sent one;
// processes of earlier releases don't know the message.
type OutstandingOrders struct {
	Instance string // of the engine
	Orders   []orders.OutstandingOrder
}

// keepsOrdersHeader is the header of the response to a WebSocket upgrade by which a targetd
// announces that it keeps outstanding orders. Earlier releases ignore it.
const keepsOrdersHeader = "Keeps-Outstanding-Orders"

// AnnounceOrders announces in the header of the response to an upgrade that this process keeps
// outstanding orders. It is to be called before Accept.
func AnnounceOrders(h http.Header) { h.Set(keepsOrdersHeader, "1") }

// KeepsOrders reports whether the process at the other end of a dialled connection keeps
// outstanding orders.
func (c *Conn) KeepsOrders() bool { return c.keepsOrders }

type outstandingOrdersWire struct {
	_        struct{} `cbor:",toarray"`
	Instance string
	Orders   []outstandingOrderWire
}

type outstandingOrderWire struct {
	_        struct{} `cbor:",toarray"`
	Sequence int64
	Unload   bool
	Model    string
	Adapter  string
	Version  int64
	WithinMS int64
}

func outstandingOrdersToWire(m OutstandingOrders) *outstandingOrdersWire {
	w := &outstandingOrdersWire{Instance: m.Instance}
	for _, o := range m.Orders {
		w.Orders = append(w.Orders, outstandingOrderWire{
			Sequence: o.Sequence,
			Unload:   o.Order.Unload,
			Model:    o.Order.Adapter.Model,
			Adapter:  o.Order.Adapter.Name,
			Version:  o.Order.Version,
			WithinMS: o.Within.Milliseconds(),
		})
	}
	return w
}

func (w *outstandingOrdersWire) message() Message {
	m := OutstandingOrders{Instance: w.Instance}
	for _, o := range w.Orders {
		m.Orders = append(m.Orders, orders.OutstandingOrder{
			Sequence: o.Sequence,
			Order: orders.Order{
				Unload:  o.Unload,
				Adapter: orders.Adapter{Model: o.Model, Name: o.Adapter},
				Version: o.Version,
			},
			Within: time.Duration(o.WithinMS) * time.Millisecond,
		})
	}
	return m
}
