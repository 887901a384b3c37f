package entry

import (
	"context"
	"slices"
	"time"

	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/placement"
	"github.com/borageusher/borageusher/pkg/quarantine"
	"github.com/borageusher/borageusher/pkg/target"
)

// maxCrashes is the number of targets that crash while running a request after
// which it is not retried.
const maxCrashes = 2

// Suspects holds the crash records of requests. Classify returns the verdict on a
// request and the names of the targets that crashed while running it. Clear records
// that a suspect was answered, so that it is no longer one.
type Suspects interface {
	Classify(now time.Time, r quarantine.Request) (quarantine.Verdict, []string)
	Clear(now time.Time, r quarantine.Request)
}

// quarantineFilter rejects convicted requests, those that crash targets.
type quarantineFilter struct {
	suspects Suspects
}

// Filter implements Filter.
func (f quarantineFilter) Filter(ctx context.Context, c *Call, now time.Time, next Handler) Result {
	if result, ok := checkQuarantine(f.suspects, c, now); !ok {
		return result
	}
	result := next.Handle(ctx, c, now)
	if c.Suspect && result.Outcome == outcome.Answered {
		f.suspects.Clear(time.Now(), quarantineRequest(c))
	}
	return result
}

// checkQuarantine marks c as a suspect if it was in flight when a target crashed. If
// c must not run, it returns the result to respond with and false.
func checkQuarantine(s Suspects, c *Call, now time.Time) (Result, bool) {
	verdict, targets := s.Classify(now, quarantineRequest(c))
	switch verdict {
	case quarantine.Convicted:
		return quarantinedResult(c), false
	case quarantine.Suspect:
		c.Suspect = true
		for _, name := range targets {
			if !slices.Contains(c.CrashedOn, name) {
				c.CrashedOn = append(c.CrashedOn, name)
			}
		}
	}
	return Result{}, true
}

// quarantinedResult returns the result of a quarantined request. The outcome is
// unknown for a request with an idempotency key, because an earlier request with
// the same key may have run.
func quarantinedResult(c *Call) Result {
	result := rejected(outcome.Quarantined, "the request crashed the targets that ran it")
	if c.IdempotencyKey != "" {
		result.Outcome = outcome.Unknown
	}
	return result
}

// quarantineRequest returns the parts of c that identify it in crash records.
func quarantineRequest(c *Call) quarantine.Request {
	return quarantine.Request{
		Team:    c.Team.Name,
		Adapter: c.Adapter.String(),
		Path:    c.TargetPath,
		Body:    c.TargetBody,
	}
}

// recordCrash marks c as a suspect if result says that the named target's engine
// crashed or its targetd was lost while running c. It returns result, with reason
// Quarantined, which prevents further attempts, once maxCrashes targets crashed.
func recordCrash(c *Call, name string, result Result) Result {
	lost := result.Outcome == outcome.Unknown && result.Reason == outcome.TargetLost
	if result.Reason != outcome.EngineCrashed && !lost {
		return result
	}
	c.Suspect = true
	if !slices.Contains(c.CrashedOn, name) {
		c.CrashedOn = append(c.CrashedOn, name)
	}
	if len(c.CrashedOn) >= maxCrashes {
		result.Reason = outcome.Quarantined
	}
	return result
}

// suspectKey returns the placement key of a suspect, which is the same at all
// entryds. They therefore send a suspect to the same target, which runs one suspect
// at a time, so that a suspect can't crash several targets at once.
func suspectKey(c *Call) uint64 {
	f := quarantine.FingerprintOf(quarantineRequest(c))
	return placement.Hash(string(f[:]))
}

// chooseForSuspect returns the target for a suspect. The choice is the same at all
// entryds except for targets in tried or not usable from this one. It returns false
// if no target is left.
func (v *routeView) chooseForSuspect(c *Call, now time.Time, tried map[string]bool) (target.Target, placement.Reason, bool) {
	candidates := make([]placement.Candidate, len(v.targets))
	for i, t := range v.targets {
		candidates[i] = placement.Candidate{
			Hash:     placement.Hash(t.Name),
			Slots:    t.Slots,
			Tried:    tried[t.Name] || !v.links[i].usable(now),
			Borrowed: t.Team != c.Owner,
		}
	}
	i, ok := placement.Choose(suspectKey(c), candidates, "")
	if !ok {
		return target.Target{}, placement.ReasonHome, false
	}
	return v.targets[i], placement.ReasonHome, true
}

// excludeCrashed returns the union of tried and the targets that crashed while running
// c.
func excludeCrashed(c *Call, tried map[string]bool) map[string]bool {
	out := map[string]bool{}
	for name := range tried {
		out[name] = true
	}
	for _, name := range c.CrashedOn {
		out[name] = true
	}
	return out
}
