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
	p := &place{admission: a, divided: cfg.HasWorkspaces(), since: now}
	if w != nil {
		p.workspace = w.Name
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.maxRequests > 0 {
		admitted := a.requests < a.maxRequests
		if p.divided {
			admitted = a.shares.room.Admits(a.maxRequests, a.requests-a.shares.room.Total(), p.workspace)
		}
		if !admitted {
			return nil, a.untilRoom()
		}
	}
	a.requests++
	if p.divided {
		a.shares.room.Add(p.workspace)
	}
	return p, 0
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

// untilRoom returns the time until there is room for another rejected request, with a
// random part: requests end at the rate of those in progress by the time that each takes,
// and each one makes room for one rejected caller. The caller holds mu.
func (a *admissionControl) untilRoom() time.Duration {
	ends := float64(a.shares.held.Value()) / float64(a.maxRequests) // interval
	// The count is bounded, so that callers that return at once don't delay others later.
	if ends > 0 && ends*float64(a.shares.turnedOff) < float64(longRetryAfter) {
		a.shares.turnedOff++
	}
	after := time.Duration(min(ends*float64(a.shares.turnedOff), float64(longRetryAfter)))
	return spread(max(after, shortRetryAfter))
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
