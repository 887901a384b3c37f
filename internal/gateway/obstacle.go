package gateway

import (
	"time"

	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/target"
)

// Reasons for which a target is not sent a call.
const (
	obstacleNotLive      = "not_live"
	obstacleLeaving      = "leaving"
	obstacleGone         = "gone" // its entry lapsed
	obstacleEngine       = "engine_unreachable"
	obstacleDeparting    = "engine_departing"
	obstacleBackoff      = "backoff"
	obstacleOtherService = "other_service"
	obstacleTried        = "tried"
	obstacleOtherVersion = "other_version" // of the software that began the stream
	obstacleAvoided      = "avoided"       // it could not be reached
	obstacleSilent       = "targetd_silent"
	obstacleRefused      = "refused"
)

// Reasons for which a target that lacks the adapter can't load it.
const (
	obstacleDisconnected   = "targetd_disconnected"
	obstacleOrders         = "orders_unanswered"
	obstacleNoModel        = "lacks_model"
	obstacleLoadsElsewhere = "loads_elsewhere" // the requests for the adapter wait at other targets
)

// targetTier says which targets a choice uses. A tier is used if none of the targets of
// those before can be.
type targetTier uint8

const (
	tierSound   targetTier = iota // live targets that are not avoided, have no silent targetd, and did not refuse the call
	tierLeaving                   // also leaving targets that still serve, under the same conditions
	tierAny                       // all live targets
)

// tiers returns the tiers of a call in the order of their use.
func (c *call) tiers() []targetTier {
	if c.mayUseLeaving() {
		return allTiers[:]
	}
	return liveTiers[:]
}

var (
	allTiers  = [...]targetTier{tierSound, tierLeaving, tierAny}
	liveTiers = [...]targetTier{tierSound, tierAny}
)

// mayUseLeaving reports whether a call may be sent to a leaving target: it has begun, and
// may not find another target that can go on with it. Calls that have not begun are rejected,
// so that they begin where they can end.
func (c *call) mayUseLeaving() bool { return c.continues() || c.attemptsSent > 0 }

// obstacle returns the reason for which a choice in a tier does not send a call to a target,
// empty if there is none. The caller holds mu.
func (f *Fleet) obstacle(now time.Time, c *call, t *targetState, tier targetTier) string {
	if reason := t.obstacleOf(now, tier == tierLeaving); reason != "" {
		return reason
	}
	switch {
	case now.Before(t.notice.backoffUntil):
		return obstacleBackoff
	case t.replica.Service != c.service:
		return obstacleOtherService
	case !c.mayGoTo(t):
		return obstacleTried
	case !f.suits(now, c, t):
		return obstacleOtherVersion
	case tier == tierAny:
		return ""
	case now.Before(t.avoidUntil):
		return obstacleAvoided
	case t.targetdSilent(now):
		return obstacleSilent
	case c.refused[t.replica.ID]:
		return obstacleRefused
	}
	return ""
}

// obstacleOf returns the reason for which the target does not accept requests, apart from a
// backoff; empty if it accepts them. A leaving target that still serves does so if leavingToo
// is set. The state of its engine is ignored while the targetd is disconnected, as it may be
// outdated.
func (t *targetState) obstacleOf(now time.Time, leavingToo bool) string {
	serves := leavingToo && t.servesWhileLeaving(now)
	switch {
	case t.replica.State != target.Live && !serves:
		return obstacleNotLive
	case t.notice.leaving && !serves:
		return obstacleLeaving
	case !t.goneAt.IsZero() && !now.Before(t.goneAt):
		return obstacleGone
	case t.stateAt.IsZero() || t.conn == nil:
		return ""
	case !t.state.Reachable:
		return obstacleEngine
	case t.state.Departing && !serves:
		return obstacleDeparting
	}
	return ""
}

// loadObstacle returns the reason for which the engine can't be ordered to load an
// adapter, empty if it can.
func (t *targetState) loadObstacle(now time.Time, a orders.Adapter) string {
	switch {
	case t.notice.leaving:
		return obstacleLeaving
	case t.targetdSilent(now):
		return obstacleSilent
	case t.conn == nil:
		return obstacleDisconnected
	case !t.state.Reachable:
		return obstacleEngine
	case t.state.UnansweredOrders >= maxUnansweredOrders:
		return obstacleOrders
	case !t.hasModel(a.Model):
		return obstacleNoModel
	}
	return ""
}
