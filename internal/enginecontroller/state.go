package enginecontroller

import (
	"reflect"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
)

// sendChanges broadcasts the engine's state if it changed, and its load if it
// changed enough to affect routing decisions.
func (k *Controller) sendChanges(now time.Time) {
	state := k.engineState()
	if !reflect.DeepEqual(state, k.state) {
		k.state = state
		k.broadcast(state)
	}
	load := peer.EngineLoad{
		Running:         k.report.Running,
		Queued:          k.report.Queued,
		MissingAdapters: k.planner.Missing(now, &k.report),
		Full:            k.planner.Full(),
	}
	if !loadChanged(k.load, load) || (now.Sub(k.loadSentAt) < minLoadUpdateInterval && load.Full == k.load.Full) {
		return
	}
	k.load, k.loadSentAt = load, now
	k.broadcast(load)
}

// loadChanged reports whether the current load differs from the one last sent by
// enough to be sent again. Entry processes account for their own requests, so
// that smaller differences don't matter to them.
func loadChanged(known, now peer.EngineLoad) bool {
	difference := max(now.Running+now.Queued-known.Running-known.Queued, known.Running+known.Queued-now.Running-now.Queued)
	return difference >= minLoadChange || now.MissingAdapters != known.MissingAdapters || now.Full != known.Full
}

// broadcast sends m to all connected entry processes.
func (k *Controller) broadcast(m peer.Message) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		_, _ = c.Send(m) // after an error the entry process reconnects
	}
}

// engineState returns the state of the engine as sent to entry processes.
func (k *Controller) engineState() peer.EngineState {
	s := peer.EngineState{
		Instance:         k.instance(),
		Started:          k.report.Started,
		Reachable:        k.reachable,
		Departing:        k.report.Departing,
		Resident:         adapterVersions(k.report.Adapters),
		Loading:          adapterVersions(k.report.Loading),
		UnansweredOrders: k.unansweredOrders,
		ConnectedEntries: k.entryCount(),
	}
	for _, m := range k.report.Models {
		s.Models = append(s.Models, m.Name)
	}
	return s
}

// adapterVersions converts adapters of a report to their message form.
func adapterVersions(in []orders.Resident) []peer.AdapterVersion {
	var out []peer.AdapterVersion
	for _, a := range in {
		out = append(out, peer.AdapterVersion{Model: a.Adapter.Model, Adapter: a.Adapter.Name, Version: a.Version})
	}
	return out
}
