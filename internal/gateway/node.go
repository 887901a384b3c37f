package gateway

import (
	"math"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/assignment"
	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/placement"
	"github.com/borageusher/borageusher/pkg/retry"
	"github.com/borageusher/borageusher/pkg/target"
)

// Times of what is believed of a target.
const (
	// loadFor is how long a target's own word on its load is believed.
	loadFor = 400 * time.Millisecond
	// avoidFirst and avoidMost bound how long a target that can't be reached is
	// avoided: from the time that a restart takes at least to the interval of the
	// platform's heartbeats, after which its entry tells more.
	avoidFirst = 250 * time.Millisecond
	avoidMost  = 1200 * time.Millisecond
	// unsoundHalfLife is the time in which a failure of a target counts half.
	unsoundHalfLife = 3 * time.Second
	// silentAfter is when a targetd counts as silent: two of its heartbeats, and
	// the way between regions.
	silentAfter = 2*peer.HeartbeatInterval + 200*time.Millisecond
	// firstLoad is the time that an adapter is assumed to take until one was seen
	// to load: the figure for loads from the weight store on the users' sheets.
	firstLoad = 250 * time.Millisecond
	// warmLoad is the time that one takes from the memory of the engine's VM: a
	// tenth of that, and the targetd's look at the engine.
	warmLoad = 50 * time.Millisecond
	// queueAhead is the number of adapters that wait to be loaded for which the
	// mean time to load counts once more.
	queueAhead = 4 * loadsAtOnce
)

// node is what a gateway knows of one target.
type node struct {
	replica  target.Replica
	start    string // name of the target's start in crash reports
	hash     uint64
	distance assignment.Distance
	added    time.Time
	goneAt   time.Time // the entry lapsed and is gone from then on, zero if it did not

	link     *peer.Conn
	state    peer.EngineState
	stateAt  time.Time // zero while nothing was heard
	holds    map[orders.Adapter]int64
	coming   map[orders.Adapter]bool
	warm     recent    // adapters that it held lately
	wanted   int       // missing adapters that requests of all entries wait for
	full     bool      // no adapter makes way for them before requests end
	heardAt  time.Time // last message of the targetd
	aliveAt  time.Time // last sign of the target's VM, zero while there was none
	stopLink func()

	flights        map[*flight]struct{}
	inFlight       int // own requests
	load           Load
	loadAt         time.Time
	inFlightThen   int // own requests at loadAt
	unanswered     int // own requests without a byte of an answer
	unansweredThen int // the same at loadAt
	pace           pace
	loadTime       retry.Mean
	avoidUntil     time.Time
	failures       int // to connect, in a row
	unsound        float64
	unsoundAt      time.Time

	running    map[orders.Adapter]int
	used       map[orders.Adapter]int
	waiting    map[orders.Adapter]int       // own requests that wait for an adapter here
	waitingAll int                          // their sum
	asked      map[orders.Adapter]time.Time // last mention to the targetd
}

func newNode(now time.Time, r target.Replica) *node {
	return &node{
		added:   now,
		replica: r,
		start:   r.Incarnation().String(),
		hash:    placement.Hash(r.Addr.String()),
		holds:   map[orders.Adapter]int64{},
		coming:  map[orders.Adapter]bool{},
		flights: map[*flight]struct{}{},
		running: map[orders.Adapter]int{},
		used:    map[orders.Adapter]int{},
		waiting: map[orders.Adapter]int{},
		asked:   map[orders.Adapter]time.Time{},
	}
}

// usable reports whether new requests may go to the target.
func (n *node) usable(now time.Time) bool {
	if n.replica.State != target.Live || (!n.goneAt.IsZero() && !now.Before(n.goneAt)) {
		return false
	}
	return n.stateAt.IsZero() || (n.state.Reachable && !n.state.Departing) || n.link == nil
}

// silent reports whether the targetd was heard before and is no more, so that
// its VM may be out of reach.
func (n *node) silent(now time.Time) bool {
	return !n.heardAt.IsZero() && now.Sub(n.heardAt) > silentAfter
}

// settleTime is how long after a target appeared its targetd may not be
// connected yet: a few tries to connect.
const settleTime = 2 * time.Second

// settling reports whether the target is about to become known.
func (n *node) settling(now time.Time) bool {
	return n.stateAt.IsZero() && now.Sub(n.added) < settleTime
}

// estimate returns the requests believed to run or wait at the target.
func (n *node) estimate(now time.Time) int {
	if n.loadAt.IsZero() || now.Sub(n.loadAt) > loadFor {
		return n.inFlight
	}
	return max(n.inFlight, n.load.Running+n.load.Waiting+n.inFlight-n.inFlightThen)
}

// ahead returns the requests at the target that are believed to have had no
// event yet: the engine's own count, and what was sent since.
func (n *node) ahead(now time.Time) int {
	if n.loadAt.IsZero() || now.Sub(n.loadAt) > loadFor {
		return n.unanswered
	}
	return max(n.unanswered, n.load.Waiting+n.unanswered-n.unansweredThen)
}

// observe notes what the target or its targetd tells of its load.
func (n *node) observe(now time.Time, l Load) {
	n.load, n.loadAt, n.inFlightThen, n.unansweredThen = l, now, n.inFlight, n.unanswered
}

// crashed reports whether s tells that the engine ended, without a notice, since
// the last word of its targetd.
func (n *node) crashed(s peer.EngineState) bool {
	if n.stateAt.IsZero() || !n.state.Reachable || n.state.Departing {
		return false
	}
	return !s.Reachable || s.Started != n.state.Started
}

// believe replaces what is known of the target's engine. It returns the adapters
// that arrived, and whether more than residency changed.
func (n *node) believe(now time.Time, s peer.EngineState) (arrived []orders.Adapter, changed bool) {
	changed = n.stateAt.IsZero() || n.state.Reachable != s.Reachable || n.state.Started != s.Started || len(n.state.Models) != len(s.Models)
	holds := make(map[orders.Adapter]int64, len(s.Resident))
	for _, a := range s.Resident {
		key := orders.Adapter{Model: a.Model, Name: a.Adapter}
		holds[key] = a.Version
		if v, ok := n.holds[key]; !ok || v < a.Version {
			arrived = append(arrived, key)
		}
	}
	coming := make(map[orders.Adapter]bool, len(s.Coming))
	for _, a := range s.Coming {
		coming[orders.Adapter{Model: a.Model, Name: a.Adapter}] = true
	}
	n.state, n.stateAt = s, now
	n.holds, n.coming = holds, coming
	n.warm.note(now, holds)
	return arrived, changed
}

// has reports whether the engine holds the adapter in the wanted version, or
// the model if no adapter is named.
func (n *node) has(a orders.Adapter, version int64) bool {
	if a.Name == "" {
		return n.hasModel(a.Model)
	}
	v, ok := n.holds[a]
	return ok && v >= version
}

func (n *node) hasModel(model string) bool {
	for _, m := range n.state.Models {
		if m == model {
			return true
		}
	}
	return false
}

// canLoad reports whether the engine can be told to load an adapter.
func (n *node) canLoad(now time.Time, a orders.Adapter) bool {
	return !n.silent(now) && n.link != nil && n.state.Reachable && n.state.Unanswered < unansweredOrders && n.hasModel(a.Model)
}

// unansweredOrders is the number of orders in a row without an answer before adapters are
// loaded elsewhere.
const unansweredOrders = 4

// arrival returns the time until a missing adapter is expected, where requests
// stay for some time. The observed times contain the wait behind other adapters,
// so only a longer queue than the engine serves at once adds to them. Without a
// free place, those that wait get the next ones that requests leave; an older
// version leaves after its last run.
func (n *node) arrival(a orders.Adapter, warm bool, stay time.Duration) time.Duration {
	each := n.loadTime.Value()
	switch {
	case warm:
		each = warmLoad
	case each == 0:
		each = firstLoad
	}
	if n.coming[a] {
		return each / 2
	}
	d := each * time.Duration(1+n.wanted/queueAhead)
	if n.full {
		d += stay * time.Duration(1+n.wanted) / time.Duration(max(1, len(n.holds)))
	}
	if _, ok := n.holds[a]; ok {
		d += stay
	}
	return d
}

// unreachable notes a failed connection and returns how long the target is
// avoided.
func (n *node) unreachable(now time.Time) time.Duration {
	pause := avoidMost
	if n.failures < 3 {
		pause = min(avoidMost, avoidFirst<<n.failures)
	}
	n.failures++
	n.avoidUntil = now.Add(pause)
	return pause
}

// fail notes a failure of a request at the target.
func (n *node) fail(now time.Time) {
	n.unsound = n.unsoundness(now) + 1
	n.unsoundAt = now
}

// unsoundness returns the decayed number of failures.
func (n *node) unsoundness(now time.Time) float64 {
	if n.unsound == 0 {
		return 0
	}
	return n.unsound * math.Exp2(-float64(now.Sub(n.unsoundAt))/float64(unsoundHalfLife))
}
