package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/borageusher/borageusher/pkg/assignment"
)

// explainChoice explains the choice of a target for a call, among a sample of many targets or
// among all.
func (f *Fleet) explainChoice(now time.Time, x *Explanation, c *call, sample bool) (selection, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.services[c.service]; s != nil {
		x.Targets = len(s.all.targets)
	}
	x.AdapterVersion = f.version(c.adapter)
	d := f.decide(now, c, sample, false)
	x.Choice, x.NeedsPermit, x.OffersPrompt = "", false, false // of an earlier choice
	x.Sampled, x.Cautious, x.Leaving = d.sampled, d.tier != tierAny, d.ok && d.targets[d.choice.Index].notice.leaving
	x.Candidates = make([]CandidateExplanation, 0, len(d.targets))
	for i := range d.targets {
		x.Candidates = append(x.Candidates, f.explainCandidate(now, c, &d, i))
	}
	slices.SortStableFunc(x.Candidates, func(a, b CandidateExplanation) int {
		return cmp.Or(cmp.Compare(useOrder[a.Use], useOrder[b.Use]), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Target, b.Target))
	})
	if !d.ok {
		return selection{}, false
	}
	sel := d.selection(now, c, f)
	if d.choice.CopyTarget >= 0 && x.Next != nextReject {
		x.LoadAt = d.targets[d.choice.CopyTarget].replica.ID
	}
	x.choose(now, c, sel)
	return sel, true
}

// useOrder is the order of the candidates by their use.
var useOrder = map[string]int{useHolder: 0, useHome: 1, useNone: 2}

// explainResident explains the choice of a target for a call that does not wait for its
// adapter, among a sample of many holders or among all.
func (f *Fleet) explainResident(now time.Time, x *Explanation, c *call, sample bool) (selection, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.decide(now, c, sample, true)
	x.Choice, x.LoadAt = "", ""
	if !d.ok {
		return selection{}, false
	}
	sel := d.selection(now, c, f)
	x.choose(now, c, sel)
	return sel, true
}

// choose records a selected target. The caller holds the fleet's mu.
func (x *Explanation) choose(now time.Time, c *call, sel selection) {
	t := sel.target
	x.Choice, x.Wait = sel.replica.ID, sel.wait
	x.NeedsPermit = t.limit.enforced() && !c.hasPermit(now, t)
	x.PermitDelay = t.limit.permitDelay(now)
	x.OffersPrompt = c.model != "" && t.takesOffers(now)
}

// explainCandidate returns the terms of the decision for one of its targets. The caller
// holds mu.
func (f *Fleet) explainCandidate(now time.Time, c *call, d *decision, i int) CandidateExplanation {
	t, a := d.targets[i], &d.candidates[i]
	x := CandidateExplanation{
		Target:      t.replica.ID,
		Zone:        t.replica.Zone,
		Distance:    t.distance,
		Resident:    a.Resident,
		Terms:       a.Terms(d.request),
		Requests:    a.Requests,
		Slots:       a.Slots,
		Backlog:     a.Backlog,
		PermitDelay: a.PermitDelay,
		RateLimited: t.limit.enforced(),
	}
	x.ReadFactor, x.WorkFactor = t.speed.factors(now)
	if c.model != "" && a.Resident {
		x.CachedTokens = t.heldTokens(now, f.promptOf(c), f.cacheTokens(c.service), f.latencyOf(c.service).requestTokens)
	}
	if !t.stateAt.IsZero() {
		x.StateAge = now.Sub(t.stateAt)
	}
	x.Use, x.Obstacle, x.Cost = useOf(a), f.obstacle(now, c, t, d.tier), x.Terms.Cost()
	switch {
	case x.Use == useHome:
		x.Cost, x.LoadDelay = x.Terms.HomeCost(), a.LoadDelay
	case x.Use == useNone && x.Obstacle == "":
		x.Obstacle = t.homeObstacle(now, c)
	}
	return x
}

// useOf returns for what a candidate can be used.
func useOf(a *assignment.Candidate) string {
	switch {
	case a.Usable && a.Resident:
		return useHolder
	case a.CanBeHome():
		return useHome
	}
	return useNone
}

// homeObstacle returns the reason for which a usable target that lacks the adapter, or the
// model, is not asked to load it.
func (t *targetState) homeObstacle(now time.Time, c *call) string {
	if c.adapter.Name == "" {
		return obstacleNoModel
	}
	if reason := t.loadObstacle(now, c.adapter); reason != "" {
		return reason
	}
	return obstacleLoadsElsewhere
}
