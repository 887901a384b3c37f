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

// Times of a crash.
const (
	crashSettle  = 100 * time.Millisecond // in which all runs of a crashed engine break off
	diagnoseTime = time.Second            // for the engine to say that it lives
	recordTime   = time.Second            // for the object API to take a crash before callers hear of it
	recordPause  = 2 * time.Second        // between further attempts to record it
)

// Crashes keeps the crashes of targets where all entryds see them.
type Crashes interface {
	Record(ctx context.Context, c quarantine.Crash) error
}

// breakOff ends an attempt whose run broke off. It returns once the cause is
// known and the sender was told; a crash is recorded before.
func (a *Agent) breakOff(at *attempt) {
	if a.opts.PlainService || a.opts.Crashes == nil {
		at.answer.end(time.Now(), outcome.Unknown, outcome.EngineFailed)
		return
	}
	at.brokeOff = make(chan struct{})
	if !a.post(brokeOff{attempt: at}) {
		return
	}
	select {
	case <-at.brokeOff:
	case <-a.done:
	}
}

// brokeOff: the run of an attempt broke off.
type brokeOff struct{ attempt *attempt }

func (e brokeOff) apply(ctx context.Context, a *Agent, _ time.Time) {
	a.broken = append(a.broken, e.attempt)
	if len(a.broken) > 1 {
		return // the diagnosis has begun
	}
	boot := e.attempt.boot
	go func() {
		crashed := a.engineCrashed(ctx, boot)
		a.post(diagnosed{boot: boot, crashed: crashed})
	}()
}

// engineCrashed reports whether the engine is no longer the one of boot.
func (a *Agent) engineCrashed(ctx context.Context, boot uint64) bool {
	time.Sleep(crashSettle)
	ctx, cancel := context.WithTimeout(ctx, diagnoseTime)
	defer cancel()
	s, err := a.opts.Engine.State(ctx)
	return err != nil || (boot != 0 && s.Boot != boot)
}

// diagnosed: it is known why attempts broke off.
type diagnosed struct {
	boot    uint64 // of the engine that ran them
	crashed bool
}

func (e diagnosed) apply(ctx context.Context, a *Agent, now time.Time) {
	broken := a.broken
	a.broken = nil
	if !e.crashed {
		endAll(broken, outcome.EngineFailed)
		return
	}
	crash := quarantine.Crash{
		Name:   a.opts.Self.Name + "-" + strconv.FormatUint(a.opts.Self.Epoch, 10) + "-" + strconv.FormatUint(e.boot, 10),
		Target: a.opts.Self.Name,
		At:     now,
	}
	for _, at := range broken {
		crash.InFlight = append(crash.InFlight, fingerprintOf(at.submit))
	}
	a.opts.Log.At(event.EngineCrashed).Str("crash", crash.Name).Int("in_flight", len(broken)).Send()
	go func() {
		if err := a.recordCrash(ctx, crash); err != nil {
			go a.keepRecording(ctx, crash)
		}
		endAll(broken, outcome.EngineCrashed)
	}()
}

func endAll(attempts []*attempt, reason outcome.Reason) {
	for _, at := range attempts {
		at.answer.end(time.Now(), outcome.Unknown, reason)
		close(at.brokeOff)
	}
}

func (a *Agent) recordCrash(ctx context.Context, crash quarantine.Crash) error {
	ctx, cancel := context.WithTimeout(ctx, recordTime)
	defer cancel()
	err := a.opts.Crashes.Record(ctx, crash)
	if err != nil {
		a.opts.Log.At(event.StoreUnavailable).Str("purpose", "crash").Err(err).Send()
	}
	return err
}

// keepRecording tries to record a crash until it is recorded or means nothing
// any more.
func (a *Agent) keepRecording(ctx context.Context, crash quarantine.Crash) {
	for time.Since(crash.At) < quarantine.ConvictedFor {
		select {
		case <-time.After(recordPause):
		case <-ctx.Done():
			return
		}
		if a.recordCrash(ctx, crash) == nil {
			return
		}
	}
}

func fingerprintOf(s peer.Submit) quarantine.Fingerprint {
	return quarantine.Of(quarantine.Request{
		Team:    s.Team,
		Adapter: s.Adapter.String(),
		Path:    s.Path,
		Body:    s.Body,
	})
}
