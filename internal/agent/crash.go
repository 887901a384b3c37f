package agent

import (
	"context"
	"strconv"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/quarantine"
)

// Timeouts and intervals of crash handling.
const (
	crashSettleDelay    = 100 * time.Millisecond // within which all runs of a crashed engine are interrupted
	diagnoseTimeout     = time.Second            // for a state report from the engine
	recordTimeout       = time.Second            // for recording a crash before the outcome is reported to callers
	recordRetryInterval = 2 * time.Second        // between further attempts to record a crash
	localSuspectPeriod  = 5 * time.Second        // for which this targetd refuses requests that were in flight at its engine's crash; all entryds read the crash record within it
)

// CrashRecorder records the crashes of targets where all entryds can read them.
type CrashRecorder interface {
	// Record stores c. It may be repeated for the same crash after an error.
	Record(ctx context.Context, c quarantine.Crash) error
}

// crashDiagnosis is the event loop's state of the detection of engine crashes.
// While a diagnosis is pending, no request starts, and refusals that a crash may
// have caused are held.
type crashDiagnosis struct {
	interrupted  []*attempt // runs interrupted together, cause not known yet
	recording    int        // crashes that are being recorded
	heldRefusals []heldRefusal
	suspects     map[quarantine.Fingerprint]time.Time // in flight at a crash here, by the end of their local suspect period
}

// heldRefusal is a refusal that is held until the diagnosis ends.
type heldRefusal struct {
	attempt *attempt
	reason  outcome.Reason
}

// pending reports whether a cause is not known or a crash not recorded yet.
func (d *crashDiagnosis) pending() bool { return len(d.interrupted) > 0 || d.recording > 0 }

// endInterrupted ends an attempt whose run was interrupted. It returns once the
// cause is known and the answer has been ended. A crash is recorded first, or its
// recording is retried in the background. Without crash detection, that is for a
// plain service or without a CrashRecorder, it ends the answer immediately.
func (a *Agent) endInterrupted(at *attempt) {
	if a.opts.PlainService || a.opts.Crashes == nil {
		at.answer.end(time.Now(), outcome.Unknown, outcome.EngineFailed)
		return
	}
	a.postAndWait(at, runInterrupted{attempt: at})
}

// postAndWait posts an event and waits until the attempt's answer has been ended
// or the agent has stopped.
func (a *Agent) postAndWait(at *attempt, e loopEvent) {
	at.ended = make(chan struct{})
	if !a.post(e) {
		return
	}
	select {
	case <-at.ended:
	case <-a.done:
	}
}

// runInterrupted is the event of a run that failed after the engine may have
// started it.
type runInterrupted struct{ attempt *attempt }

func (e runInterrupted) apply(ctx context.Context, a *Agent, _ time.Time) {
	a.crashDiagnosis.interrupted = append(a.crashDiagnosis.interrupted, e.attempt)
	if len(a.crashDiagnosis.interrupted) > 1 {
		return // a diagnosis is in progress
	}
	bootID := e.attempt.bootID
	go func() {
		crashed := a.engineCrashed(ctx, bootID)
		a.post(diagnosisEnded{bootID: bootID, crashed: crashed})
	}()
}

// engineCrashed reports whether the engine has gone down or restarted since the
// boot with the given ID. An engine that sends no state report within
// diagnoseTimeout counts as crashed. A bootID of zero is unknown and matches any.
func (a *Agent) engineCrashed(ctx context.Context, bootID uint64) bool {
	time.Sleep(crashSettleDelay)
	ctx, cancel := context.WithTimeout(ctx, diagnoseTimeout)
	defer cancel()
	s, err := a.opts.Engine.State(ctx)
	return err != nil || (bootID != 0 && s.BootID != bootID)
}

// diagnosisEnded is the event of a completed diagnosis of interrupted runs.
type diagnosisEnded struct {
	bootID  uint64 // boot ID of the engine that ran them
	crashed bool
}

func (e diagnosisEnded) apply(ctx context.Context, a *Agent, now time.Time) {
	interrupted := a.crashDiagnosis.interrupted
	a.crashDiagnosis.interrupted = nil
	if !e.crashed {
		endAll(interrupted, outcome.EngineFailed)
		a.sendHeldRefusals()
		return
	}
	crash := quarantine.Crash{
		Name:   a.opts.Self.Name + "-" + strconv.FormatUint(a.opts.Self.Epoch, 10) + "-" + strconv.FormatUint(e.bootID, 10),
		Target: a.opts.Self.Name,
		At:     now,
	}
	for _, at := range interrupted {
		f := fingerprintOf(at.submit)
		crash.InFlight = append(crash.InFlight, f)
		a.crashDiagnosis.suspects[f] = now.Add(localSuspectPeriod)
	}
	a.opts.Log.Event(event.EngineCrashed).Str("crash", crash.Name).Int("in_flight", len(interrupted)).Send()
	a.crashDiagnosis.recording++
	a.refuseWaitingSuspects(now)
	go func() {
		if err := a.recordCrash(ctx, crash); err != nil {
			go a.retryRecordCrash(ctx, crash)
		}
		a.post(crashRecorded{interrupted: interrupted})
	}()
}

// crashRecorded is the event of a crash that has been recorded or whose recording
// is retried in the background.
type crashRecorded struct{ interrupted []*attempt }

func (e crashRecorded) apply(_ context.Context, a *Agent, now time.Time) {
	a.crashDiagnosis.recording--
	endAll(e.interrupted, outcome.EngineCrashed)
	a.sendHeldRefusals()
}

// endAll ends the answers of interrupted runs with an unknown outcome.
func endAll(attempts []*attempt, reason outcome.Reason) {
	for _, at := range attempts {
		at.answer.end(time.Now(), outcome.Unknown, reason)
		close(at.ended)
	}
}

// refuseWaitingSuspects refuses the queued attempts at requests that were in
// flight at a crash here, so that their senders treat them as suspects.
func (a *Agent) refuseWaitingSuspects(now time.Time) {
	for key, at := range a.attempts {
		if a.isLocalSuspect(now, at) && a.dispatcher.Withdraw(key) {
			a.refuse(at, outcome.EngineCrashed)
		}
	}
}

// isLocalSuspect reports whether a request with the fingerprint of at was in
// flight at a crash here within localSuspectPeriod.
func (a *Agent) isLocalSuspect(now time.Time, at *attempt) bool {
	if len(a.crashDiagnosis.suspects) == 0 {
		return false
	}
	return now.Before(a.crashDiagnosis.suspects[fingerprintOf(at.submit)])
}

// holdRefusal holds a refusal that a crash may have caused while a diagnosis is
// pending, and reports whether it did.
func (a *Agent) holdRefusal(at *attempt, reason outcome.Reason) bool {
	if !mayFollowCrash(reason) || !a.crashDiagnosis.pending() {
		return false
	}
	a.crashDiagnosis.heldRefusals = append(a.crashDiagnosis.heldRefusals, heldRefusal{attempt: at, reason: reason})
	return true
}

// mayFollowCrash reports whether a crash may have caused a refusal for reason.
func mayFollowCrash(reason outcome.Reason) bool {
	return reason == outcome.EngineFailed || reason == outcome.LoadFailed || reason == outcome.EngineCrashed
}

// crashReason returns outcome.EngineCrashed if a crash may have caused reason and
// at is a local suspect, and reason otherwise.
func (a *Agent) crashReason(now time.Time, at *attempt, reason outcome.Reason) outcome.Reason {
	if mayFollowCrash(reason) && a.isLocalSuspect(now, at) {
		return outcome.EngineCrashed
	}
	return reason
}

// sendHeldRefusals sends the held refusals, unless a diagnosis is pending.
func (a *Agent) sendHeldRefusals() {
	if a.crashDiagnosis.pending() {
		return
	}
	heldRefusals := a.crashDiagnosis.heldRefusals
	a.crashDiagnosis.heldRefusals = nil
	for _, r := range heldRefusals {
		a.refuse(r.attempt, r.reason)
	}
}

// recordCrash records a crash once, with a timeout of recordTimeout.
func (a *Agent) recordCrash(ctx context.Context, crash quarantine.Crash) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := a.opts.Crashes.Record(ctx, crash)
	if err != nil {
		a.opts.Log.Event(event.StoreUnavailable).Str("purpose", "crash").Err(err).Send()
	}
	return err
}

// retryRecordCrash retries to record a crash until it succeeds or the crash is
// older than quarantine.ConvictedFor and has no effect any more.
func (a *Agent) retryRecordCrash(ctx context.Context, crash quarantine.Crash) {
	for time.Since(crash.At) < quarantine.ConvictedFor {
		select {
		case <-time.After(recordRetryInterval):
		case <-ctx.Done():
			return
		}
		if a.recordCrash(ctx, crash) == nil {
			return
		}
	}
}

func fingerprintOf(s peer.Submit) quarantine.Fingerprint {
	return quarantine.FingerprintOf(quarantine.Request{
		Team:    s.Team,
		Adapter: s.Adapter.String(),
		Path:    s.Path,
		Body:    s.Body,
	})
}
