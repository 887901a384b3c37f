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
	// one, or of the objective of that if it is less, so that the more urgent class is on
	// time behind it. The difference exceeds the error of forecasts at different targets.
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
	// rateWindow is the time constant of the rate at which requests are admitted.
	rateWindow = 2 * time.Second
	// maxPromise bounds the time until a rejected caller returns because of others that
	// return before it, as a share of the time that callers of its class wait. They honour
	// a third of what they have left.
	maxPromise = 0.33
	// classRetention is how long a class without requests is remembered.
	classRetention = time.Minute
	// retrySpread and minRetrySpread are the random part of Retry-After: relative to the
	// time until there is capacity, and at least.
	retrySpread    = 0.25
	minRetrySpread = 100 * time.Millisecond
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

// class is the state of a class.
type class struct {
	urgency    int
	objective  time.Duration // of its last request
	limit      time.Duration // least limit of the wait of recently rejected requests
	rejectedAt time.Time     // when one was rejected at that limit
	aboveAt    time.Time     // when one was rejected because its workspace is above its share
	admitted   float64       // decayed number of admitted requests
	admittedAt time.Time     // to which it is decayed
	promisedAt time.Time     // last time at which a rejected caller was told to return
}

// rejects reports whether requests were rejected recently, so that others are limited.
func (c *class) rejects(now time.Time) bool { return now.Sub(c.rejectedAt) < pressureValidity }

// rejectsAbove reports whether requests of workspaces above their shares were rejected
// recently, so that less urgent ones of such workspaces are limited.
func (c *class) rejectsAbove(now time.Time) bool { return now.Sub(c.aboveAt) < pressureValidity }

// aboveLimit returns the limit of the wait of requests of workspaces above their shares.
func (r Request) aboveLimit() time.Duration {
	return time.Duration(aboveShareLimit * float64(r.Objective))
}

// idle reports whether nothing is left to know of the class.
func (c *class) idle(now time.Time) bool {
	return now.Sub(c.rejectedAt) > classRetention && now.Sub(c.admittedAt) > classRetention
}

// decay decays the number of admitted requests to now.
func (c *class) decay(now time.Time) {
	if elapsed := now.Sub(c.admittedAt); elapsed > 0 {
		c.admitted *= math.Exp(-float64(elapsed) / float64(rateWindow))
		c.admittedAt = now
	}
}

// promise returns the time after which a rejected caller should return: when its backlog
// has fallen, and after those that were told to return before, which are admitted at the
// rate at which requests of the class are. It is at most a part of the callers' patience.
func (c *class) promise(now time.Time, after, patience time.Duration) time.Duration {
	c.decay(now)
	interval := time.Duration(float64(rateWindow) / max(1, c.admitted))
	at := now.Add(after)
	if next := c.promisedAt.Add(interval); next.After(at) {
		at = next
	}
	if latest := now.Add(max(after, time.Duration(maxPromise*float64(patience)))); at.After(latest) {
		at = latest
	}
	c.promisedAt = at
	return at.Sub(now)
}

// Controller decides for the requests of one process. It is not safe for concurrent use.
type Controller struct {
	services map[string]map[string]*class // by service and class
}

// New returns a controller without state.
func New() *Controller { return &Controller{services: map[string]map[string]*class{}} }

// classOf returns the state of a request's class.
func (c *Controller) classOf(service string, r Request) *class {
	classes := c.services[service]
	if classes == nil {
		classes = map[string]*class{}
		c.services[service] = classes
	}
	k := classes[r.Class]
	if k == nil {
		k = &class{}
		classes[r.Class] = k
	}
	k.urgency, k.objective = r.Urgency, r.Objective
	return k
}

// Rejects reports whether Decide would reject a request, without recording it.
func (c *Controller) Rejects(now time.Time, service string, r Request, f Forecast) bool {
	d := c.limit(now, service, r, f, false)
	return !f.Free && d.Wait > d.Limit
}

// Preview returns what Decide would return, without recording it.
func (c *Controller) Preview(now time.Time, service string, r Request, f Forecast, draw float64) Decision {
	d := c.limit(now, service, r, f, false)
	if f.Free || d.Wait <= d.Limit {
		d.Reason = Admitted
		return d
	}
	var k class
	if known := c.services[service][r.Class]; known != nil {
		k = *known
	}
	d.RetryAfter = k.retryAfter(now, r, d, draw)
	return d
}

// Decide decides on a request to a service. draw is a random number from [0,1).
func (c *Controller) Decide(now time.Time, service string, r Request, f Forecast, draw float64) Decision {
	k := c.classOf(service, r)
	d := c.limit(now, service, r, f, true)
	if f.Free || d.Wait <= d.Limit {
		d.Reason = Admitted
		if !r.Queued {
			k.decay(now)
			k.admitted++
		}
		return d
	}
	switch {
	case r.AboveShare && d.Wait > r.aboveLimit():
		k.aboveAt = now
	case d.Wait > r.Patience-f.Work && !r.AboveShare:
		k.record(now, r, f)
	}
	d.RetryAfter = k.retryAfter(now, r, d, draw)
	return d
}

// retryAfter returns the time after which a rejected caller should return, with a random
// part, and records it.
func (c *class) retryAfter(now time.Time, r Request, d Decision, draw float64) time.Duration {
	after := c.promise(now, d.Wait-max(0, d.Limit), r.ClassPatience)
	return after + time.Duration(draw*max(float64(minRetrySpread), retrySpread*float64(after)))
}

// limit returns the forecast wait of a request and its limit, with the reason to reject it
// if the wait is longer. If record is set, limits that reject the request stay.
func (c *Controller) limit(now time.Time, service string, r Request, f Forecast, record bool) Decision {
	d := Decision{Reason: Overloaded, Wait: f.waitAt(now), Limit: r.Patience - f.Work}
	if !r.Queued && !r.Starved && !f.Free {
		c.lower(now, service, r, &d, record)
	}
	return d
}

// lower lowers the limit of a decision to those that protect other requests.
func (c *Controller) lower(now time.Time, service string, r Request, d *Decision, record bool) {
	limit := func(reason Reason, limit time.Duration) {
		if limit < d.Limit {
			d.Reason, d.Limit = reason, limit
		}
	}
	if r.AboveShare {
		limit(AboveShare, r.aboveLimit())
	}
	for name, k := range c.services[service] {
		if r.AboveShare && k.urgency < r.Urgency && k.rejectsAbove(now) {
			limit(LessUrgent, lessUrgent(aboveShareLimit*float64(k.objective), r.Urgency-k.urgency))
			if record && d.Reason == LessUrgent && d.Wait > d.Limit {
				k.aboveAt = now // as below
			}
		}
		switch {
		case name != r.Class && k.idle(now):
			delete(c.services[service], name)
		case !k.rejects(now):
		case name == r.Class:
			limit(ClassLimit, time.Duration(returnedLimit*float64(k.limit)))
		case k.urgency < r.Urgency:
			limit(LessUrgent, lessUrgent(float64(min(k.limit, k.objective)), r.Urgency-k.urgency))
			if record && d.Reason == LessUrgent && d.Wait > d.Limit {
				k.rejectedAt = now // without this limit the class would be rejected again
			}
		}
	}
}

// lessUrgent returns the limit of a class that is less urgent by some steps than one with
// the given limit.
func lessUrgent(limit float64, steps int) time.Duration {
	return time.Duration(math.Pow(lessUrgentLimit, float64(min(maxUrgencySteps, steps))) * limit)
}

// record records that a request was rejected because its caller would have left.
func (c *class) record(now time.Time, r Request, f Forecast) {
	limit := max(r.Patience-f.Work, time.Duration(minClassLimit*float64(r.ClassPatience)))
	if !c.rejects(now) || limit <= c.limit {
		c.limit, c.rejectedAt = limit, now
	}
}
