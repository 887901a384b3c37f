package entry

import (
	"context"
	"slices"
	"time"

	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/placement"
	"github.com/borageusher/borageusher/pkg/quarantine"
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
		return rejected(outcome.Quarantined, "the request crashed the targets that ran it")
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

func fingerprinted(c *Call) quarantine.Request {
	return quarantine.Request{
		Team:    c.Team.Name,
		Adapter: c.Adapter.String(),
		Path:    c.TargetPath,
		Body:    c.TargetBody,
	}
}

// noteCrash records that a target crashed with c in flight and reports whether
// c must not run again.
func noteCrash(c *Call, name string) bool {
	c.Suspect = true
	if !slices.Contains(c.CrashedOn, name) {
		c.CrashedOn = append(c.CrashedOn, name)
	}
	return len(c.CrashedOn) >= maxCrashes
}

// trialKey returns the placement key of a suspect. All entries send a suspect
// to the same target, which runs one suspect at a time, so that it can't crash
// several at once.
func trialKey(c *Call) uint64 {
	f := quarantine.Of(fingerprinted(c))
	return placement.Hash(string(f[:]))
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
