package gateway

import (
	"sync"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/internal/permits"
	"github.com/borageusher/borageusher/pkg/assignment"
	"github.com/borageusher/borageusher/pkg/holder"
	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/routing"
	"github.com/borageusher/borageusher/pkg/target"
)

// maxConcurrentLoads is the number of adapters that an engine loads
// concurrently, according to the platform's documentation.
const maxConcurrentLoads = 4

// Fleet holds the state of all targets as known to a gateway. It is safe for
// concurrent use.
type Fleet struct {
	zone    string
	region  string
	regions map[string]string
	log     event.Log

	mu              sync.Mutex
	targets         map[string]*targetState  // by the target's id
	services        map[string]*serviceIndex // of the same targets
	sampler         sampler
	slowTargets     int   // as of the last sweep
	fullChoices     int64 // since the last call of choiceStats
	maxFullChoice   int   // number of targets up to which a choice looks at all
	cfg             *routing.Configuration
	versions        map[orders.Adapter]int64
	latencies       map[string]*latencyStats         // by service
	changes         map[orders.Adapter]chan struct{} // closed when the adapter becomes resident somewhere or the targets change
	targetsListed   bool                             // the targets were listed at least once
	entriesAsOf     time.Time                        // time up to which the targets' entries in the store are known
	drainTime       time.Duration                    // for which a target serves after it has announced that it leaves
	versionsListed  bool                             // the announced versions were listed at least once
	epoch           time.Time                        // time base of the attempts' lastActivity
	lastScan        time.Time                        // last run of cancelStalled
	notices         map[target.Incarnation]*targetNotice
	unconfirmed     map[string]unconfirmedEntry // by id
	removed         map[string]removedTarget    // by id
	superseded      map[string]target.Replica   // entries that are not used while a later start has their address, by id
	limits          map[string]*rateLimit       // by incarnation of the target
	permits         *permits.Issuer             // used while no targetd is connected
	lastPermit      uint64                      // id of the last permit request
	lastEntrydCount int                         // last known number of entryds
	origins         streamOrigins
	conns           connTracker                  // evidence of the connections to targets, nil if there is none
	outstanding     *orders.Outstanding          // orders that engines may still execute, as targetds reported them
	unsentCrashes   []peer.CrashReport           // while no targetd was connected
	membership      holder.Membership            // of the targetds
	onTarget        func(*targetState)           // called with mu held for added targets, and for all on a new configuration
	onEnded         func(time.Time, endedTarget) // called for targets that ended without having announced it, nil for none
}

// NewFleet returns a fleet without targets. Distances are computed from the
// given availability zone and region; regions maps zones to regions.
func NewFleet(zone, region string, regions map[string]string, log event.Log) *Fleet {
	return &Fleet{
		zone:          zone,
		region:        region,
		regions:       regions,
		log:           log,
		targets:       map[string]*targetState{},
		services:      map[string]*serviceIndex{},
		maxFullChoice: maxFullChoice,
		versions:      map[orders.Adapter]int64{},
		latencies:     map[string]*latencyStats{},
		changes:       map[orders.Adapter]chan struct{}{},
		notices:       map[target.Incarnation]*targetNotice{},
		unconfirmed:   map[string]unconfirmedEntry{},
		superseded:    map[string]target.Replica{},
		removed:       map[string]removedTarget{},
		limits:        map[string]*rateLimit{},
		permits:       permits.New(),
		origins:       newStreamOrigins(),
		outstanding:   orders.NewOutstanding(),
		epoch:         time.Now(),
	}
}

// Listed reports whether the targets and the versions of adapters were listed, so
// that requests can be routed.
func (f *Fleet) Listed() bool { return f.missingList() == "" }

// missingList returns the reason for unreadiness if the targets or versions were
// not listed yet, empty if both were.
func (f *Fleet) missingList() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.targetsListed:
		return "no_targets"
	case !f.versionsListed:
		return "no_versions"
	}
	return ""
}

// changeSignal returns a channel that is closed at the next change that may
// unblock a request that waits for the adapter. The caller holds mu.
func (f *Fleet) changeSignal(a orders.Adapter) <-chan struct{} {
	ch := f.changes[a]
	if ch == nil {
		ch = make(chan struct{})
		f.changes[a] = ch
	}
	return ch
}

// notify wakes the requests that wait for an adapter. The caller holds mu.
func (f *Fleet) notify(a orders.Adapter) {
	if ch := f.changes[a]; ch != nil {
		close(ch)
		delete(f.changes, a)
	}
}

// notifyAll wakes all waiting requests. The caller holds mu.
func (f *Fleet) notifyAll() {
	for a := range f.changes {
		f.notify(a)
	}
}

// upsert adds or updates a target from its entry in the store. The caller holds
// mu.
func (f *Fleet) upsert(now time.Time, r target.Replica) {
	if f.isSuperseded(r) {
		f.setAside(now, r)
		return
	}
	delete(f.superseded, r.ID)
	f.recordStart(now, r)
	f.setAsideSuperseded(now, r)
	t := f.targets[r.ID]
	if t != nil && (t.replica.Addr != r.Addr || t.replica.Service != r.Service || t.replica.Incarnation() != r.Incarnation() || t.replica.Version != r.Version) {
		if restarts(r, t.replica) {
			f.retractUnconfirmed(now, t)
		}
		f.drop(now, t) // a new incarnation shares no state with the previous one
		t = nil
	}
	if t == nil {
		t = newTargetState(now, r, f.noticeOf(r.Incarnation()), f.limitOf(r.Incarnation().String()))
		t.distance = f.distance(r.Zone)
		if r.State == target.Live {
			t.recordServing(now)
		}
		f.targets[r.ID] = t
		f.indexOf(r.Service).all.add(t)
		t.notice.goneAt = time.Time{}
		f.logState(r, "added")
		if f.onTarget != nil {
			f.onTarget(t)
		}
		f.notifyAll()
	}
	if t.replica.State != r.State {
		f.logState(r, r.State.String())
		f.indexOf(r.Service).forget()
	}
	t.replica = r
	t.goneAt = time.Time{}
	if r.State == target.Leaving {
		f.recordLeaving(now, t, "entry")
	}
}

// logState logs a change of a target's state.
func (f *Fleet) logState(r target.Replica, state string) {
	f.log.Event(event.TargetChanged).
		Str("target", r.ID).
		Str("service", r.Service).
		Stringer("address", r.Addr).
		Str("version", r.Version).
		Str("state", state).
		Send()
}

// remove handles a target whose entry is missing. The target is dropped at once,
// or at the time settled if it was live and entries may still be written again
// until then. The caller holds mu.
func (f *Fleet) remove(now time.Time, t *targetState, settled time.Time) {
	if t.replica.State == target.Live && now.Before(settled) {
		if t.goneAt.IsZero() {
			t.goneAt = settled
			f.logState(t.replica, "lapsed")
		}
		return
	}
	f.logState(t.replica, "gone")
	f.recordRemoved(now, t)
	f.drop(now, t)
}

// drop removes a target and closes the connection to its targetd. The caller
// holds mu.
func (f *Fleet) drop(now time.Time, t *targetState) {
	delete(f.targets, t.replica.ID)
	f.indexOf(t.replica.Service).remove(t)
	f.noticeOf(t.replica.Incarnation()).goneAt = now
	t.replica.State = target.Gone
	if t.closeConn != nil {
		t.closeConn()
	}
	f.notifyAll()
}

// Sweep drops the targets whose entries lapsed and were not written again in
// time, adds those whose entries were confirmed, and drops the notices of former targets.
func (f *Fleet) Sweep(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addConfirmed(now)
	for _, t := range f.targets {
		if !t.goneAt.IsZero() && !now.Before(t.goneAt) {
			f.logState(t.replica, "gone")
			f.recordRemoved(now, t)
			f.drop(now, t)
		}
	}
	f.expireRemoved(now)
	f.reinstate(now)
	f.logSpeeds(now)
	f.expireNotices(now)
	f.expireLimits(now)
	f.expireOrigins(now)
	f.outstanding.Expire(now)
}

// distance returns the network distance to an availability zone.
func (f *Fleet) distance(zone string) assignment.Distance {
	switch {
	case zone == f.zone:
		return assignment.SameZone
	case f.regions[zone] == f.region:
		return assignment.SameRegion
	}
	return assignment.OtherRegion
}

// zoneDistance returns the network distance between two targets.
func (f *Fleet) zoneDistance(a, b *targetState) assignment.Distance {
	switch {
	case a.replica.Zone == b.replica.Zone:
		return assignment.SameZone
	case f.regions[a.replica.Zone] == f.regions[b.replica.Zone]:
		return assignment.SameRegion
	}
	return assignment.OtherRegion
}

// setConfiguration applies a newer configuration.
func (f *Fleet) setConfiguration(cfg *routing.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cfg = cfg
	for _, t := range f.targets {
		f.sendEngineSpec(t)
		if f.onTarget != nil {
			f.onTarget(t)
		}
	}
}

// sendEngineSpec sends a targetd its engine's limits and all announced adapter
// versions. The caller holds mu.
func (f *Fleet) sendEngineSpec(t *targetState) {
	if t.conn == nil || f.cfg == nil {
		return
	}
	e := f.cfg.Services[t.replica.Service].Engine
	if e == nil {
		return
	}
	if t.conn.PlansByModel() {
		_, _ = t.conn.Send(engineModels(t.replica.Started, e)) // everything is sent again after a reconnect
	}
	m := peer.EngineSpec{
		Instance:     t.replica.ID,
		Started:      t.replica.Started.UnixMilli(),
		AdapterSlots: e.AdapterSlots,
		WeightsMB:    e.WeightsMB,
		MaxLoads:     maxConcurrentLoads,
		Paces:        true,
	}
	if len(e.Models) > 0 {
		first := e.Models[0]
		m.Model, m.ModelMB, m.AdapterMB = first.Name, first.WeightsMB, first.AdapterMB
	}
	for a, v := range f.versions {
		m.Announced = append(m.Announced, peer.AdapterVersion{Model: a.Model, Adapter: a.Name, Version: v})
	}
	_, _ = t.conn.Send(m) // everything is sent again after a reconnect
}

// engineModels returns the message with the sizes of the models of an engine.
func engineModels(started time.Time, e *routing.Engine) peer.EngineModels {
	m := peer.EngineModels{Started: started.UnixMilli()}
	for _, model := range e.Models {
		m.Models = append(m.Models, orders.ModelSize{Name: model.Name, WeightsMB: model.WeightsMB, AdapterMB: model.AdapterMB})
	}
	return m
}

// version returns the newest announced version of an adapter, zero for none. The
// caller holds mu.
func (f *Fleet) version(a orders.Adapter) int64 {
	return f.versions[a]
}

// observeLoad records the load reported in a response header, and that the
// target is reachable.
func (f *Fleet) observeLoad(now time.Time, t *targetState, l Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.Slots > 0 {
		t.observeLoad(now, l)
	}
	t.speed.reported.Observe(now, l.Slowness)
	t.connectFailures = 0
}

// observeLatency records the time to the first event of a response and to its
// end.
func (f *Fleet) observeLatency(now time.Time, t *targetState, firstEvent, duration time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latencyOf(t.replica.Service).observe(firstEvent, duration, t.speed.reported.Factor(now))
}

// recordConnectFailure records a failed connection to a target, which is then
// avoided for some time.
func (f *Fleet) recordConnectFailure(now time.Time, t *targetState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	avoidFor := t.recordConnectFailure(now)
	f.log.Event(event.TargetAvoided).Str("target", t.replica.ID).Str("reason", "unreachable").Dur("for", avoidFor).Send()
}

// recordFailure records a failed request at a target.
func (f *Fleet) recordFailure(now time.Time, t *targetState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.recordFailure(now)
}

// removeResident records that a target refused a request because it is another
// incarnation or does not hold the adapter.
func (f *Fleet) removeResident(t *targetState, a orders.Adapter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(t.resident, a)
	f.reindex(t, a)
}

// entrydCount returns the highest number of entryds that a targetd reports, the last one
// known if none does any more, and zero if none ever did.
func (f *Fleet) entrydCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.highestEntrydCount()
}

// highestEntrydCount does what entrydCount does. The caller holds mu.
func (f *Fleet) highestEntrydCount() int {
	highest := 0
	for _, t := range f.targets {
		highest = max(highest, t.state.ConnectedEntries)
	}
	if highest > 0 {
		f.lastEntrydCount = highest
	}
	return f.lastEntrydCount
}

func (f *Fleet) targetCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.targets)
}
