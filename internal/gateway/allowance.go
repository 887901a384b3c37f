package gateway

import (
	"sync"
	"time"
)

// Shape of the allowance.
const (
	// allowanceSteps is the number of parts of the window that are counted
	// separately.
	allowanceSteps = 20
	// allowancePart is the part of the deployment's allowance that this process
	// plans to use: the rest covers requests that are counted in another window
	// and entries that are not known yet.
	allowancePart = 0.7
	// assumedEntries is the number of entries while no targetd told it.
	assumedEntries = 8
)

// allowance bounds the arrivals of requests at a service beyond the first of
// each, in a window that slides. All entries share the deployment's slack.
type allowance struct {
	ratio  float64
	slack  float64
	step   time.Duration
	epoch  time.Time
	mu     sync.Mutex
	counts map[string]*allowanceCounts
}

type allowanceCounts struct {
	last     int64 // step that was counted last
	requests [allowanceSteps]int
	repeats  [allowanceSteps]int
}

func newAllowance(ratio, slack float64, window time.Duration, now time.Time) *allowance {
	return &allowance{
		ratio:  ratio,
		slack:  slack,
		step:   window / allowanceSteps,
		epoch:  now,
		counts: map[string]*allowanceCounts{},
	}
}

// limit replaces the allowance's ratio and slack.
func (a *allowance) limit(ratio, slack float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ratio, a.slack = ratio, slack
}

// request counts a request for a service.
func (a *allowance) request(now time.Time, service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.at(now, service)
	c.requests[c.last%allowanceSteps]++
}

// take counts a repeated arrival and reports whether it is allowed. The slack
// is shared by so many entries.
func (a *allowance) take(now time.Time, service string, entries int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.at(now, service)
	if a.remaining(c, entries) < 1 {
		return false
	}
	c.repeats[c.last%allowanceSteps]++
	return true
}

// left returns the repeated arrivals that are allowed now.
func (a *allowance) left(now time.Time, service string, entries int) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(0, a.remaining(a.at(now, service), entries))
}

func (a *allowance) remaining(c *allowanceCounts, entries int) float64 {
	if entries <= 0 {
		entries = assumedEntries
	}
	requests, repeats := 0, 0
	for i := range c.requests {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	return allowancePart*(a.ratio*float64(requests)+a.slack/float64(entries)) - float64(repeats)
}

// at returns the counts of a service with the steps since the last one cleared.
func (a *allowance) at(now time.Time, service string) *allowanceCounts {
	step := int64(now.Sub(a.epoch) / a.step)
	c := a.counts[service]
	if c == nil {
		c = &allowanceCounts{last: step}
		a.counts[service] = c
	}
	for c.last < step {
		if step-c.last > allowanceSteps {
			c.last = step - allowanceSteps
		}
		c.last++
		c.requests[c.last%allowanceSteps] = 0
		c.repeats[c.last%allowanceSteps] = 0
	}
	return c
}
