package gateway

// explanationJSON is the JSON form of an Explanation. Times are in milliseconds.
type explanationJSON struct {
	Result     string  `json:"result"`
	Reason     string  `json:"reason,omitempty"`
	Status     int     `json:"status,omitempty"`
	RetryAfter float64 `json:"retry_after_ms,omitempty"`

	Target       string  `json:"target,omitempty"`
	Wait         float64 `json:"wait_ms"`
	LoadAt       string  `json:"load_at,omitempty"`
	WaitLimit    float64 `json:"wait_limit_ms,omitempty"`
	Contended    bool    `json:"contended"`
	Standing     string  `json:"standing,omitempty"`
	NeedsPermit  bool    `json:"needs_permit"`
	PermitDelay  float64 `json:"permit_delay_ms"`
	OffersPrompt bool    `json:"offers_prompt"`

	Revision  int64   `json:"configuration"`
	Route     string  `json:"route,omitempty"`
	Kind      string  `json:"kind,omitempty"`
	Urgency   int     `json:"urgency"`
	Objective float64 `json:"objective_ms"`
	Timeout   float64 `json:"timeout_ms"`

	NeedsKey  bool       `json:"needs_key"`
	HasKey    bool       `json:"has_key"`
	Workspace string     `json:"workspace,omitempty"`
	Quota     *quotaJSON `json:"quota,omitempty"`

	Shares  map[string]float64 `json:"shares,omitempty"` // weights by service
	Service string             `json:"service,omitempty"`
	Model   string             `json:"model,omitempty"`
	Adapter string             `json:"adapter,omitempty"`
	Version int64              `json:"adapter_version,omitempty"`

	Unchecked  []string        `json:"unchecked,omitempty"`
	Targets    int             `json:"targets"`
	Sampled    bool            `json:"sampled"`
	AllAvoided bool            `json:"all_avoided"`
	Leaving    bool            `json:"leaving"`
	Candidates []candidateJSON `json:"candidates"`
}

type quotaJSON struct {
	PerSecond float64 `json:"per_second"`
	Cost      float64 `json:"cost"`
	Known     bool    `json:"known"`
	Balance   float64 `json:"balance"`
	Admitted  bool    `json:"admitted"`
	Waits     float64 `json:"waits_ms"`
}

type candidateJSON struct {
	Target       string  `json:"target"`
	Zone         string  `json:"zone"`
	Distance     string  `json:"distance"`
	Use          string  `json:"use"`
	Obstacle     string  `json:"obstacle,omitempty"`
	Resident     bool    `json:"resident"`
	Cost         float64 `json:"cost_ms"`
	Wait         float64 `json:"wait_ms"`
	Slow         float64 `json:"slow_ms"`
	Network      float64 `json:"network_ms"`
	Penalty      float64 `json:"penalty_ms"`
	Permit       float64 `json:"permit_ms"`
	CacheSaving  float64 `json:"cache_saving_ms"`
	CachedTokens int     `json:"cached_tokens"`
	Backlog      float64 `json:"backlog_ms"`
	LoadDelay    float64 `json:"load_delay_ms"`
	Requests     int     `json:"requests"`
	Slots        int     `json:"slots"`
	ReadFactor   float64 `json:"read_factor"`
	WorkFactor   float64 `json:"work_factor"`
	RateLimited  bool    `json:"rate_limited"`
	PermitDelay  float64 `json:"permit_delay_ms"`
	StateAge     float64 `json:"state_age_ms"`
}

func explanationToJSON(x Explanation) explanationJSON {
	out := explanationJSON{
		Result: x.Next, Reason: x.Reason, Status: x.Status, RetryAfter: milliseconds(x.RetryAfter),
		Target: x.Choice, Wait: milliseconds(x.Wait), LoadAt: x.LoadAt, WaitLimit: milliseconds(x.WaitLimit), Contended: x.Contended, Standing: x.Standing, NeedsPermit: x.NeedsPermit, PermitDelay: milliseconds(x.PermitDelay), OffersPrompt: x.OffersPrompt,
		Revision: x.Revision, Route: x.Route, Urgency: x.Urgency, Objective: milliseconds(x.Objective), Timeout: milliseconds(x.Timeout),
		NeedsKey: x.NeedsKey, HasKey: x.HasKey, Workspace: x.Workspace,
		Service: x.Service, Model: x.Model, Adapter: x.Adapter, Version: x.AdapterVersion,
		Unchecked: x.Unchecked, Targets: x.Targets, Sampled: x.Sampled, AllAvoided: len(x.Candidates) > 0 && !x.Cautious, Leaving: x.Leaving,
		Candidates: make([]candidateJSON, 0, len(x.Candidates)),
	}
	if x.Route != "" {
		out.Kind = x.Kind.String()
	}
	if q := x.Quota; q.Limited {
		out.Quota = &quotaJSON{PerSecond: q.PerSecond, Cost: q.Cost, Known: q.Known, Balance: q.Balance, Admitted: q.Admitted, Waits: milliseconds(q.Waits)}
	}
	for _, s := range x.Shares {
		if out.Shares == nil {
			out.Shares = map[string]float64{}
		}
		out.Shares[s.Service] = s.Weight
	}
	for _, c := range x.Candidates {
		out.Candidates = append(out.Candidates, candidateToJSON(c))
	}
	return out
}

func candidateToJSON(c CandidateExplanation) candidateJSON {
	t := c.Terms
	return candidateJSON{
		Target: c.Target, Zone: c.Zone, Distance: distanceNames[c.Distance], Use: c.Use, Obstacle: c.Obstacle, Resident: c.Resident,
		Cost: milliseconds(c.Cost), Wait: milliseconds(t.Wait), Slow: milliseconds(t.Extra), Network: milliseconds(t.Network),
		Penalty: milliseconds(t.Penalty), Permit: milliseconds(t.Permit), CacheSaving: milliseconds(t.CacheSaving), CachedTokens: c.CachedTokens,
		Backlog: milliseconds(c.Backlog), LoadDelay: milliseconds(c.LoadDelay), Requests: c.Requests, Slots: c.Slots,
		ReadFactor: c.ReadFactor, WorkFactor: c.WorkFactor, RateLimited: c.RateLimited, PermitDelay: milliseconds(c.PermitDelay), StateAge: milliseconds(c.StateAge),
	}
}
