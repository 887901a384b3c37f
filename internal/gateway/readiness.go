package gateway

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
)

// readiness notes when the process turns ready or unready, and why.
type readiness struct {
	log   event.Log
	scope tally.Scope

	mu     sync.Mutex
	reason string // why the process is unready, empty while it is ready
	at     time.Time
	known  bool
}

// note takes the present reason, empty if the process is ready. The time since
// the last call counts for the reason that was in force.
func (r *readiness) note(now time.Time, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known && r.reason != "" {
		tags := map[string]string{"reason": r.reason}
		r.scope.Tagged(tags).Counter("unready_milliseconds").Inc(now.Sub(r.at).Milliseconds())
	}
	if !r.known || reason != r.reason {
		if reason == "" {
			r.log.At(event.Ready).Send()
		} else {
			r.log.At(event.Unready).Str("reason", reason).Send()
		}
	}
	r.reason, r.at, r.known = reason, now, true
}

// unready returns why new connections are not welcome, empty if they are.
func (s *process) unready() string {
	switch {
	case s.gateway.stopping.Load():
		return "stopping"
	case s.current.Load() == nil:
		return "no_configuration"
	}
	return s.fleet.unknown()
}

// ready reports whether new connections are welcome, and notes a change.
func (s *process) ready(now time.Time) bool {
	reason := s.unready()
	s.readiness.note(now, reason)
	return reason == ""
}
