package gateway

import (
	"sync"
	"time"
)

// Parameters of the retry budget.
const (
	// budgetBuckets is the number of buckets that the sliding window is divided
	// into.
	budgetBuckets = 20
	// budgetShare is the share of the deployment's retry budget that this
	// process plans to use. The rest covers requests that are counted in another
	// window and entryds that are not known yet.
	budgetShare = 0.7
	// defaultEntrydCount is the assumed number of entryds until a
	// targetd reports it.
	defaultEntrydCount = 8
)

// retryBudget limits the retries per service in a sliding window to a ratio of
// the requests plus a constant slack. All entryds share the deployment's slack.
type retryBudget struct {
	ratio       float64 // retries per request
	slack       float64 // retries per window in addition, of all entryds together
	bucketWidth time.Duration
	epoch       time.Time // start of bucket 0
	mu          sync.Mutex
	counts      map[string]*budgetCounts
}

// budgetCounts holds a service's requests and retries, by bucket of the window.
type budgetCounts struct {
	lastBucket int64 // index since epoch of the bucket that was counted last
	requests   [budgetBuckets]int
	retries    [budgetBuckets]int
}

func newRetryBudget(ratio, slack float64, window time.Duration, now time.Time) *retryBudget {
	return &retryBudget{
		ratio:       ratio,
		slack:       slack,
		bucketWidth: window / budgetBuckets,
		epoch:       now,
		counts:      map[string]*budgetCounts{},
	}
}

// setLimits replaces the ratio and the slack.
func (b *retryBudget) setLimits(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// recordRequest counts a request for a service.
func (b *retryBudget) recordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsAt(now, service)
	c.requests[c.lastBucket%budgetBuckets]++
}

// tryAcquire reports whether the budget of a service allows a retry, and counts
// the retry if so. The slack is divided by entrydCount.
func (b *retryBudget) tryAcquire(now time.Time, service string, entrydCount int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsAt(now, service)
	if b.availableLocked(c, entrydCount) < 1 {
		return false
	}
	c.retries[c.lastBucket%budgetBuckets]++
	return true
}

// available returns the retries that the budget of a service allows now, at
// least zero. The slack is divided by entrydCount.
func (b *retryBudget) available(now time.Time, service string, entrydCount int) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, b.availableLocked(b.countsAt(now, service), entrydCount))
}

// availableLocked returns the remaining budget, negative if it is overdrawn. An
// entrydCount of zero means unknown. The caller holds mu.
func (b *retryBudget) availableLocked(c *budgetCounts, entrydCount int) float64 {
	if entrydCount <= 0 {
		entrydCount = defaultEntrydCount
	}
	requests, retries := 0, 0
	for i := range c.requests {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	return budgetShare*(b.ratio*float64(requests)+b.slack/float64(entrydCount)) - float64(retries)
}

// countsAt returns the counts of a service after clearing the buckets that the
// window has entered since the last count. The caller holds mu.
func (b *retryBudget) countsAt(now time.Time, service string) *budgetCounts {
	bucket := int64(now.Sub(b.epoch) / b.bucketWidth)
	c := b.counts[service]
	if c == nil {
		c = &budgetCounts{lastBucket: bucket}
		b.counts[service] = c
	}
	for c.lastBucket < bucket {
		if bucket-c.lastBucket > budgetBuckets {
			c.lastBucket = bucket - budgetBuckets
		}
		c.lastBucket++
		c.requests[c.lastBucket%budgetBuckets] = 0
		c.retries[c.lastBucket%budgetBuckets] = 0
	}
	return c
}
