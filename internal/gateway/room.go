package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/borageusher/borageusher/pkg/fairshare"
	"github.com/borageusher/borageusher/pkg/retry"
	"github.com/borageusher/borageusher/pkg/routing"
)

// roomShares divides the requests in progress among workspaces. The mu of its
// admissionControl guards it.
type roomShares struct {
	room      *fairshare.Room
	held      retry.Mean // time for which requests are in progress
	turnedOff int        // rejected requests for which no other one has ended since, up to those that end within longRetryAfter
}

// reasonNoRoom is the reason of a request for which there is no place or memory.
const reasonNoRoom = "no_room"

// place is one of the requests in progress that an admissionControl limits.
type place struct {
	admission *admissionControl
	divided   bool   // the places are divided among workspaces
	workspace string // empty for a request without one
	since     time.Time
}

// enter admits a request and reports whether it is within the limit. In a configuration
// with workspaces the places are divided among them near the limit; requests without one
// share the part of one workspace. The caller must call leave on the returned place. It is
// nil if the request is rejected, with the time until there is room for it.
func (a *admissionControl) enter(now time.Time, cfg *routing.Configuration, w *routing.Workspace) (*place, time.Duration) {
	p := a.newPlace(now, cfg, w)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.admits(p) {
		return nil, a.untilRoom()
	}
	a.requests++
	if p.divided {
		a.shares.room.Add(p.workspace)
	}
	return p, 0
}

// newPlace returns the place of a request that is not admitted yet.
func (a *admissionControl) newPlace(now time.Time, cfg *routing.Configuration, w *routing.Workspace) *place {
	p := &place{admission: a, divided: cfg.HasWorkspaces(), since: now}
	if w != nil {
		p.workspace = w.Name
	}
	return p
}

// admits reports whether a request with that place is within the limit. The caller holds mu.
func (a *admissionControl) admits(p *place) bool {
	switch {
	case a.maxRequests <= 0:
		return true
	case p.divided:
		return a.shares.room.Admits(a.maxRequests, a.requests-a.shares.room.Total(), p.workspace)
	}
	return a.requests < a.maxRequests
}

// leave ends an admitted request.
func (p *place) leave(now time.Time) {
	a := p.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests--
	a.shares.held.Observe(now.Sub(p.since))
	a.shares.turnedOff = max(0, a.shares.turnedOff-1)
	if p.divided {
		a.shares.room.Remove(p.workspace)
	}
}

// untilRoom records another rejected request, and returns the time until there is room for
// it. The caller holds mu.
func (a *admissionControl) untilRoom() time.Duration {
	after, turnedOff := a.roomForecast()
	a.shares.turnedOff = turnedOff
	return after
}

// roomForecast returns the time until there is room for another rejected request, with a
// random part, and the number of rejected requests with that one: requests end at the rate
// of those in progress by the time that each takes, and each one makes room for one rejected
// caller. There must be a limit on requests. The caller holds mu.
func (a *admissionControl) roomForecast() (after time.Duration, turnedOff int) {
	ends := float64(a.shares.held.Value()) / float64(a.maxRequests) // interval
	// The count is bounded, so that callers that return at once don't delay others later.
	turnedOff = a.shares.turnedOff
	if ends > 0 && ends*float64(turnedOff) < float64(longRetryAfter) {
		turnedOff++
	}
	after = time.Duration(min(ends*float64(turnedOff), float64(longRetryAfter)))
	return spread(max(after, shortRetryAfter)), turnedOff
}

// Spread of the times at which rejected callers return, so that they don't do so together.
const (
	// spreadDivisor limits the random part that is added to a Retry-After to this fraction
	// of it.
	spreadDivisor = 2
	// earlySpreadDivisor limits the part that is taken off if the time is bounded by what
	// the caller honours. It is small because the caller would come too early.
	earlySpreadDivisor = 8
)

// spread adds a random part to the time after which a caller may retry.
func spread(after time.Duration) time.Duration {
	return after + rand.N(after/spreadDivisor+1)
}

// bounded returns the time after which a caller may retry, at most a time that it honours.
func bounded(after, most time.Duration) time.Duration {
	if after <= most {
		return after
	}
	most = max(0, most)
	return most - rand.N(most/earlySpreadDivisor+1)
}

// honoured returns the time after which the caller of a request may retry, at most a part of
// the request's deadline.
func (m RequestMeta) honoured(after time.Duration) time.Duration {
	if m.Deadline <= 0 {
		return after
	}
	return bounded(after, m.Deadline/retryAfterDivisor)
}
