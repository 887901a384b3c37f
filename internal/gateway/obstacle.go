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

// obstacle returns the reason for which a call is not sent to a target, empty if there is
// none. If cautious is set, targets that are avoided, whose targetds are silent, or that
// refused the call are not used. The caller holds mu.
func (f *Fleet) obstacle(now time.Time, c *call, t *targetState, cautious bool) string {
	if reason := t.obstacle(now); reason != "" {
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
	case !cautious:
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

// obstacle returns the reason for which the target does not accept requests, apart from a
// backoff; empty if it accepts them. The state of its engine is ignored while the targetd
// is disconnected, as it may be outdated.
func (t *targetState) obstacle(now time.Time) string {
	switch {
	case t.replica.State != target.Live:
		return obstacleNotLive
	case t.notice.leaving:
		return obstacleLeaving
	case !t.goneAt.IsZero() && !now.Before(t.goneAt):
		return obstacleGone
	case t.stateAt.IsZero() || t.conn == nil:
		return ""
	case !t.state.Reachable:
		return obstacleEngine
	case t.state.Departing:
		return obstacleDeparting
	}
	return ""
}

// loadObstacle returns the reason for which the engine can't be ordered to load an
// adapter, empty if it can.
func (t *targetState) loadObstacle(now time.Time, a orders.Adapter) string {
	switch {
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
