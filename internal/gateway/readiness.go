package gateway

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
)

// readiness logs changes of the process's readiness and counts unready time by
// reason.
type readiness struct {
	log   event.Log
	scope tally.Scope

	mu         sync.Mutex
	reason     string    // empty while ready
	recordedAt time.Time // time of the last call of record
	recorded   bool      // whether record was called
}

// record takes the current reason for unreadiness, empty if the process is
// ready. The time since the previous call counts for the previous reason.
func (r *readiness) record(now time.Time, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recorded && r.reason != "" {
		tags := map[string]string{"reason": r.reason}
		r.scope.Tagged(tags).Counter("unready_milliseconds").Inc(now.Sub(r.recordedAt).Milliseconds())
	}
	if !r.recorded || reason != r.reason {
		if reason == "" {
			r.log.Event(event.Ready).Send()
		} else {
			r.log.Event(event.Unready).Str("reason", reason).Send()
		}
	}
	r.reason, r.recordedAt, r.recorded = reason, now, true
}

// unreadyReason returns why the process does not accept new connections, empty
// if it does.
func (p *process) unreadyReason() string {
	switch {
	case p.gateway.stopping.Load():
		return "stopping"
	case p.current.Load() == nil:
		return "no_configuration"
	}
	return p.fleet.missingList()
}

// recordReadiness reports whether the process is ready for new connections, and
// records the result.
func (p *process) recordReadiness(now time.Time) bool {
	reason := p.unreadyReason()
	p.readiness.record(now, reason)
	return reason == ""
}
