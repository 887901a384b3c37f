package entry

import (
	"sync"
	"time"

	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/retry"
)

// Retries of each service at one entry.
const (
	retryRatio = 0.1 // of the requests
	retryBurst = 10  // beyond that
)

// serviceLoad is what an entry knows of one service's traffic.
type serviceLoad struct {
	budget *retry.Budget
	stay   retry.Mean // of attempts that were answered, waiting included
}

// loads keeps the load of each service.
type loads struct {
	mu       sync.Mutex
	services map[serviceName]*serviceLoad
}

// serviceName names a service.
type serviceName struct {
	owner, service string
}

func newLoads() *loads { return &loads{services: map[serviceName]*serviceLoad{}} }

// of returns the load of c's service. The caller holds ls.mu.
func (ls *loads) of(c *Call) *serviceLoad {
	name := serviceName{owner: c.Owner, service: c.Service}
	if ls.services[name] == nil {
		ls.services[name] = &serviceLoad{budget: retry.NewBudget(retryRatio, retryBurst)}
	}
	return ls.services[name]
}

// request counts a request.
func (ls *loads) request(c *Call) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.of(c).budget.Deposit()
}

// mayRetry takes a retry from the budget of c's service, unless the attempt
// that ended with result cost the service nothing.
func (ls *loads) mayRetry(c *Call, result Result) bool {
	if costless(result) {
		return true
	}
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.of(c).budget.Withdraw()
}

// costless reports whether an attempt was never sent, or was refused for a
// reason that has nothing to do with its service failing: its requests move on.
func costless(result Result) bool {
	if result.Outcome != outcome.NotRun {
		return false
	}
	if result.Unsent {
		return true
	}
	switch result.Reason {
	case outcome.Draining, outcome.WrongTarget, outcome.OverTerms, outcome.Behind, outcome.NotReady, outcome.EngineCrashed:
		return true
	}
	return false
}

// answered observes how long an attempt took.
func (ls *loads) answered(c *Call, stay time.Duration) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.of(c).stay.Observe(stay)
}

// after returns when trying again may help, by the load that the last target
// told with its refusal.
func (ls *loads) after(c *Call, last Result) time.Duration {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return retry.After(last.Queued, last.Running+last.Queued, ls.of(c).stay.Value())
}
