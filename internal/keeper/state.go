package keeper

import (
	"reflect"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
)

// tell sends the entries what changed: the engine's state at once, its load if
// it differs enough to change a choice.
func (k *Keeper) tell(now time.Time) {
	state := k.describe()
	if !reflect.DeepEqual(state, k.state) {
		k.state = state
		k.send(state)
	}
	load := peer.EngineLoad{
		Running: k.report.Running,
		Queued:  k.report.Queued,
		Wanted:  k.planner.Missing(now, &k.report),
		Full:    k.planner.Full(),
	}
	if !worthTelling(k.load, load) || (now.Sub(k.loadTold) < loadInterval && load.Full == k.load.Full) {
		return
	}
	k.load, k.loadTold = load, now
	k.send(load)
}

// worthTelling reports whether a load differs from the one that entries know by
// more than their own requests tell them.
func worthTelling(known, now peer.EngineLoad) bool {
	difference := max(now.Running+now.Queued-known.Running-known.Queued, known.Running+known.Queued-now.Running-now.Queued)
	return difference >= loadStep || now.Wanted != known.Wanted || now.Full != known.Full
}

// send sends m to all entries.
func (k *Keeper) send(m peer.Message) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.links {
		_, _ = c.Send(m) // a failed link is dialled again
	}
}

func (k *Keeper) describe() peer.EngineState {
	s := peer.EngineState{
		Instance:   k.instance(),
		Started:    k.report.Started,
		Reachable:  k.reachable,
		Departing:  k.report.Departing,
		Resident:   describeAdapters(k.report.Adapters),
		Coming:     describeAdapters(k.report.Coming),
		Unanswered: k.unanswered,
		Entries:    k.entries(),
	}
	for _, m := range k.report.Models {
		s.Models = append(s.Models, m.Name)
	}
	return s
}

func describeAdapters(in []orders.Resident) []peer.AdapterVersion {
	var out []peer.AdapterVersion
	for _, a := range in {
		out = append(out, peer.AdapterVersion{Model: a.Adapter.Model, Adapter: a.Adapter.Name, Version: a.Version})
	}
	return out
}
