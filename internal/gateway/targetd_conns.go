package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"

	"github.com/borageusher/borageusher/internal/credit"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/streams"
)

// usageInterval is the interval of the usage reports to a targetd and of the runs of
// cancelStalled.
const usageInterval = 250 * time.Millisecond

// maxRedialDelay is the longest delay between two attempts to connect to a
// targetd: its engine can't be ordered to load anything while disconnected.
const maxRedialDelay = 500 * time.Millisecond

// targetdConns maintains a connection to the targetd beside each engine.
type targetdConns struct {
	ctx              context.Context
	fleet            *Fleet
	dialer           *peer.Dialer
	port             uint16 // of all targetds
	log              event.Log
	onEngineDown     func(now time.Time, incarnation string) // called when that incarnation of a target crashed
	onCrashReport    func(time.Time, peer.CrashReport)
	onSegmentCrash   func(time.Time, peer.SegmentCrash)
	onSegmentAnswers func(time.Time, peer.SegmentAnswers)
	credit           *credit.Accounts // nil to request no credit
	onConfirmation   func(peer.ConfirmationAnswer)
}

// connect starts to maintain the connection to the targetd of t, unless it is
// already started or the service has no engine. The caller holds the fleet's mu.
func (tc *targetdConns) connect(t *targetState) {
	if tc.fleet.cfg == nil || tc.fleet.cfg.Services[t.replica.Service].Engine == nil || t.closeConn != nil {
		return
	}
	ctx, cancel := context.WithCancel(tc.ctx)
	t.closeConn = cancel
	addr := netip.AddrPortFrom(t.replica.Addr.Addr(), tc.port)
	go tc.run(ctx, t, t.replica.ID, addr)
}

// run connects to the targetd with backoff until ctx is done.
func (tc *targetdConns) run(ctx context.Context, t *targetState, id string, addr netip.AddrPort) {
	for failures := 0; ctx.Err() == nil; failures++ {
		c, err := tc.dialer.Dial(ctx, addr)
		if err == nil {
			failures = 0
			err = tc.serve(ctx, t, id, c)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			tc.fleet.recordVMAlive(time.Now(), t) // the VM runs, but its targetd does not
		}
		if failures < 2 { // further failures of the same outage are not logged
			tc.log.Event(event.PeerLost).Str("target", id).Stringer("address", addr).Err(err).Send()
		}
		select {
		case <-time.After(min(maxRedialDelay, peer.Backoff(failures, rand.Float64()))):
		case <-ctx.Done():
		}
	}
}

// serve sends the engine's spec over c and handles the targetd's messages until
// the connection ends. It returns why it ended.
func (tc *targetdConns) serve(ctx context.Context, t *targetState, id string, c *peer.Conn) error {
	incarnation := t.incarnation
	tc.log.Event(event.PeerConnected).Str("target", id).Str("peer", c.Remote().Name).Send()
	f := tc.fleet
	f.mu.Lock()
	t.conn, t.stateOfConn, t.stateAsked = c, false, false
	f.moveHolders(nil)
	f.sendOutstandingOrders(time.Now(), t)
	f.sendEngineSpec(t)
	f.sendUnsentCrashes()
	f.mu.Unlock()
	tc.checkIssuers()
	err := c.Run(ctx, func() peer.Heartbeat { return peer.Heartbeat{Active: true} }, func(m peer.Message) {
		now := time.Now()
		f.recordMessage(now, t)
		switch m := m.(type) {
		case peer.EngineState:
			if f.applyEngineState(now, t, m) {
				tc.onEngineDown(now, incarnation)
			}
		case peer.EngineLoad:
			f.applyEngineLoad(now, t, m)
		case peer.Pacing:
			f.applyPacing(now, t)
		case peer.PromptAnswer:
			f.applyPromptAnswer(now, t, m)
		case peer.RateLimit:
			f.applyRateLimit(now, m)
		case peer.PermitAnswer:
			f.applyPermitAnswer(t, m)
		case peer.OriginAnswer:
			if streams.Key(m.Stream) == stateQuestion {
				f.recordConfirmedState(t)
				break
			}
			f.applyOriginAnswer(now, c, m)
		case peer.CreditAnswer:
			tc.applyCredit(m)
		case peer.ConfirmationAnswer:
			tc.onConfirmation(m)
		case peer.OutstandingOrders:
			f.recordOutstandingOrders(now, m)
		case peer.CrashReport:
			tc.onCrashReport(now, m)
		case peer.SegmentCrash:
			tc.onSegmentCrash(now, m)
		case peer.SegmentAnswers:
			tc.onSegmentAnswers(now, m)
		}
		f.confirmStart(now, t)
	})
	f.mu.Lock()
	t.conn = nil
	if c.KeepsOrigins() {
		t.originsLostAt = time.Now()
	}
	f.moveHolders(c)
	t.endPacing()
	t.endPermitRequests()
	f.notifyAll()
	f.mu.Unlock()
	tc.checkIssuers()
	return err
}

// applyCredit passes the credit that a targetd granted on.
func (tc *targetdConns) applyCredit(m peer.CreditAnswer) {
	if tc.credit != nil {
		tc.credit.Apply(m)
	}
}

// checkIssuers chooses the issuers of credit again after a targetd was connected or lost.
func (tc *targetdConns) checkIssuers() {
	if tc.credit != nil {
		tc.credit.CheckIssuers()
	}
}

// recordMessage records the receipt of a message from a targetd.
func (f *Fleet) recordMessage(now time.Time, t *targetState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmState(now, t)
	t.lastMessageAt, t.vmAliveAt = now, now
}

// sendOutstandingOrders sends a targetd the orders that its engine may still execute, as far
// as they were reported here. The targetd gets them before the spec, without which it sends no
// orders. The caller holds mu.
func (f *Fleet) sendOutstandingOrders(now time.Time, t *targetState) {
	if t.conn.KeepsOrders() {
		id := t.replica.ID
		_, _ = t.conn.Send(peer.OutstandingOrders{Instance: id, Orders: f.outstanding.Orders(now, id)}) // everything is sent again after a reconnect
	}
}

// recordOutstandingOrders keeps the outstanding orders that a targetd reported.
func (f *Fleet) recordOutstandingOrders(now time.Time, m peer.OutstandingOrders) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outstanding.Add(now, m.Instance, m.Orders...)
}

// applyEngineLoad applies a targetd's report on its engine's load.
func (f *Fleet) applyEngineLoad(now time.Time, t *targetState, m peer.EngineLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.missingAdapters, t.slotsPinned = m.MissingAdapters, m.Full
	if requests := m.Running + m.Queued; requests != t.reportedRequests { // else the report may be old
		t.reportedRequests = requests
		t.recordReport(now)
	}
	t.observeLoad(now, Load{Running: m.Running, Waiting: m.Queued, Slots: t.replica.Slots})
}

// applyEngineState applies a targetd's report on its engine's state, and reports
// whether the engine crashed: it stopped or restarted without having reported that
// it was departing.
func (f *Fleet) applyEngineState(now time.Time, t *targetState, s peer.EngineState) (crashed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeLoadTimes(now, t, s)
	crashed = t.engineCrashed(s)
	if s.Started != t.state.Started {
		f.retractUnconfirmed(now, t)
	}
	arrived, changed := f.applyState(now, t, s)
	f.observeStart(now, t, s)
	t.recordReport(now)
	if s.Departing && s.Started == t.replica.Incarnation().Started {
		f.recordLeaving(now, t, "targetd")
	}
	for _, a := range arrived {
		f.notify(a)
	}
	if changed {
		f.notifyAll()
	}
	return crashed
}

// applyState does what targetState.applyState does, and updates the index. The caller
// holds mu.
func (f *Fleet) applyState(now time.Time, t *targetState, s peer.EngineState) (arrived []orders.Adapter, changed bool) {
	models, resident, loading := t.state.Models, t.resident, t.loading
	if s.Started != t.state.Started {
		t.cache.Reset()
	}
	arrived, changed, evicted := t.applyState(now, s)
	if f.targets[t.replica.ID] != t {
		return arrived, changed
	}
	x := f.indexOf(t.replica.Service)
	x.setModels(t, models, s.Models)
	for a, version := range resident {
		if _, ok := t.resident[a]; !ok {
			x.update(t, a)
			t.cache.Drop(promptRoot(a, version))
			t.cache.Drop(promptRoot(a, f.version(a)))
		}
	}
	for a := range t.resident {
		if _, ok := resident[a]; !ok {
			x.update(t, a)
		}
	}
	for a := range loading {
		if !t.loading[a] {
			x.update(t, a)
		}
	}
	for a := range t.loading {
		if !loading[a] {
			x.update(t, a)
		}
	}
	for _, a := range evicted {
		x.update(t, a)
	}
	return arrived, changed
}

// observeLoadTimes records how long the adapters that became resident took to
// load since they were requested. The caller holds mu.
func (f *Fleet) observeLoadTimes(now time.Time, t *targetState, s peer.EngineState) {
	for _, a := range s.Resident {
		key := orders.Adapter{Model: a.Model, Name: a.Adapter}
		if !t.loading[key] {
			continue
		}
		if requestedAt, ok := t.loadRequestedAt[key]; ok && !t.recent.hasVersion(key, a.Version) {
			t.loadTime.Observe(now.Sub(requestedAt))
			delete(t.loadRequestedAt, key)
		}
	}
}

// broadcast sends m to up to crashReportFanout targetds, which forward it to all
// entryds. A report of a crash that can't be sent is kept until a targetd is connected.
func (f *Fleet) broadcast(m peer.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if report, ok := m.(peer.CrashReport); !f.sendToSome(m) && ok && len(f.unsentCrashes) < maxUnsentCrashes {
		f.unsentCrashes = append(f.unsentCrashes, report)
	}
}

// sendUnsentCrashes sends the reports of crashes that could not be sent before. The caller
// holds mu.
func (f *Fleet) sendUnsentCrashes() {
	reports := f.unsentCrashes
	f.unsentCrashes = nil
	for i, m := range reports {
		if !f.sendToSome(m) {
			f.unsentCrashes = reports[i:]
			return
		}
	}
}

// sendToSome sends m to up to crashReportFanout targetds, and reports whether there was
// any. The caller holds mu.
func (f *Fleet) sendToSome(m peer.Message) bool {
	sent := 0
	for _, t := range f.connectedVMs() {
		if sent == crashReportFanout {
			break
		}
		if _, err := t.conn.Send(m); err == nil {
			sent++
		}
	}
	return sent > 0
}

// connectedVMs returns one target with a connected targetd on each VM. Several targets
// have the same targetd if several entries name its VM's address. The caller holds mu.
func (f *Fleet) connectedVMs() []*targetState {
	seen := map[netip.Addr]bool{}
	var found []*targetState
	for _, t := range f.targets {
		if vm := t.replica.Addr.Addr(); t.conn != nil && !seen[vm] {
			seen[vm] = true
			found = append(found, t)
		}
	}
	return found
}

// crashReportFanout is the number of targetds that receive a crash report. If
// two are lost at once, one still forwards it to the other entryds.
const crashReportFanout = 3

// maxUnsentCrashes bounds the reports that are kept while no targetd is connected, as the
// crashes that a targetd keeps.
const maxUnsentCrashes = 200
