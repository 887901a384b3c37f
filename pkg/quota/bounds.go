package quota

import "time"

// Limit is the quota of a workspace.
type Limit struct {
	PerSecond float64 // units a second, zero for no limit
	Burst     float64 // units that may be spent at once after a time without requests
	Version   int64   // of the configuration that states it; a higher one replaces it
}

// Limited reports whether there is a quota.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// over returns the units granted at the full rate within d.
func (l Limit) over(d time.Duration) float64 { return l.PerSecond * d.Seconds() }

// Bounds say by how much a quota may be exceeded: in each sliding window, at most
// (rate x Window + burst) x (1 + Over) + Slack units are spent.
//
// The excess Over x (rate x Window + burst) + Slack is divided between its causes. None
// but the first two can be avoided, as nobody is asked before each request.
//
//   - credit that accounts hold, which is granted in one window and may be spent in the next:
//     an eighth of Over x rate x Window, a quarter of the rest;
//   - overdrafts: half of Slack;
//   - requests that are larger than the credit left at the issuer: a quarter of Slack;
//   - a second issuer in the time in which processes disagree on the issuer: seven eighths
//     of Over x rate x Window.
type Bounds struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// Shares of the excess; see Bounds.
const (
	heldRateShare    = 1.0 / 8
	heldShare        = 1.0 / 4
	overdraftShare   = 1.0 / 2
	debtShare        = 1.0 / 4
	startRateShare   = 7.0 / 8
	defaultWindow    = 8 * time.Second // if the operators set none
	maxOverdraftTime = 2 * time.Second // bounds overdrafts in units of the rate, where Slack is far more than it
	maxHeldTime      = time.Second     // bounds the credit that accounts hold likewise
	minHeldTime      = 50 * time.Millisecond
)

// Times of an issuer that begins.
const (
	// startTime is how long an issuer that has just begun issues less, because processes
	// may still use another one: the time after which a silent peer connection is closed.
	startTime = 2 * time.Second
	// maxStartShare is the share of the rate that it issues in that time, or less if the
	// bounds do not allow as much beside an issuer at the full rate.
	maxStartShare = 0.5
	minStartShare = 0.1
)

func (b Bounds) window() time.Duration {
	if b.Window <= 0 {
		return defaultWindow
	}
	return b.Window
}

// Allowed returns the units that may be spent in a sliding window.
func (b Bounds) Allowed(l Limit) float64 {
	return (l.over(b.window())+l.Burst)*(1+b.Over) + b.Slack
}

// held returns the credit that all accounts together may hold.
func (b Bounds) held(l Limit) float64 {
	h := heldRateShare*b.Over*l.over(b.window()) + heldShare*(b.Over*l.Burst+b.Slack)
	return max(min(h, l.over(maxHeldTime)), l.over(minHeldTime))
}

// overdraft returns the units by which one account may overdraw its balance.
func (b Bounds) overdraft(l Limit, accounts int) float64 {
	return min(overdraftShare*b.Slack, l.over(maxOverdraftTime)) / float64(max(1, accounts))
}

// maxDebt returns the units that an issuer grants in advance to requests that are larger
// than its credit.
func (b Bounds) maxDebt() float64 { return debtShare * b.Slack }

// startShare returns the share of the rate that an issuer grants within startTime.
func (b Bounds) startShare() float64 {
	s := startRateShare * b.Over * b.window().Seconds() / startTime.Seconds()
	return max(min(s, maxStartShare), minStartShare)
}
