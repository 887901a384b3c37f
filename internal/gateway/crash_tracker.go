package gateway

import (
	"sync"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/quarantine"
)

// crashWindow is the longest time between a broken connection and the
// indication that its target crashed, in either order: the time in which
// keep-alive probes detect a dead connection, plus the interval of a targetd's
// reports. A target is probed for as long.
const crashWindow = 2 * time.Second

// crashTracker identifies the requests that crash targets. It is safe for
// concurrent use.
type crashTracker struct {
	log       event.Log
	broadcast func(peer.Message) // to the targetds, which forward it to the other entryds
	segments  *segmentTracker

	mu     sync.Mutex
	list   quarantine.List
	broken map[string]map[quarantine.Fingerprint]time.Time // time of each broken request, by incarnation of the target
	downAt map[string]time.Time                            // last indication of a crash, by incarnation of the target
	probed map[string]bool                                 // incarnations that are being probed
	known  map[string]time.Time                            // latest possible times of the crashes that may be withdrawn, by incarnation
	stated map[string]time.Time                            // when a targetd stated a crash, which is not withdrawn, by incarnation
	alive  map[string]time.Time                            // when the last request that was answered was sent, by incarnation
}

func newCrashTracker(broadcast func(peer.Message), log event.Log) *crashTracker {
	return &crashTracker{
		log:       log,
		broadcast: broadcast,
		segments:  newSegmentTracker(broadcast, log),
		broken:    map[string]map[quarantine.Fingerprint]time.Time{},
		downAt:    map[string]time.Time{},
		probed:    map[string]bool{},
		known:     map[string]time.Time{},
		stated:    map[string]time.Time{},
		alive:     map[string]time.Time{},
	}
}

// fingerprint identifies a request by the parts of it that reach a target. The host
// takes the place of the caller's team, which the gateway does not know.
func fingerprint(c *call) quarantine.Fingerprint {
	return quarantine.FingerprintOf(quarantine.Request{
		Team:    c.request.Host,
		Adapter: c.model + "/" + c.adapter.Name,
		Path:    c.request.URI,
		Body:    c.body,
	})
}

// quarantined reports whether a call is rejected because it, or a segment of its
// prompt, crashes targets.
func (t *crashTracker) quarantined(now time.Time, c *call) bool {
	if t.segments.classify(now, c) == quarantine.Convicted {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.list.Empty() {
		return false
	}
	return t.list.Classify(now, fingerprint(c)) == quarantine.Convicted
}

// recordBroken records that the connection to an incarnation of a target broke
// during a call.
func (t *crashTracker) recordBroken(now time.Time, incarnation string, c *call, run *segmentRun) {
	t.segments.recordBroken(now, incarnation, run)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.broken[incarnation] == nil {
		t.broken[incarnation] = map[quarantine.Fingerprint]time.Time{}
	}
	t.broken[incarnation][fingerprint(c)] = now
	if now.Sub(t.downAt[incarnation]) < crashWindow {
		t.reportCrash(now, incarnation)
	}
}

// beginProbe reports whether an incarnation of a target is to be probed: not if a probe
// of it is under way or its crash is known. After the probe, endProbe has to be called.
func (t *crashTracker) beginProbe(now time.Time, incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.probed[incarnation] || now.Sub(t.downAt[incarnation]) < crashWindow {
		return false
	}
	t.probed[incarnation] = true
	return true
}

// endProbe ends a probe of an incarnation.
func (t *crashTracker) endProbe(incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.probed, incarnation)
}

// recordEngineDown records the statement of the targetd beside a target that this
// incarnation crashed.
func (t *crashTracker) recordEngineDown(now time.Time, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stated[incarnation] = now
	t.downAt[incarnation] = now
	t.reportCrash(now, incarnation)
}

// recordUnreachable records that no process listens any more at the address of an
// incarnation to which a connection broke at the given time. It is no crash if the
// incarnation has answered a request that was sent later.
func (t *crashTracker) recordUnreachable(now, brokenAt time.Time, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.alive[incarnation].After(brokenAt) {
		return
	}
	t.downAt[incarnation] = now
	t.reportCrash(now, incarnation)
}

// recordAlive records that an incarnation answered a request that was sent at the given
// time. It withdraws a crash before that: network elements may refuse connections too.
func (t *crashTracker) recordAlive(sent time.Time, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sent.After(t.alive[incarnation]) {
		t.alive[incarnation] = sent
	}
	at, ok := t.known[incarnation]
	if _, stated := t.stated[incarnation]; !ok || stated || !sent.After(at) {
		return
	}
	delete(t.known, incarnation)
	delete(t.downAt, incarnation)
	t.list.Remove(incarnation)
	t.segments.withdrawCrash(incarnation)
	t.log.Event(event.CrashWithdrawn).Str("target", incarnation).Send()
}

// reportCrash records the calls in flight at the crash of an incarnation and
// broadcasts them to the other entryds. The caller holds mu.
func (t *crashTracker) reportCrash(now time.Time, incarnation string) {
	t.segments.reportCrash(now, incarnation)
	var m peer.CrashReport
	for f, at := range t.broken[incarnation] {
		if now.Sub(at) < crashWindow {
			m.Fingerprints = append(m.Fingerprints, f[:])
		}
	}
	delete(t.broken, incarnation)
	if len(m.Fingerprints) == 0 {
		return
	}
	m.Engine = incarnation
	t.add(now, m)
	t.broadcast(m)
}

// applyReport applies a crash report of another entryd.
func (t *crashTracker) applyReport(now time.Time, m peer.CrashReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(now, m)
}

// applySegmentCrash applies a report of another entryd.
func (t *crashTracker) applySegmentCrash(now time.Time, m peer.SegmentCrash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known[m.Engine] = now
	t.segments.applyCrash(now, m)
}

// add records and logs a crash. The caller holds mu.
func (t *crashTracker) add(now time.Time, m peer.CrashReport) {
	c := quarantine.Crash{Name: m.Engine, Target: m.Engine, At: now}
	for _, b := range m.Fingerprints {
		var f quarantine.Fingerprint
		if copy(f[:], b) == len(f) {
			c.InFlight = append(c.InFlight, f)
		}
	}
	t.list.Add(c)
	t.known[m.Engine] = now
	t.log.Event(event.CrashKnown).Str("target", m.Engine).Int("in_flight", len(c.InFlight)).Send()
}

// clearSuspect clears a call of suspicion after a target responded to it.
func (t *crashTracker) clearSuspect(c *call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.list.Empty() {
		t.list.Clear(fingerprint(c))
	}
}

// expire removes records that are too old to affect a decision.
func (t *crashTracker) expire(now time.Time) {
	t.segments.expire(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list.Expire(now)
	for incarnation, at := range t.downAt {
		if now.Sub(at) > crashWindow {
			delete(t.downAt, incarnation)
		}
	}
	for incarnation, at := range t.alive {
		if now.Sub(at) > crashWindow {
			delete(t.alive, incarnation)
		}
	}
	for _, times := range []map[string]time.Time{t.known, t.stated} {
		for incarnation, at := range times {
			if now.Sub(at) > quarantine.ConvictedFor {
				delete(times, incarnation)
			}
		}
	}
	for incarnation, calls := range t.broken {
		for f, at := range calls {
			if now.Sub(at) > crashWindow {
				delete(calls, f)
			}
		}
		if len(calls) == 0 {
			delete(t.broken, incarnation)
		}
	}
}
