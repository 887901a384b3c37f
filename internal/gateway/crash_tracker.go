package gateway

import (
	"hash/maphash"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/quarantine"
)

// crashWindow is the longest time between a broken connection and the
// indication that its target crashed, in either order: the time in which
// keep-alive probes detect a dead connection, plus the interval of a targetd's
// reports. A target is probed for as long.
const crashWindow = 2 * time.Second

// breakRetention is how long a call whose connection broke is kept for evidence of the crash
// that arrives late. A target that crashed is back after some seconds, and an entryd learns
// of its new entry, or of the end of the old one, a watch interval later.
const breakRetention = 10 * time.Second

// Sources of the evidence of a crash, for the log.
const (
	sourceTargetd  = "targetd"
	sourceProbe    = "probe"
	sourceEntry    = "entry"    // the target's entry was replaced or removed
	sourceResponse = "response" // another target answers at its address
	sourceEntryd   = "entryd"   // another entryd knows of the crash
)

// brokenCall is the last break of the connection of a call to an incarnation.
type brokenCall struct {
	at     time.Time
	closed bool // the other end closed or reset the connection
}

// crashTracker identifies the requests that crash targets. It is safe for
// concurrent use.
type crashTracker struct {
	log       event.Log
	broadcast func(peer.Message) // to the targetds, which forward it to the other entryds
	segments  *segmentTracker

	mu     sync.Mutex
	list   quarantine.List
	broken map[string]map[quarantine.Fingerprint]brokenCall // by incarnation of the target
	downAt map[string]time.Time                             // last indication of a crash, by incarnation of the target
	probed map[string]bool                                  // incarnations that are being probed
	known  map[string]time.Time                             // latest possible times of the crashes that may be withdrawn, by incarnation
	stated map[string]time.Time                             // when a targetd stated a crash, which is not withdrawn, by incarnation
	alive  map[string]time.Time                             // when the last request that was answered was sent, by incarnation
	copies map[uint64]time.Time                             // receipts of reports of other entryds, by the hash of the report
	seed   maphash.Seed                                     // of the hashes
}

func newCrashTracker(broadcast func(peer.Message), log event.Log) *crashTracker {
	return &crashTracker{
		log:       log,
		broadcast: broadcast,
		segments:  newSegmentTracker(broadcast, log),
		broken:    map[string]map[quarantine.Fingerprint]brokenCall{},
		downAt:    map[string]time.Time{},
		probed:    map[string]bool{},
		known:     map[string]time.Time{},
		stated:    map[string]time.Time{},
		alive:     map[string]time.Time{},
		copies:    map[uint64]time.Time{},
		seed:      maphash.MakeSeed(),
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

// recordBroken records that the connection to an incarnation of a target broke with err
// during a call.
func (t *crashTracker) recordBroken(now time.Time, incarnation string, c *call, run *segmentRun, err error) {
	t.segments.recordBroken(now, incarnation, run)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.broken[incarnation] == nil {
		t.broken[incarnation] = map[quarantine.Fingerprint]brokenCall{}
	}
	t.broken[incarnation][fingerprint(c)] = brokenCall{now, isClosedByPeer(err)}
	if now.Sub(t.downAt[incarnation]) < crashWindow {
		source := sourceProbe
		if _, ok := t.stated[incarnation]; ok {
			source = sourceTargetd
		}
		t.reportCrash(now, now, incarnation, source)
	}
}

// isClosedByPeer reports whether a connection ended because its other end closed or reset
// it, and not because nothing was received or a response was invalid.
func isClosedByPeer(err error) bool {
	for _, closed := range []error{syscall.ECONNRESET, syscall.ECONNABORTED, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}

// hasBreaks reports whether calls to an incarnation are kept for late evidence that it
// crashed.
func (t *crashTracker) hasBreaks(now time.Time, incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.lastBreak(now, incarnation)
	return ok
}

// lastBreak returns when the last connection to an incarnation was closed by its other end,
// and false if that was too long ago or the incarnation has answered since. The caller
// holds mu.
func (t *crashTracker) lastBreak(now time.Time, incarnation string) (last time.Time, ok bool) {
	for _, b := range t.broken[incarnation] {
		if b.closed && b.at.After(last) {
			last = b.at
		}
	}
	return last, !last.IsZero() && now.Sub(last) < breakRetention && !t.alive[incarnation].After(last)
}

// recordEnded records that an incarnation has ended without having announced it, as source
// shows. The calls whose connections were the last that it closed were in flight at its
// crash.
func (t *crashTracker) recordEnded(now time.Time, incarnation, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if last, ok := t.lastBreak(now, incarnation); ok {
		t.reportCrash(now, last, incarnation, source)
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
	t.reportCrash(now, now, incarnation, sourceTargetd)
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
	t.reportCrash(now, now, incarnation, sourceProbe)
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

// reportCrash records the calls in flight at the crash of an incarnation, shown by source:
// those that broke less than crashWindow before at. It broadcasts them to the other
// entryds. The caller holds mu.
func (t *crashTracker) reportCrash(now, at time.Time, incarnation, source string) {
	t.segments.reportCrash(now, at, incarnation)
	var m peer.CrashReport
	for f, b := range t.broken[incarnation] {
		if at.Sub(b.at) < crashWindow {
			m.Fingerprints = append(m.Fingerprints, f[:])
		}
	}
	delete(t.broken, incarnation)
	if len(m.Fingerprints) == 0 {
		return
	}
	m.Engine = incarnation
	t.add(now, m, source)
	t.broadcast(m)
}

// applyReport applies a crash report of another entryd. It is also evidence that the calls
// of this one were in flight at the crash.
func (t *crashTracker) applyReport(now time.Time, m peer.CrashReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isCopy(now, m) {
		t.add(now, m, sourceEntryd)
	}
	if last, ok := t.lastBreak(now, m.Engine); ok {
		t.reportCrash(now, last, m.Engine, sourceEntryd)
	}
}

// isCopy reports whether the same report arrived before: up to crashReportFanout targetds forward
// each one, and to apply it rebuilds the index of suspects. The caller holds mu.
func (t *crashTracker) isCopy(now time.Time, m peer.CrashReport) bool {
	var h maphash.Hash
	h.SetSeed(t.seed)
	_, _ = h.WriteString(m.Engine) // a hash returns no error
	for _, f := range m.Fingerprints {
		_, _ = h.Write(f)
	}
	key := h.Sum64()
	at, ok := t.copies[key]
	if ok && now.Sub(at) < breakRetention {
		return true
	}
	t.copies[key] = now
	return false
}

// applySegmentCrash applies a report of another entryd.
func (t *crashTracker) applySegmentCrash(now time.Time, m peer.SegmentCrash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known[m.Engine] = now
	t.segments.applyCrash(now, m)
}

// add records and logs a crash that source shows. The caller holds mu.
func (t *crashTracker) add(now time.Time, m peer.CrashReport, source string) {
	c := quarantine.Crash{Name: m.Engine, Target: m.Engine, At: now}
	for _, b := range m.Fingerprints {
		var f quarantine.Fingerprint
		if copy(f[:], b) == len(f) {
			c.InFlight = append(c.InFlight, f)
		}
	}
	t.list.Add(c)
	t.known[m.Engine] = now
	t.log.Event(event.CrashKnown).Str("target", m.Engine).Str("source", source).Int("in_flight", len(c.InFlight)).Send()
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
		if now.Sub(at) > breakRetention {
			delete(t.alive, incarnation)
		}
	}
	for key, at := range t.copies {
		if now.Sub(at) > breakRetention {
			delete(t.copies, key)
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
		for f, b := range calls {
			if now.Sub(b.at) > breakRetention {
				delete(calls, f)
			}
		}
		if len(calls) == 0 {
			delete(t.broken, incarnation)
		}
	}
}
