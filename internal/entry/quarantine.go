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

// maxCrashes is the number of targets that may crash with a request in flight
// before it is not tried again.
const maxCrashes = 2

// Suspects judges requests by the crashes of targets.
type Suspects interface {
	Judge(now time.Time, r quarantine.Request) (quarantine.Verdict, []string)
	Clear(now time.Time, r quarantine.Request)
}

// quarantineFilter refuses requests that crash the targets that run them.
type quarantineFilter struct {
	suspects Suspects
}

// Filter implements Filter.
func (f quarantineFilter) Filter(ctx context.Context, c *Call, now time.Time, next Handler) Result {
	verdict, targets := f.suspects.Judge(now, fingerprinted(c))
	switch verdict {
	case quarantine.Convicted:
		return refuseConvicted(c)
	case quarantine.Suspect:
		c.Suspect = true
		c.CrashedOn = targets
	}
	result := next.Handle(ctx, c, now)
	if c.Suspect && result.Outcome == outcome.Answered {
		f.suspects.Clear(time.Now(), fingerprinted(c))
	}
	return result
}

// refuseConvicted refuses a request that is not run this time. A request with
// an idempotency key may be one that ran before, so it is not said not to have.
func refuseConvicted(c *Call) Result {
	result := rejected(outcome.Quarantined, "the request crashed the targets that ran it")
	if c.IdempotencyKey != "" {
		result.Outcome = outcome.Unknown
	}
	return result
}

func fingerprinted(c *Call) quarantine.Request {
	return quarantine.Request{
		Team:    c.Team.Name,
		Adapter: c.Adapter.String(),
		Path:    c.TargetPath,
		Body:    c.TargetBody,
	}
}

// noteCrash records a target that crashed with c in flight, alone or with its
// targetd, and returns the result, which forbids further runs after maxCrashes.
func noteCrash(c *Call, name string, result Result) Result {
	if result.Outcome != outcome.Unknown || (result.Reason != outcome.EngineCrashed && result.Reason != outcome.TargetLost) {
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

// trialKey returns the placement key of a suspect. All entries send a suspect
// to the same target, which runs one suspect at a time, so that it can't crash
// several at once.
func trialKey(c *Call) uint64 {
	f := quarantine.Of(fingerprinted(c))
	return placement.Hash(string(f[:]))
}

// chooseForTrial returns the target that runs a suspect. The choice depends on
// nothing that differs between entries but on what can't be reached.
func (v *routeView) chooseForTrial(c *Call, now time.Time, tried map[string]bool) (target.Target, placement.Reason, bool) {
	candidates := make([]placement.Candidate, len(v.targets))
	for i, t := range v.targets {
		candidates[i] = placement.Candidate{
			Hash:     placement.Hash(t.Name),
			Slots:    t.Slots,
			Tried:    tried[t.Name] || !v.links[i].usable(now),
			Borrowed: t.Team != c.Owner,
		}
	}
	i, ok := placement.Choose(trialKey(c), candidates, "")
	if !ok {
		return target.Target{}, placement.ReasonHome, false
	}
	return v.targets[i], placement.ReasonHome, true
}

// avoid returns tried with the targets that c has crashed.
func avoid(c *Call, tried map[string]bool) map[string]bool {
	out := map[string]bool{}
	for name := range tried {
		out[name] = true
	}
	for _, name := range c.CrashedOn {
		out[name] = true
	}
	return out
}
