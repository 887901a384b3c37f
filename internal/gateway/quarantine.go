package gateway

import (
	"sync"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/quarantine"
)

// crashWindow is the most time between the break of a connection and the sign
// that its target crashed, in either order: the keep-alive probes' time to find
// a dead path, and the interval of a targetd's reports.
const crashWindow = 2 * time.Second

// crashes finds the requests that crash targets. It is safe for concurrent use.
type crashes struct {
	log  event.Log
	send func(peer.CrashReport) // to the targetds, which tell the other entries

	mu     sync.Mutex
	list   quarantine.List
	broken map[string]map[quarantine.Fingerprint]time.Time // by target
	downAt map[string]time.Time                            // by target
}

func newCrashes(send func(peer.CrashReport), log event.Log) *crashes {
	return &crashes{
		log:    log,
		send:   send,
		broken: map[string]map[quarantine.Fingerprint]time.Time{},
		downAt: map[string]time.Time{},
	}
}

// fingerprint identifies a request by what a target sees of it.
func fingerprint(c *call) quarantine.Fingerprint {
	return quarantine.Of(quarantine.Request{
		Team:    c.request.Host,
		Adapter: c.model + "/" + c.adapter.Name,
		Path:    c.request.URI,
		Body:    c.body,
	})
}

// convicted reports whether a call is refused because it crashes targets.
func (q *crashes) convicted(now time.Time, c *call) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.list.Empty() {
		return false
	}
	return q.list.Judge(now, fingerprint(c)) == quarantine.Convicted
}

// noteBroken notes that the connection to a target broke while it ran a call.
func (q *crashes) noteBroken(now time.Time, target string, c *call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.broken[target] == nil {
		q.broken[target] = map[quarantine.Fingerprint]time.Time{}
	}
	q.broken[target][fingerprint(c)] = now
	if now.Sub(q.downAt[target]) < crashWindow {
		q.report(now, target)
	}
}

// noteDown notes a sign that a target crashed.
func (q *crashes) noteDown(now time.Time, target string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.downAt[target] = now
	q.report(now, target)
}

// report records the calls that were running at a target's crash and tells the
// other entries.
func (q *crashes) report(now time.Time, target string) {
	var m peer.CrashReport
	for f, at := range q.broken[target] {
		if now.Sub(at) < crashWindow {
			m.Fingerprints = append(m.Fingerprints, f[:])
		}
	}
	delete(q.broken, target)
	if len(m.Fingerprints) == 0 {
		return
	}
	m.Engine = target
	q.add(now, m)
	q.send(m)
}

// learn takes the report of another entry.
func (q *crashes) learn(now time.Time, m peer.CrashReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.add(now, m)
}

func (q *crashes) add(now time.Time, m peer.CrashReport) {
	c := quarantine.Crash{Name: m.Engine, Target: m.Engine, At: now}
	for _, b := range m.Fingerprints {
		var f quarantine.Fingerprint
		if copy(f[:], b) == len(f) {
			c.InFlight = append(c.InFlight, f)
		}
	}
	q.list.Add(c)
	q.log.At(event.CrashKnown).Str("target", m.Engine).Int("in_flight", len(c.InFlight)).Send()
}

// answered clears a call that a target answered.
func (q *crashes) answered(c *call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.list.Empty() {
		q.list.Clear(fingerprint(c))
	}
}

// expire forgets what no verdict hangs on any more.
func (q *crashes) expire(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.Expire(now)
	for target, at := range q.downAt {
		if now.Sub(at) > crashWindow {
			delete(q.downAt, target)
		}
	}
	for target, calls := range q.broken {
		for f, at := range calls {
			if now.Sub(at) > crashWindow {
				delete(calls, f)
			}
		}
		if len(calls) == 0 {
			delete(q.broken, target)
		}
	}
}
