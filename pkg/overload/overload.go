package overload

import (
	"math"
	"time"
)

const (
	// aboveShareLimit is the wait up to which requests of workspaces above their share are
	// admitted, as a share of the objective. The other half is for reading the prompt.
	aboveShareLimit = 0.5
	// lessUrgentLimit is the limit of a class as a share of that of the next more urgent
	// one. The difference exceeds the error of forecasts at different targets.
	lessUrgentLimit = 0.75
	// maxUrgencySteps bounds the steps for which lessUrgentLimit is applied.
	maxUrgencySteps = 3
	// pressureValidity is how long the rejection of a request limits others: until the
	// effect on the backlog shows, and a few times the interval between the requests of a
	// class at one process.
	pressureValidity = 2 * time.Second
	// returnedLimit is the limit of a class as a share of that of its rejected requests. The
	// difference is the time for which a rejected caller has waited when it returns.
	returnedLimit = 0.75
	// minClassLimit is the least limit that the rejection of a request sets for others, as
	// a share of the time that callers of its class wait: one objective. A prompt that can't
	// be read before its caller leaves must not stop the others.
	minClassLimit = 0.25
	// retrySpread and minRetrySpread are the random part of Retry-After: relative to the
	// time until there is capacity, and at least.
	retrySpread    = 0.5
	minRetrySpread = 250 * time.Millisecond
)

// Reason is the reason of a decision.
type Reason uint8

// The reasons.
const (
	Admitted   Reason = iota
	Overloaded        // the caller would have left before its request is served
	AboveShare        // the request's workspace uses more than its share
	LessUrgent        // more urgent requests are rejected
	ClassLimit        // requests of its class that can wait for less are rejected
)

// String returns the reason's name in logs and metrics.
func (r Reason) String() string {
	switch r {
	case Admitted:
		return "admitted"
	case Overloaded:
		return "overloaded"
	case AboveShare:
		return "above_share"
	case LessUrgent:
		return "less_urgent"
	case ClassLimit:
		return "class_limit"
	}
	return "unrecognised"
}

// Request is a request to be decided on.
type Request struct {
	Class         string        // unique in the service
	Urgency       int           // of the class, 0 is the most urgent
	Objective     time.Duration // of the class
	ClassPatience time.Duration // for which callers of the class wait
	Patience      time.Duration // for which this caller still waits
	AboveShare    bool          // its workspace is above its share
	Starved       bool          // its workspace is served far less often than all
	Queued        bool          // it was admitted before
}

// Forecast is an estimate of the time until a request is served at the best target.
type Forecast struct {
	At   time.Time     // when it was made
	Wait time.Duration // then, until the target begins with the request
	Work time.Duration // from then to the first event
	Free bool          // the target has capacity for the request now
}

// waitAt returns the wait that is left at now.
func (f Forecast) waitAt(now time.Time) time.Duration {
	return max(0, f.Wait-max(0, now.Sub(f.At)))
}

// Decision is the result of Decide.
type Decision struct {
	Reason     Reason
	Wait       time.Duration // forecast
	Limit      time.Duration // of the wait
	RetryAfter time.Duration // zero if the request is admitted
}

// Admitted reports whether the request is admitted.
func (d Decision) Admitted() bool { return d.Reason == Admitted }

// pressure is that of a class of which requests were rejected.
type pressure struct {
	urgency int
	limit   time.Duration // least limit of the wait of its rejected requests
	at      time.Time     // of the last rejection at that limit
}

// valid reports whether the pressure still limits others.
func (p pressure) valid(now time.Time) bool { return now.Sub(p.at) < pressureValidity }

// Controller decides for the requests of one process. It is not safe for concurrent use.
type Controller struct {
	services map[string]map[string]pressure // by service and class
}

// New returns a controller without state.
func New() *Controller { return &Controller{services: map[string]map[string]pressure{}} }

// Decide decides on a request to a service. draw is a random number from [0,1).
func (c *Controller) Decide(now time.Time, service string, r Request, f Forecast, draw float64) Decision {
	wait := f.waitAt(now)
	own := r.Patience - f.Work
	d := Decision{Reason: Overloaded, Wait: wait, Limit: own}
	if f.Free {
		d.Reason = Admitted
		return d
	}
	if !r.Queued && !r.Starved {
		c.lower(now, service, r, &d)
	}
	if wait <= d.Limit {
		d.Reason = Admitted
		return d
	}
	if wait > own && !r.AboveShare {
		c.record(now, service, r, f)
	}
	after := wait - max(0, d.Limit)
	spread := max(minRetrySpread, time.Duration(retrySpread*float64(after)))
	d.RetryAfter = after + time.Duration(draw*float64(spread))
	return d
}

// lower lowers the limit of a decision to those that protect other requests.
func (c *Controller) lower(now time.Time, service string, r Request, d *Decision) {
	limit := func(reason Reason, limit time.Duration) {
		if limit < d.Limit {
			d.Reason, d.Limit = reason, limit
		}
	}
	if r.AboveShare {
		limit(AboveShare, time.Duration(aboveShareLimit*float64(r.Objective)))
	}
	classes := c.services[service]
	for class, p := range classes {
		switch {
		case !p.valid(now):
			delete(classes, class)
		case class == r.Class:
			limit(ClassLimit, time.Duration(returnedLimit*float64(p.limit)))
		case p.urgency < r.Urgency:
			steps := min(maxUrgencySteps, r.Urgency-p.urgency)
			limit(LessUrgent, time.Duration(math.Pow(lessUrgentLimit, float64(steps))*float64(p.limit)))
		}
	}
}

// record records that a request was rejected because its caller would have left.
func (c *Controller) record(now time.Time, service string, r Request, f Forecast) {
	classes := c.services[service]
	if classes == nil {
		classes = map[string]pressure{}
		c.services[service] = classes
	}
	limit := max(r.Patience-f.Work, time.Duration(minClassLimit*float64(r.ClassPatience)))
	if p := classes[r.Class]; !p.valid(now) || limit <= p.limit {
		classes[r.Class] = pressure{urgency: r.Urgency, limit: limit, at: now}
	}
}
