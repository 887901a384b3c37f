package quota

import (
	"math"
	"slices"
	"time"
)

// Times of an account.
const (
	// minInterval and maxInterval bound the time between two requests of an account that
	// needs no credit at once. It grows with the number of processes, so that the messages
	// of all of them do not.
	minInterval         = 100 * time.Millisecond
	maxInterval         = 400 * time.Millisecond
	intervalPerAccount  = 2 * time.Millisecond
	answerTime          = 150 * time.Millisecond // for an answer: a round trip between regions, with some margin
	urgentInterval      = 25 * time.Millisecond  // while requests of callers wait for credit
	shortIntervalFactor = 0.5                    // of the interval, while they wait and credit is short
	// idleInterval is the same for an account without demand that has to repay credit.
	idleInterval = 500 * time.Millisecond
	// renewTime is the time before the end of the lease in which an account renews it.
	renewTime = leaseTime / 2
	// idleTime is the time without requests of callers after which an account returns its
	// credit.
	idleTime = time.Second
	// answerTimeout is the time after which a request to the issuer counts as lost.
	answerTimeout = time.Second
	// shortTime is how long the statement that credit is short is used.
	shortTime = time.Second
	// ownDelay is the time without an issuer after which an account spends an equal part
	// of the rate. Connections are made and replaced within less.
	ownDelay = time.Second
	// reserveHorizon is the time of which the demand of more urgent requests is kept from
	// others while credit is short: the interval between two answers.
	reserveHorizon = 200 * time.Millisecond
	// refundTime is the age up to which the credit of a request that never ran is refunded.
	// Later, the units could be spent in another window; requests wait for less.
	refundTime = 2 * time.Second
	// minWait and maxWait bound the time after which a rejected caller is to return.
	minWait = 50 * time.Millisecond
	maxWait = 10 * time.Second
)

// Waiter is a request that needs credit.
type Waiter struct {
	ID      uint64 // unique in an Account
	Urgency int    // 0 is the most urgent
	Cost    float64
	Until   time.Time // time until which it can wait

	addedAt time.Time
}

// Decision is the answer to a Waiter.
type Decision struct {
	ID         uint64
	Admitted   bool
	Unanswered bool          // no issuer answered in time, so that nothing is known of the quota
	Wait       time.Duration // if not admitted, until the account will have credit
}

// Charge is the credit that a request spent.
type Charge struct {
	Cost    float64
	At      time.Time
	settled bool
}

// Account spends the credit of one workspace in one process. It is not safe for concurrent
// use.
type Account struct {
	bounds   Bounds
	limit    Limit
	accounts int // number of processes

	balance    float64   // negative if overdrawn
	leaseUntil time.Time // a positive balance is void then

	issuer     bool      // one can be reached
	issuerLost time.Time // since when none can
	ownAt      time.Time // up to which the account's own part was added
	sentAt     time.Time // last request
	awaited    bool      // that request has no answer yet
	answered   time.Time // when the last answered request was sent, zero before the first

	arrivedAt time.Time // last request of a caller
	demand    meter
	byUrgency map[int]*meter
	largest   float64 // cost of a request, decaying slowly
	granted   meter
	grant     float64   // mean of the last answers
	shortAt   time.Time // last statement that credit is short, zero for none
	emptyTill time.Time // until when the issuer grants nothing

	waiting []Waiter // in the order in which they get credit
}

// NewAccount returns an account without credit.
func NewAccount(now time.Time, b Bounds) *Account {
	return &Account{bounds: b, accounts: 1, issuerLost: now, ownAt: now, byUrgency: map[int]*meter{}}
}

// SetLimit applies the limit in force and the number of processes. If the limit falls, so
// does the balance, also an overdraft: it was spent under the old limit and would take long
// to repay.
func (a *Account) SetLimit(l Limit, accounts int) {
	if l.PerSecond < a.limit.PerSecond {
		a.balance = min(a.balance*l.PerSecond/a.limit.PerSecond, a.bounds.held(l))
	}
	a.limit, a.accounts = l, max(1, accounts)
}

// Limit returns the limit in force.
func (a *Account) Limit() Limit { return a.limit }

// SetIssuer states whether an issuer can be reached. A request to another one is lost.
func (a *Account) SetIssuer(now time.Time, reachable, changed bool) {
	if changed {
		a.awaited = false
	}
	switch {
	case reachable && !a.issuer:
		a.ownAt = now
	case !reachable && a.issuer:
		a.issuerLost = now
	}
	a.issuer = reachable
}

// Balance returns the credit, negative if overdrawn.
func (a *Account) Balance(now time.Time) float64 {
	a.settle(now)
	return a.balance
}

// Idle reports whether the account has neither demand, nor credit, nor debt.
func (a *Account) Idle(now time.Time) bool {
	return a.Balance(now) == 0 && len(a.waiting) == 0 && now.Sub(a.arrivedAt) > idleTime && !a.awaited
}

// settle drops credit whose lease has ended and adds the part of an account that has no
// issuer.
func (a *Account) settle(now time.Time) {
	if a.own(now) {
		from := a.ownAt
		if since := a.issuerLost.Add(ownDelay); from.Before(since) {
			from = since
		}
		limit := max(a.bounds.held(a.limit), a.limit.over(a.horizon())) / float64(a.accounts)
		if a.balance < limit {
			a.balance = min(a.balance+a.ownRate()*now.Sub(from).Seconds(), limit)
		}
		a.ownAt, a.leaseUntil = now, now.Add(leaseTime)
	}
	if a.balance > 0 && !now.Before(a.leaseUntil) {
		a.balance = 0
	}
}

// own reports whether the account spends its part without an issuer.
func (a *Account) own(now time.Time) bool { return !a.issuer && now.Sub(a.issuerLost) > ownDelay }

// ownRate returns the account's equal part of the rate.
func (a *Account) ownRate() float64 { return a.limit.PerSecond / float64(a.accounts) }

// Add adds a request, which the next Decide may answer.
func (a *Account) Add(now time.Time, w Waiter) {
	a.arrivedAt, w.addedAt = now, now
	if !a.tooLarge(w) { // else it would pass for demand that the others have to make room for
		a.measure(now, w)
	}
	i, _ := slices.BinarySearchFunc(a.waiting, w, func(have, w Waiter) int {
		if have.Urgency <= w.Urgency {
			return -1
		}
		return 1
	})
	a.waiting = slices.Insert(a.waiting, i, w)
}

// measure adds a request to the demand.
func (a *Account) measure(now time.Time, w Waiter) {
	a.demand.add(now, w.Cost)
	m := a.byUrgency[w.Urgency]
	if m == nil {
		m = &meter{}
		a.byUrgency[w.Urgency] = m
	}
	m.add(now, w.Cost)
	const decay = 0.99 // of the largest cost at each request
	a.largest = max(w.Cost, a.largest*decay)
}

// tooLarge reports whether a request exceeds the quota of each window alone. It is never
// admitted: the issuer would grant nothing else until it is repaid.
func (a *Account) tooLarge(w Waiter) bool {
	return a.limit.Limited() && w.Cost > a.bounds.Allowed(a.limit)
}

// Remove removes a request whose caller has left, and reports whether it waited.
func (a *Account) Remove(id uint64) bool {
	before := len(a.waiting)
	a.waiting = slices.DeleteFunc(a.waiting, func(w Waiter) bool { return w.ID == id })
	return len(a.waiting) < before
}

// Decide answers the requests for which there is credit, and those for which there will be
// none in time. Others wait for the answer of the issuer. A request does not overtake
// another one of its urgency, so that small ones do not use up what a large one waits for.
func (a *Account) Decide(now time.Time) []Decision {
	a.settle(now)
	var out []Decision
	var kept []Waiter
	ahead := 0.0
	for _, w := range a.waiting {
		missing := w.Cost + a.reserve(now, w.Urgency) - a.balance - a.bounds.overdraft(a.limit, a.accounts)
		switch {
		case !a.limit.Limited() || (len(kept) == 0 && missing <= 0):
			if a.limit.Limited() {
				a.balance -= w.Cost
			}
			out = append(out, Decision{ID: w.ID, Admitted: true})
		case !a.tooLarge(w) && now.Before(w.Until) && a.inTime(now, w, ahead, missing):
			kept = append(kept, w)
			ahead += w.Cost
		default:
			unanswered := !now.Before(w.Until) && !a.own(now) && !a.knownShort(now, w) && !a.tooLarge(w)
			out = append(out, Decision{ID: w.ID, Unanswered: unanswered, Wait: a.wait(now, missing+ahead)})
		}
	}
	a.waiting = kept
	return out
}

// NextDecision returns the time at which Decide is to be called again without an answer of
// the issuer, and false if no request waits.
func (a *Account) NextDecision(now time.Time) (at time.Time, ok bool) {
	for _, w := range a.waiting {
		if at.IsZero() || w.Until.Before(at) {
			at = w.Until
		}
	}
	if len(a.waiting) > 0 && !a.issuer {
		at = earliest(at, now.Add(urgentInterval))
	}
	return at, len(a.waiting) > 0
}

// inTime reports whether a request that lacks credit may get it in time, behind others
// whose cost is given.
func (a *Account) inTime(now time.Time, w Waiter, ahead, missing float64) bool {
	if !a.issuer {
		if a.own(now) {
			return (missing+ahead)/a.ownRate() < w.Until.Sub(now).Seconds()
		}
		return true // one may be connected soon
	}
	switch {
	case !a.short(now):
		return true
	case w.Until.Before(a.emptyTill):
		return false
	}
	return ahead <= a.grant // regardless of its own cost, so that large requests wait as others do
}

// knownShort reports whether a request without credit is over the quota: the issuer said
// recently that credit is short, or answered what was asked for since the request was added.
// An answer to an earlier request says nothing, because the issuer may be lost since.
func (a *Account) knownShort(now time.Time, w Waiter) bool {
	return a.short(now) || (!a.answered.IsZero() && !a.answered.Before(w.addedAt))
}

// short reports whether the issuer said recently that credit is short.
func (a *Account) short(now time.Time) bool {
	return !a.shortAt.IsZero() && now.Sub(a.shortAt) < shortTime
}

// reserve returns the credit that is kept for more urgent requests.
func (a *Account) reserve(now time.Time, urgency int) float64 {
	if !a.short(now) {
		return 0
	}
	sum := 0.0
	for u, m := range a.byUrgency {
		if u < urgency {
			sum += m.value(now) * reserveHorizon.Seconds()
		}
	}
	return sum
}

// wait returns the time until the account will have the units that are missing.
func (a *Account) wait(now time.Time, missing float64) time.Duration {
	rate := max(a.granted.value(now), a.ownRate()/4) // a quarter, as others may send much more
	if a.own(now) {
		rate = a.ownRate()
	}
	d := min(missing/rate, maxWait.Seconds())
	return min(max(time.Duration(d*float64(time.Second)), a.emptyTill.Sub(now), minWait), maxWait)
}

// Refund gives back the credit of a request that did not run and never will. A charge is
// refunded once, and not if it is too old.
func (a *Account) Refund(now time.Time, c *Charge) (refunded bool) {
	if c.settled {
		return false
	}
	c.settled = true
	if now.Sub(c.At) > refundTime {
		return false
	}
	a.settle(now)
	a.balance = max(a.balance, min(a.balance+c.Cost, max(a.bounds.held(a.limit), c.Cost)))
	return true
}

// interval returns the time between two requests to the issuer.
func (a *Account) interval() time.Duration {
	return min(max(minInterval, time.Duration(a.accounts)*intervalPerAccount), maxInterval)
}

// horizon returns the time for which the account wants to hold credit.
func (a *Account) horizon() time.Duration { return a.interval() + answerTime }

// target returns the credit that the account wants to hold.
func (a *Account) target(now time.Time) float64 {
	if now.Sub(a.arrivedAt) > idleTime {
		return 0
	}
	least := min(a.largest, a.bounds.held(a.limit)/float64(2*a.accounts))
	return max(a.demand.value(now)*a.horizon().Seconds(), least)
}

// NextRequest returns the time at which Request is to be called again, and false if there
// is nothing to ask for.
func (a *Account) NextRequest(now time.Time) (at time.Time, ok bool) {
	a.settle(now)
	target := a.target(now)
	switch {
	case !a.issuer || !a.limit.Limited():
		return time.Time{}, false
	case a.awaited:
		return a.sentAt.Add(answerTimeout), true
	case len(a.waiting) > 0 && a.short(now):
		return a.sentAt.Add(time.Duration(shortIntervalFactor * float64(a.interval()))), true
	case len(a.waiting) > 0:
		return a.sentAt.Add(urgentInterval), true
	case target == 0 && a.balance == 0:
		if left := a.arrivedAt.Add(idleTime); !now.After(left) {
			return left, true
		}
		return time.Time{}, false
	case target == 0 && a.balance > 0, target > 0 && (a.balance < target*3/4 || a.balance > 2*target):
		return a.sentAt.Add(a.interval()), true
	case target == 0:
		return a.sentAt.Add(idleInterval), true
	}
	return earliest(a.leaseUntil.Add(-renewTime), a.sentAt.Add(idleInterval)), true
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Request returns what to ask the issuer for, and false if nothing is due. The answer is to
// be passed to Apply.
func (a *Account) Request(now time.Time) (r Request, ok bool) {
	at, ok := a.NextRequest(now)
	if !ok || now.Before(at) {
		return Request{}, false
	}
	target := a.target(now)
	if surplus := math.Floor(a.balance - 2*target); surplus > 0 {
		r.Returned = math.Floor(a.balance - target)
		a.balance -= r.Returned
	}
	if target == 0 && a.balance > 0 { // less than a unit
		a.balance = 0
	}
	r.Held, r.Demand = a.balance, a.demand.value(now)
	for _, w := range a.waiting {
		target += w.Cost
	}
	r.Ask = max(0, min(target-a.balance, a.bounds.held(a.limit)))
	if len(a.waiting) > 0 {
		w := a.waiting[0]
		r.Need = max(0, w.Cost+a.reserve(now, w.Urgency)-a.balance-a.bounds.overdraft(a.limit, a.accounts))
	}
	a.sentAt, a.awaited = now, true
	return r, true
}

// Apply applies the answer to the last request.
func (a *Account) Apply(now time.Time, m Answer) {
	if !a.awaited {
		return // the request counts as lost
	}
	a.settle(now)
	a.awaited, a.answered = false, a.sentAt
	a.balance += m.Granted
	a.leaseUntil = a.sentAt.Add(leaseTime)
	a.granted.add(now, m.Granted)
	const weight = 0.3 // of the last answer in the mean
	a.grant += weight * (m.Granted - a.grant)
	a.shortAt, a.emptyTill = time.Time{}, time.Time{}
	if m.Short {
		a.shortAt = now
	}
	if m.Wait > 0 {
		a.emptyTill = now.Add(m.Wait)
	}
}
