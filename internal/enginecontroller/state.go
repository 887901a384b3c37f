package enginecontroller

import (
	"reflect"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
)

// sendChanges broadcasts the engine's state if it changed, and its load if it
// changed enough to affect routing decisions.
func (ec *Controller) sendChanges(now time.Time) {
	state := ec.engineState()
	if !reflect.DeepEqual(state, ec.state) {
		ec.state = state
		ec.broadcast(state)
	}
	load := peer.EngineLoad{
		Running:         ec.report.Running,
		Queued:          ec.report.Queued,
		MissingAdapters: ec.planner.Missing(now, &ec.report),
		Full:            ec.planner.Full(),
	}
	if !loadChanged(ec.load, load) || (now.Sub(ec.loadSentAt) < minLoadUpdateInterval && load.Full == ec.load.Full) {
		return
	}
	ec.load, ec.loadSentAt = load, now
	ec.broadcast(load)
}

// loadChanged reports whether the current load differs from the one sent last by
// enough to be sent again. Entryds account for their own requests, so
// that smaller differences don't matter to them.
func loadChanged(sent, current peer.EngineLoad) bool {
	difference := max(current.Running+current.Queued-sent.Running-sent.Queued, sent.Running+sent.Queued-current.Running-current.Queued)
	return difference >= minLoadChange || current.MissingAdapters != sent.MissingAdapters || current.Full != sent.Full
}

// broadcast sends m to all connected entryds.
func (ec *Controller) broadcast(m peer.Message) {
	ec.mu.Lock()
	defer ec.mu.Unlock()
	for c := range ec.conns {
		_, _ = c.Send(m) // after an error the entryd reconnects
	}
}

// engineState returns the state of the engine as sent to entryds.
func (ec *Controller) engineState() peer.EngineState {
	s := peer.EngineState{
		Instance:         ec.instance(),
		Started:          ec.report.Started,
		Reachable:        ec.reachable,
		Departing:        ec.report.Departing,
		Resident:         adapterVersions(ec.report.Adapters),
		Loading:          adapterVersions(ec.report.Loading),
		UnansweredOrders: ec.unansweredOrders,
		ConnectedEntries: ec.entrydCount(),
	}
	for _, m := range ec.report.Models {
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
