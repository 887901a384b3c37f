package gateway

import (
	"fmt"
	"strings"
	"time"

	"github.com/borageusher/borageusher/pkg/assignment"
)

var distanceNames = map[assignment.Distance]string{
	assignment.SameZone:    "zone",
	assignment.SameRegion:  "region",
	assignment.OtherRegion: "other_region",
}

// explanationText returns an explanation for operators. Times are in milliseconds.
func explanationText(x Explanation) string {
	var b strings.Builder
	line := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(&b, "%-12s "+format+"\n", append([]any{name}, args...)...)
	}
	switch {
	case x.Status != 0:
		line("result", "reject: status %d, reason %s, Retry-After %.2f s", x.Status, x.Reason, x.RetryAfter.Seconds())
	case x.Reason != "":
		line("result", "%s: %s", x.Next, x.Reason)
	default:
		line("result", "%s", x.Next)
	}
	if x.Choice != "" && x.Next != nextReject {
		line("target", "%s, expected wait %s ms%s", x.Choice, ms(x.Wait), x.chosenText())
	}
	if x.LoadAt != "" {
		line("load", "would be requested at %s", x.LoadAt)
	}
	if x.Route == "" {
		line("route", "none, configuration %d", x.Revision)
		return b.String()
	}
	line("route", "%s, %s, urgency %d, objective %s ms, timeout %s ms, configuration %d", x.Route, x.Kind, x.Urgency, ms(x.Objective), ms(x.Timeout), x.Revision)
	line("caller", "%s", x.callerText())
	line("quota", "%s", x.Quota.text())
	if x.Choice != "" {
		line("order", "%s", x.orderText())
	}
	if x.Service != "" {
		line("service", "%s%s", x.Service, x.sharesText())
	}
	if x.Model != "" {
		line("adapter", "%s/%s, announced version %d", x.Model, x.Adapter, x.AdapterVersion)
	}
	for _, u := range x.Unchecked {
		line("unchecked", "%s", u)
	}
	if len(x.Candidates) > 0 {
		b.WriteString(x.candidatesText())
	}
	return b.String()
}

func (x *Explanation) chosenText() string {
	s := ""
	if x.NeedsPermit {
		s += fmt.Sprintf(", after a permit in %s ms", ms(x.PermitDelay))
	}
	if x.OffersPrompt {
		s += ", after its targetd is offered the prompt"
	}
	return s
}

// orderText returns what decides on the order of the request and its rejection under load.
func (x *Explanation) orderText() string {
	s := "no contention at the target"
	if x.Contended {
		s = "contention at the target"
	}
	if x.Standing != "" {
		s += ", standing of the workspace's share: " + x.Standing
	}
	if x.WaitLimit != 0 {
		s += fmt.Sprintf(", rejected beyond a wait of %s ms", ms(x.WaitLimit))
	}
	return s
}

func (x *Explanation) callerText() string {
	switch {
	case !x.NeedsKey:
		return "needs no key"
	case x.Workspace != "":
		return "identified, workspace " + x.Workspace
	case !x.HasKey:
		return "not identified, no valid key"
	}
	return "not identified"
}

func (q *QuotaExplanation) text() string {
	switch {
	case !q.Limited:
		return "none applies"
	case !q.Known:
		return fmt.Sprintf("%g units a second, cost %g, balance not known", q.PerSecond, q.Cost)
	case q.Admitted:
		return fmt.Sprintf("admits: cost %g, balance %.1f here, %g units a second in all", q.Cost, q.Balance, q.PerSecond)
	case q.Waits > 0:
		return fmt.Sprintf("waits up to %s ms for credit: cost %g, balance %.1f here, %g units a second in all", ms(q.Waits), q.Cost, q.Balance, q.PerSecond)
	}
	return fmt.Sprintf("rejects: cost %g, balance %.1f here, %g units a second in all", q.Cost, q.Balance, q.PerSecond)
}

// sharesText returns the shares of a route that leads to several services.
func (x *Explanation) sharesText() string {
	if len(x.Shares) < 2 {
		return ""
	}
	var parts []string
	for _, s := range x.Shares {
		parts = append(parts, fmt.Sprintf("%s %g", s.Service, s.Weight))
	}
	return ", one of " + strings.Join(parts, ", ") + " by weight"
}

func (x *Explanation) candidatesText() string {
	var b strings.Builder
	sample := ""
	if x.Sampled {
		sample = ", a random sample; a request gets another one"
	}
	if !x.Cautious {
		sample += "; all usable ones are avoided"
	}
	if x.Leaving {
		sample += "; no live one can go on with the request"
	}
	_, _ = fmt.Fprintf(&b, "\n%d of %d targets%s; cost = wait + slow + network + penalty + permit - cache, for a home wait + slow + penalty, in ms:\n", len(x.Candidates), x.Targets, sample)
	_, _ = fmt.Fprintf(&b, "  %-20s %-6s %8s %8s %6s %8s %8s %7s %7s %8s %7s %8s %6s  %s\n",
		"target", "use", "cost", "wait", "slow", "network", "penalty", "permit", "cache", "backlog", "load", "requests", "cached", "speed, distance, obstacle")
	for _, c := range x.Candidates {
		mark, t := " ", c.Terms
		if c.Target == x.Choice {
			mark = "*"
		}
		b.WriteString(strings.TrimRight(fmt.Sprintf("%s %-20s %-6s %8s %8s %6s %8s %8s %7s %7s %8s %7s %8s %6d  %.2f/%.2f %s %s\n",
			mark, c.Target, c.Use, ms(c.Cost), ms(t.Wait), ms(t.Extra), ms(t.Network), ms(t.Penalty), ms(t.Permit), ms(t.CacheSaving), ms(c.Backlog), ms(c.LoadDelay),
			fmt.Sprintf("%d/%d", c.Requests, c.Slots), c.CachedTokens, c.ReadFactor, c.WorkFactor, distanceNames[c.Distance], c.Obstacle), " \n") + "\n")
	}
	return b.String()
}

// ms returns a time in milliseconds.
func ms(d time.Duration) string { return fmt.Sprintf("%.1f", milliseconds(d)) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
