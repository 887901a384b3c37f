package permits

import (
	"sync"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/ratelimit"
)

// limitRetention is how long a limit is kept of which nothing was heard. Entryds state it
// again with their requests.
const limitRetention = 10 * time.Minute

// Issuer issues the permits for all limited targets that entryds ask it about. It is safe
// for concurrent use.
type Issuer struct {
	mu      sync.Mutex
	limits  map[string]*limit // by incarnation of the target
	pending map[uint64]*pendingRequest
	ids     map[requestKey]uint64 // of the pending requests
	lastID  uint64
	timer   *time.Timer // runs decideDue, nil until the first request waits
}

// limit is what is known of one target's limit.
type limit struct {
	stated    peer.RateLimit
	statedAt  time.Time            // time at which the target stated it
	heardAt   time.Time            // last message about the target
	scheduler *ratelimit.Scheduler // nil if the target has no limit
}

// awaited reports whether a request waits for a permit.
func (l *limit) awaited() bool {
	if l.scheduler == nil {
		return false
	}
	_, ok := l.scheduler.Next()
	return ok
}

// requestKey identifies a request of an entryd. The sender is nil for those of this process.
type requestKey struct {
	sender *peer.Conn
	id     uint64
}

// pendingRequest is a request that has no answer yet.
type pendingRequest struct {
	key    requestKey
	target string
	answer func(peer.PermitAnswer)
}

// New returns an Issuer that knows no limits.
func New() *Issuer {
	return &Issuer{
		limits:  map[string]*limit{},
		pending: map[uint64]*pendingRequest{},
		ids:     map[requestKey]uint64{},
	}
}

// Observe records what a target said of its limit, and reports whether that is newer than
// what was known and differs from it. At the end of a limit all requests that wait get
// their permits.
func (i *Issuer) Observe(now time.Time, m peer.RateLimit) (changed bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	changed = i.observe(now, m)
	i.schedule(now)
	return changed
}

// observe does what Observe does. The caller holds mu.
func (i *Issuer) observe(now time.Time, m peer.RateLimit) bool {
	at := now.Add(-m.Age)
	l := i.limits[m.Target]
	if l == nil {
		l = &limit{stated: peer.RateLimit{Target: m.Target}}
		i.limits[m.Target] = l
	}
	l.heardAt = now
	if !at.After(l.statedAt) {
		return false
	}
	changed := l.stated.Limited != m.Limited || l.stated.PerSecond != m.PerSecond
	l.stated, l.statedAt = m, at
	l.stated.Age = 0
	switch {
	case !m.Limited:
		if l.scheduler != nil {
			i.answer(l.scheduler.DecideAll())
		}
		l.scheduler = nil
	case l.scheduler == nil:
		l.scheduler = ratelimit.New(now, m.PerSecond)
	default:
		l.scheduler.SetRate(m.PerSecond)
		i.decide(now, l)
	}
	return changed
}

// Limits returns the limits in force, as they are to be stated now. Those of which
// nothing was heard for long are dropped.
func (i *Issuer) Limits(now time.Time) []peer.RateLimit {
	i.mu.Lock()
	defer i.mu.Unlock()
	var out []peer.RateLimit
	for target, l := range i.limits {
		if now.Sub(l.heardAt) > limitRetention && !l.awaited() {
			delete(i.limits, target)
			continue
		}
		if l.stated.Limited {
			out = append(out, l.stated.After(now.Sub(l.statedAt)))
		}
	}
	return out
}

// Request answers a request of sender by one call of answer, at once or later. It reports
// whether the request states a limit that was not known. answer must not block.
func (i *Issuer) Request(now time.Time, sender *peer.Conn, m peer.PermitRequest, answer func(peer.PermitAnswer)) (changed bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	changed = i.observe(now, m.Limit)
	l := i.limits[m.Limit.Target]
	if l.scheduler == nil {
		answer(peer.PermitAnswer{ID: m.ID, Granted: true})
		return changed
	}
	i.lastID++
	key := requestKey{sender, m.ID}
	i.pending[i.lastID] = &pendingRequest{key: key, target: m.Limit.Target, answer: answer}
	i.ids[key] = i.lastID
	l.scheduler.Add(ratelimit.Request{ID: i.lastID, Urgency: m.Urgency, Deadline: now.Add(m.Within)})
	i.decide(now, l)
	i.schedule(now)
	return changed
}

// Cancel gives up a request that has no answer yet.
func (i *Issuer) Cancel(now time.Time, sender *peer.Conn, id uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cancel(requestKey{sender, id})
	i.schedule(now)
}

// RemoveSender gives up the requests of a sender.
func (i *Issuer) RemoveSender(now time.Time, sender *peer.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for key := range i.ids {
		if key.sender == sender {
			i.cancel(key)
		}
	}
	i.schedule(now)
}

// cancel removes a request, if it is pending. The caller holds mu.
func (i *Issuer) cancel(key requestKey) {
	id, ok := i.ids[key]
	if !ok {
		return
	}
	if l := i.limits[i.pending[id].target]; l.scheduler != nil {
		l.scheduler.Remove(id)
	}
	delete(i.pending, id)
	delete(i.ids, key)
}

// decideDue issues the permits that have fallen due.
func (i *Issuer) decideDue() {
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, l := range i.limits {
		if l.scheduler != nil {
			i.decide(now, l)
		}
	}
	i.schedule(now)
}

// decide issues the permits for one target that have fallen due. The caller holds mu.
func (i *Issuer) decide(now time.Time, l *limit) { i.answer(l.scheduler.Decide(now)) }

// answer answers the requests that were decided. The caller holds mu.
func (i *Issuer) answer(decisions []ratelimit.Decision) {
	for _, d := range decisions {
		p := i.pending[d.ID]
		delete(i.pending, d.ID)
		delete(i.ids, p.key)
		p.answer(peer.PermitAnswer{ID: p.key.id, Granted: d.Granted, Wait: d.Wait})
	}
}

// schedule sets the timer to the time of the next permit. The caller holds mu.
func (i *Issuer) schedule(now time.Time) {
	var next time.Time
	for _, l := range i.limits {
		if l.scheduler == nil {
			continue
		}
		if at, ok := l.scheduler.Next(); ok && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	switch {
	case next.IsZero():
		if i.timer != nil {
			i.timer.Stop()
		}
	case i.timer == nil:
		i.timer = time.AfterFunc(next.Sub(now), i.decideDue)
	default:
		i.timer.Reset(next.Sub(now))
	}
}
