package entry

import (
	"sync"
	"time"

	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/retry"
)

// Retry budget of each service at one entryd.
const (
	retryRatio = 0.1 // retries per request
	retryBurst = 10  // retries allowed on top of that ratio
)

// serviceStats holds the retry budget and the mean latency of one service.
type serviceStats struct {
	budget  *retry.Budget
	latency retry.Mean // of answered attempts, including the time in the target's queue
}

// statsTable holds the serviceStats of each service. It is safe for concurrent
// use.
type statsTable struct {
	mu       sync.Mutex
	services map[serviceKey]*serviceStats
}

// serviceKey identifies a service.
type serviceKey struct {
	owner, service string
}

func newStatsTable() *statsTable { return &statsTable{services: map[serviceKey]*serviceStats{}} }

// lookup returns the statistics of c's service, creating them on first use. The
// caller holds st.mu.
func (st *statsTable) lookup(c *Call) *serviceStats {
	key := serviceKey{owner: c.Owner, service: c.Service}
	if st.services[key] == nil {
		st.services[key] = &serviceStats{budget: retry.NewBudget(retryRatio, retryBurst)}
	}
	return st.services[key]
}

// countRequest credits the retry budget of c's service with one request.
func (st *statsTable) countRequest(c *Call) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lookup(c).budget.Deposit()
}

// allowRetry reports whether an attempt that ended with result may be retried.
// It takes the retry from the budget of c's service unless the retry is free.
func (st *statsTable) allowRetry(c *Call, result Result) bool {
	if isFreeRetry(result) {
		return true
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.lookup(c).budget.Withdraw()
}

// isFreeRetry reports whether a retry after result is exempt from the budget:
// the attempt was never sent, or it was refused for a reason that does not point
// to a failure of its service.
func isFreeRetry(result Result) bool {
	if result.Outcome != outcome.NotRun {
		return false
	}
	if result.Unsent {
		return true
	}
	switch result.Reason {
	case outcome.Draining, outcome.WrongTarget, outcome.OverQuota, outcome.Behind, outcome.NotReady, outcome.EngineCrashed:
		return true
	}
	return false
}

// observeLatency records the latency of an answered attempt.
func (st *statsTable) observeLatency(c *Call, latency time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lookup(c).latency.Observe(latency)
}

// retryAfter estimates the delay after which a retry may succeed, from the load
// that the last target reported in its refusal.
func (st *statsTable) retryAfter(c *Call, last Result) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return retry.After(last.Queued, last.Running+last.Queued, st.lookup(c).latency.Value())
}
