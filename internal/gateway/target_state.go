package gateway

import (
	"math"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/assignment"
	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/placement"
	"github.com/borageusher/borageusher/pkg/promptcache"
	"github.com/borageusher/borageusher/pkg/retry"
	"github.com/borageusher/borageusher/pkg/target"
)

// Validity of a target's state and default load times.
const (
	// loadTTL is how long the load that a target reported is used. A targetd reports
	// only changes; it counts as lost after this time without any message.
	loadTTL = peer.SilenceTimeout
	// minAvoidTime and maxAvoidTime bound how long an unreachable target is
	// avoided: from the shortest time of a restart to the interval of the
	// platform's heartbeats, after which the target's entry is up to date.
	minAvoidTime = 250 * time.Millisecond
	maxAvoidTime = 1200 * time.Millisecond
	// failureHalfLife is the half-life of the failure score.
	failureHalfLife = 3 * time.Second
	// targetdSilenceTimeout is the time after which a targetd counts as silent:
	// two of its heartbeats plus the network latency between regions.
	targetdSilenceTimeout = 2*peer.HeartbeatInterval + 200*time.Millisecond
	// defaultLoadTime is the assumed time to load an adapter until one was
	// observed: the time of a load from the weight store on the users' data
	// sheets.
	defaultLoadTime = 250 * time.Millisecond
	// warmLoadTime is the time to load an adapter that the engine's VM still has
	// in memory: a tenth of defaultLoadTime, plus the interval at which the
	// targetd polls the engine.
	warmLoadTime = 50 * time.Millisecond
	// loadQueueStep is the number of missing adapters per which the expected
	// time grows by one mean load time.
	loadQueueStep = 4 * maxConcurrentLoads
)

// targetState is the gateway's view of one target. Its request counts cover only
// the requests of this gateway, unless stated otherwise.
type targetState struct {
	replica     target.Replica
	incarnation string // identifies the target's start in crash reports
	hash        uint64 // rendezvous hash of the address
	vmHash      uint64 // rendezvous hash of the address without its port, that of the targetd
	distance    assignment.Distance
	added       time.Time
	goneAt      time.Time // end of the grace period of a lapsed entry, zero if it did not lapse
	servingAt   time.Time // last time at which it is known not to have announced that it leaves, zero if there is none
	notice      *targetNotice
	limit       *rateLimit
	turnedAway  chan struct{} // closed and replaced when the calls that wait for the target have to choose again

	conn             *peer.Conn // to the targetd, nil while disconnected
	state            peer.EngineState
	stateAt          time.Time                // zero until the first report
	stateOfConn      bool                     // state was received on conn
	stateAsked       bool                     // the targetd was asked whether state is up to date
	startConfirmedAt time.Time                // last message of the targetd while it reported the start in the entry
	unreachableAt    time.Time                // since when the targetd reports its engine as unreachable, if it does
	resident         map[orders.Adapter]int64 // version of each adapter that the engine holds
	loading          map[orders.Adapter]bool  // adapters that the engine is loading
	recent           recentAdapters           // adapters that it held recently
	reportedRequests int                      // that run or wait at the engine, according to its last report
	missingAdapters  int                      // missing adapters that requests of all entryds wait for
	slotsPinned      bool                     // no resident adapter can be evicted before requests end
	lastMessageAt    time.Time                // last message of the targetd
	vmAliveAt        time.Time                // last liveness signal of the target's VM, zero until the first one; also set after a pause of this process
	closeConn        func()                   // stops maintaining conn
	originsLostAt    time.Time                // last loss of a connection to a targetd that keeps origins

	paces      bool              // the targetd is offered prompts
	pacedUntil time.Time         // until when prompts have to be paced, according to the targetd
	offers     map[uint64]*offer // prompts offered to the targetd that have not ended
	lastOffer  uint64            // id of the last offer

	permitRequests map[uint64]chan peer.PermitAnswer // requests to the targetd that have no answer yet

	attempts        map[*activeAttempt]struct{}
	inFlight        int // requests at the target
	load            Load
	loadAt          time.Time
	inFlightAtLoad  int // inFlight at loadAt
	unreadTokens    int // of the prompts of requests without a first event
	backlog         int // tokens of prompts that the engine had to read at backlogAt
	backlogAt       time.Time
	unreadAtBacklog int // unreadTokens at backlogAt
	speed           targetSpeed
	cache           promptcache.Cache
	loadTime        retry.Mean // observed time to load an adapter
	avoidUntil      time.Time
	refusedConnAt   time.Time // last time at which it refused a connection
	connectFailures int       // consecutive
	failureScore    float64   // failed requests, decayed; as of failureScoreAt
	failureScoreAt  time.Time

	running         map[orders.Adapter]int       // requests at the target by adapter
	useCounts       map[orders.Adapter]int       // requests by adapter since the last usage report
	waiting         map[orders.Adapter]int       // requests that wait for an adapter at the target
	sampledIn       uint64                       // last round of the sampler that collected it
	waitingTokens   int                          // tokens of the prompts of those requests
	loadRequestedAt map[orders.Adapter]time.Time // last load request sent to the targetd
}

func newTargetState(now time.Time, r target.Replica, n *targetNotice, l *rateLimit) *targetState {
	return &targetState{
		added:           now,
		replica:         r,
		incarnation:     r.Incarnation().String(),
		speed:           newTargetSpeed(),
		hash:            placement.Hash(r.Addr.String()),
		vmHash:          placement.Hash(r.Addr.Addr().String()),
		notice:          n,
		limit:           l,
		turnedAway:      make(chan struct{}),
		resident:        map[orders.Adapter]int64{},
		loading:         map[orders.Adapter]bool{},
		offers:          map[uint64]*offer{},
		permitRequests:  map[uint64]chan peer.PermitAnswer{},
		attempts:        map[*activeAttempt]struct{}{},
		running:         map[orders.Adapter]int{},
		useCounts:       map[orders.Adapter]int{},
		waiting:         map[orders.Adapter]int{},
		loadRequestedAt: map[orders.Adapter]time.Time{},
	}
}

// usable reports whether new requests may be sent to the target.
func (t *targetState) usable(now time.Time) bool { return t.usableFor(now, false) }

// usableFor does what usable does, also for a leaving target that still serves if leavingToo
// is set.
func (t *targetState) usableFor(now time.Time, leavingToo bool) bool {
	return t.obstacleOf(now, leavingToo) == "" && !now.Before(t.notice.backoffUntil)
}

// accepts reports whether the target accepts requests, apart from a backoff.
func (t *targetState) accepts(now time.Time) bool { return t.obstacleOf(now, false) == "" }

// targetdSilent reports whether no message was received from the targetd
// recently although there were some before, so that its VM may be unreachable.
func (t *targetState) targetdSilent(now time.Time) bool {
	return !t.lastMessageAt.IsZero() && now.Sub(t.lastMessageAt) > targetdSilenceTimeout
}

// connectGrace is the time after the discovery of a target in which its targetd
// may not be connected yet: enough for several attempts.
const connectGrace = 2 * time.Second

// connecting reports whether the target was discovered recently and its first
// engine state is still expected.
func (t *targetState) connecting(now time.Time) bool {
	return t.stateAt.IsZero() && now.Sub(t.added) < connectGrace
}

// restartGrace is the time after an engine became unreachable in which it is expected to
// start again. It is as long as for a discovered target, because what is not known is the
// same: when the engine can be reached.
const restartGrace = connectGrace

// restarting reports whether the targetd has reported recently that its engine is
// unreachable, without having announced that it leaves.
func (t *targetState) restarting(now time.Time) bool {
	if t.conn == nil || t.stateAt.IsZero() || t.state.Reachable || t.state.Departing {
		return false
	}
	listed := t.replica.State == target.Live && !t.notice.leaving && t.goneAt.IsZero()
	return listed && now.Sub(t.unreachableAt) < restartGrace
}

// estimatedLoad returns the estimated number of requests that run or wait at the
// target: the reported load plus the requests sent since, or only this gateway's
// requests if the report is outdated.
func (t *targetState) estimatedLoad(now time.Time) int {
	if t.loadAt.IsZero() || now.Sub(t.loadAt) > loadTTL {
		return t.inFlight
	}
	return max(t.inFlight, t.load.Running+t.load.Waiting+t.inFlight-t.inFlightAtLoad)
}

// observeLoad records the load reported by the target or its targetd.
func (t *targetState) observeLoad(now time.Time, l Load) {
	t.load, t.loadAt, t.inFlightAtLoad = l, now, t.inFlight
}

// engineCrashed reports whether the report s means that the engine has stopped or
// restarted since the previous report, which did not say that it was departing.
func (t *targetState) engineCrashed(s peer.EngineState) bool {
	if t.stateAt.IsZero() || !t.state.Reachable || t.state.Departing {
		return false
	}
	return !s.Reachable || s.Started != t.state.Started
}

// applyState replaces the engine's state. It returns the adapters that became
// resident or were updated, and whether anything else that affects selection
// changed, and the adapters that no longer count as recent.
func (t *targetState) applyState(now time.Time, s peer.EngineState) (arrived []orders.Adapter, changed bool, evicted []orders.Adapter) {
	changed = t.stateAt.IsZero() || t.state.Reachable != s.Reachable || t.state.Departing != s.Departing || t.state.Started != s.Started || len(t.state.Models) != len(s.Models)
	if !s.Reachable && (t.stateAt.IsZero() || t.state.Reachable) {
		t.unreachableAt = now
	}
	resident := make(map[orders.Adapter]int64, len(s.Resident))
	for _, a := range s.Resident {
		key := orders.Adapter{Model: a.Model, Name: a.Adapter}
		resident[key] = a.Version
		if v, ok := t.resident[key]; !ok || v < a.Version {
			arrived = append(arrived, key)
		}
	}
	loading := make(map[orders.Adapter]bool, len(s.Loading))
	for _, a := range s.Loading {
		loading[orders.Adapter{Model: a.Model, Name: a.Adapter}] = true
	}
	t.state, t.stateAt, t.stateOfConn = s, now, true
	t.resident, t.loading = resident, loading
	return arrived, changed, t.recent.record(now, resident)
}

// hasVersion reports whether the engine holds the adapter in at least the given
// version, or the model if the adapter has no name.
func (t *targetState) hasVersion(a orders.Adapter, version int64) bool {
	if a.Name == "" {
		return t.hasModel(a.Model)
	}
	v, ok := t.resident[a]
	return ok && v >= version
}

// hasModel reports whether the engine serves the model.
func (t *targetState) hasModel(model string) bool {
	for _, m := range t.state.Models {
		if m == model {
			return true
		}
	}
	return false
}

// canLoad reports whether the engine can be ordered to load an adapter.
func (t *targetState) canLoad(now time.Time, a orders.Adapter) bool {
	return t.loadObstacle(now, a) == ""
}

// maxUnansweredOrders is the number of consecutive orders without a response
// after which adapters are loaded elsewhere.
const maxUnansweredOrders = 4

// expectedLoadTime returns the expected time until a missing adapter is loaded:
// half of the load time if the load is already in progress.
// meanDuration is that of a request. The observed load times include queueing
// behind other adapters, so only a queue longer than loadQueueStep adds to them.
// If all slots are pinned, the waiting adapters get the next slots that requests
// release. An older version is evicted after its last request.
func (t *targetState) expectedLoadTime(a orders.Adapter, warm bool, meanDuration time.Duration) time.Duration {
	loadTime := t.loadTime.Value()
	switch {
	case warm:
		loadTime = warmLoadTime
	case loadTime == 0:
		loadTime = defaultLoadTime
	}
	if t.loading[a] {
		return loadTime / 2
	}
	d := loadTime * time.Duration(1+t.missingAdapters/loadQueueStep)
	if t.slotsPinned {
		d += meanDuration * time.Duration(1+t.missingAdapters) / time.Duration(max(1, len(t.resident)))
	}
	if _, ok := t.resident[a]; ok {
		d += meanDuration
	}
	return d
}

// recordConnectFailure records a failed connection and returns how long the
// target is avoided.
func (t *targetState) recordConnectFailure(now time.Time) time.Duration {
	avoidFor := maxAvoidTime
	if t.connectFailures < 3 {
		avoidFor = min(maxAvoidTime, minAvoidTime<<t.connectFailures)
	}
	t.connectFailures++
	t.avoidUntil = now.Add(avoidFor)
	return avoidFor
}

// recordFailure records a failed request at the target.
func (t *targetState) recordFailure(now time.Time) {
	t.failureScore = t.decayedFailures(now) + 1
	t.failureScoreAt = now
}

// decayedFailures returns the failure score decayed to now.
func (t *targetState) decayedFailures(now time.Time) float64 {
	if t.failureScore == 0 {
		return 0
	}
	return t.failureScore * math.Exp2(-float64(now.Sub(t.failureScoreAt))/float64(failureHalfLife))
}
