package gateway

import (
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/streams"
	"github.com/borageusher/borageusher/pkg/target"
)

// entryLatency is the time beyond a watch and the pause after it in which the entries of the
// targets are known to be up to date: that of two calls of the store.
const entryLatency = time.Second

// stateQuestion is the key of a stream that no process knows. A targetd answers the request
// for its origin after all that it sent before.
const stateQuestion streams.Key = 0

// restartReportDelay is the time within which a targetd reports that its engine has
// started again: its polling interval of 100 ms and the latency between regions.
const restartReportDelay = 300 * time.Millisecond

// reasonVersionGone is the reason of a call that continues a stream while no target has
// the version that began it.
const reasonVersionGone = "version_gone"

// beginVersion records the version at which the call's stream begins. version is that of
// the target when the request was sent.
func (f *Fleet) beginVersion(now time.Time, c *call, t *targetState, version string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// Else it is not known which start of the target responds.
	if f.versionOf(now, t) == version && f.confirmsStart(t) {
		c.softwareVersion = version
	}
}

// suits reports whether a target may be sent the call at all, whatever its state: it is of
// the call's service, has not run the call, and has the version at which the call's stream
// began. The caller holds mu.
func (f *Fleet) suits(now time.Time, c *call, t *targetState) bool {
	if !c.mayGoTo(t) {
		return false
	}
	return !c.continues() || (c.softwareVersion != "" && !f.inDoubt(c) && f.versionOf(now, t) == c.softwareVersion)
}

// inDoubt reports whether the origin of the stream that the call itself began is in doubt. The
// caller holds mu.
func (f *Fleet) inDoubt(c *call) bool {
	if c.takesUp() {
		return false
	}
	s := f.origins.own[streams.KeyOf(c.streamID())]
	return s != nil && s.inDoubt()
}

// mayGoTo reports whether a target is of the call's service and has not run the call.
func (c *call) mayGoTo(t *targetState) bool {
	return t.replica.Service == c.service && !c.tried[t.replica.ID]
}

// stillSuits reports whether the selected target may be sent the call right now: it suits,
// and still serves if it leaves.
func (f *Fleet) stillSuits(now time.Time, c *call, sel selection) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.suits(now, c, sel.target) && (!sel.leaving || sel.target.servesWhileLeaving(now))
}

// hasVersionOf reports whether a target of the service that serves has the version at which
// the call's stream began.
func (f *Fleet) hasVersionOf(now time.Time, c *call) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		serves := t.replica.State == target.Live || t.servesWhileLeaving(now)
		if serves && t.replica.Service == c.service && t.replica.Version == c.softwareVersion {
			return true
		}
	}
	return false
}

// softwareVersion does what versionOf does.
func (f *Fleet) softwareVersion(now time.Time, t *targetState) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versionOf(now, t)
}

// versionOf returns the version of the software that responds to requests to t now, empty
// if it is not known. A target may start again with another version under its id, so that
// the id in a request does not tell. Of an engine it is known while its targetd reports
// the start that is in its entry, of other targets while the entries are up to date and their
// connections are not interrupted. The caller holds mu.
func (f *Fleet) versionOf(now time.Time, t *targetState) string {
	if current := f.targets[t.replica.ID]; current != nil && current != t {
		return ""
	}
	hasTargetd := t.hasTargetd()
	refused := !t.refusedConnAt.IsZero()
	switch {
	case !hasTargetd && refused && now.Sub(t.refusedConnAt) < confirmTime:
		return ""
	case !hasTargetd && (f.entriesOutdated(now) || f.interrupted(now, t)):
		return ""
	case hasTargetd && !t.reportsStart(now):
		return ""
	case hasTargetd && refused && t.lastMessageAt.Sub(t.refusedConnAt) < restartReportDelay:
		return ""
	}
	return t.replica.Version
}

// hasTargetd reports whether a targetd reports the start of the target.
func (t *targetState) hasTargetd() bool { return t.closeConn != nil || t.conn != nil }

// reportsStart reports whether the targetd of an engine is heard of, and has reported the
// start of the engine that is in its entry, as far as both name one.
func (t *targetState) reportsStart(now time.Time) bool {
	if t.conn == nil || !t.stateOfConn || t.stateAsked || t.targetdSilent(now) || !t.state.Reachable {
		return false
	}
	started := t.replica.Incarnation().Started
	return t.state.Started == started || t.state.Started == 0 || started <= 0
}

// entriesOutdated reports whether the targets' entries have not been read for longer than it
// normally takes, as after a pause of this process or a cut from the store. The caller holds
// mu.
func (f *Fleet) entriesOutdated(now time.Time) bool {
	return !f.entriesAsOf.IsZero() && now.Sub(f.entriesAsOf) > f.drainTime+entryLatency
}

// confirmState asks the targetd of t whether the engine's state is still the one that it
// reported, if a message arrives after a silence: it may have been sent before a restart of
// the engine whose report is on its way. The caller holds mu.
func (f *Fleet) confirmState(now time.Time, t *targetState) {
	if !t.targetdSilent(now) || !t.keepsOrigins() {
		return
	}
	if _, err := t.conn.Send(peer.OriginRequest{Stream: uint64(stateQuestion)}); err == nil {
		t.stateAsked = true
	}
}

// recordConfirmedState records that the targetd has reported the engine's state anew if it
// changed.
func (f *Fleet) recordConfirmedState(t *targetState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.stateAsked = false
	f.notifyAll()
}

// recordRefusedConn records that a target refused a connection: its process has ended, and
// may start again with another version.
func (f *Fleet) recordRefusedConn(now time.Time, t *targetState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.refusedConnAt = now
}
