package credit

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/holder"
	"github.com/borageusher/borageusher/pkg/placement"
	"github.com/borageusher/borageusher/pkg/quota"
	"github.com/borageusher/borageusher/pkg/routing"
)

const (
	// issuerGroups is the number of groups into which the workspaces are divided by a hash.
	// Those of a group have the same issuer, so that one message has the requests for all
	// of them, and the loss of an issuer concerns a part of the workspaces.
	issuerGroups = 4
	// minMessageInterval is the minimum time between two messages to the issuer of a group.
	minMessageInterval = 25 * time.Millisecond
	// issuerCheckInterval is how often the choice of the issuers and the configuration are
	// checked while there is demand; a lost connection is checked at once.
	issuerCheckInterval = 100 * time.Millisecond
	// deputyInterval is the interval of requests, also without demand, to an issuer that is
	// not the first choice; see quota.Sender.
	deputyInterval = 500 * time.Millisecond
	// startTime is the time after the start of the process in which at least startEntryds
	// are assumed, because the targetds learn only then how many there are.
	startTime    = 10 * time.Second
	startEntryds = 32
	// logInterval is the minimum time between two log lines about rejections of a workspace.
	logInterval = time.Second
)

// Issuer is a process that issues credit.
type Issuer struct {
	Conn  *peer.Conn // nil if none is connected
	Name  string     // for the log
	First bool       // it is the first choice among those listed, whether connected or not
}

// Fleet knows the processes that issue credit.
type Fleet interface {
	// CreditIssuers returns the issuer for each key.
	CreditIssuers(keys []uint64) []Issuer
	// EntrydCount returns the highest number of entryds that a targetd reports.
	EntrydCount() int
}

// AccountOptions holds the dependencies of Accounts.
type AccountOptions struct {
	Fleet         Fleet
	Bounds        quota.Bounds
	Configuration *atomic.Pointer[routing.Configuration] // in force, nil until the first one
	Now           func() time.Time
	Log           event.Log
	Scope         tally.Scope
}

// Accounts spends the credit of all workspaces at an entryd. It is safe for concurrent use.
type Accounts struct {
	AccountOptions
	start time.Time

	mu         sync.Mutex
	accounts   map[string]*account // by workspace
	groups     [issuerGroups]group
	applied    *routing.Configuration // whose limits are enforced, nil before the first
	entryds    members
	checkedAt  time.Time
	lastWaiter uint64
	lastID     uint64 // of a message
	messages   map[uint64]message
	timer      *time.Timer // runs tick, nil until the first account is in use
}

// message is a request to an issuer that has no answer yet.
type message struct {
	accounts []*account // in its order
	sentAt   time.Time
}

// group is the issuer of some workspaces.
type group struct {
	issuer Issuer
	term   holder.Term
	sentAt time.Time // last message
}

// account is the account of one workspace.
type account struct {
	*quota.Account
	name       string
	group      *group
	pending    uint64                           // id of the request that has no answer yet
	waiters    map[uint64]chan<- quota.Decision // by id
	rejected   int                              // requests since the last log line
	loggedAt   time.Time
	statedAt   time.Time // last request to the issuer
	balance    tally.Gauge
	spent      tally.Counter
	refunded   tally.Counter
	overQuota  tally.Counter
	unanswered tally.Counter
}

// NewAccounts returns accounts without credit.
func NewAccounts(opts AccountOptions) *Accounts {
	return &Accounts{AccountOptions: opts, start: opts.Now(), accounts: map[string]*account{}, messages: map[uint64]message{}}
}

// Cost is what a request needs.
type Cost struct {
	Units   float64
	Urgency int           // 0 is the most urgent
	Wait    time.Duration // time for which it can wait for credit
}

// Verdict is the decision on a request.
type Verdict struct {
	Admitted   bool
	Unanswered bool          // not admitted because the issuer did not answer in time
	RetryAfter time.Duration // if not admitted, when there will be credit; differs between callers
	Charge     Charge
}

// Charge is what an admitted request spent, zero if its workspace has no quota.
type Charge struct {
	workspace string
	charge    *quota.Charge
}

// Admit decides on a request of a workspace. It waits for credit as long as the request
// can. The request is not admitted if ctx ends before.
func (a *Accounts) Admit(ctx context.Context, w *routing.Workspace, c Cost) Verdict {
	now := a.Now()
	answer := make(chan quota.Decision, 1)
	a.mu.Lock()
	a.applyConfiguration(now)
	acc := a.accounts[w.Name]
	if acc == nil || !acc.Limit().Limited() {
		a.mu.Unlock()
		return Verdict{Admitted: true}
	}
	a.lastWaiter++
	id := a.lastWaiter
	acc.waiters[id] = answer
	acc.Add(now, quota.Waiter{ID: id, Urgency: c.Urgency, Cost: c.Units, Until: now.Add(c.Wait)})
	if now.Sub(a.checkedAt) > issuerCheckInterval {
		a.check(now)
	}
	a.decide(now, acc)
	a.send(now)
	a.schedule(now)
	a.mu.Unlock()
	select {
	case d := <-answer:
		return a.verdict(acc, c, d)
	case <-ctx.Done():
	}
	a.mu.Lock()
	delete(acc.waiters, id)
	removed := acc.Remove(id)
	a.mu.Unlock()
	if !removed {
		v := a.verdict(acc, c, <-answer) // decided in the meantime
		a.Refund(v.Charge)
	}
	return Verdict{Unanswered: true}
}

// verdict returns the verdict for a decision.
func (a *Accounts) verdict(acc *account, c Cost, d quota.Decision) Verdict {
	if d.Admitted {
		acc.spent.Inc(int64(c.Units))
		return Verdict{Admitted: true, Charge: Charge{acc.name, &quota.Charge{Cost: c.Units, At: a.Now()}}}
	}
	// Callers that are rejected together must not return together.
	return Verdict{Unanswered: d.Unanswered, RetryAfter: d.Wait + rand.N(d.Wait/2+1)}
}

// Refund gives back the credit of a request that did not run and never will. A charge is
// refunded once.
func (a *Accounts) Refund(c Charge) {
	if c.charge == nil {
		return
	}
	now := a.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.accounts[c.workspace]
	if acc == nil || !acc.Refund(now, c.charge) {
		return
	}
	acc.refunded.Inc(int64(c.charge.Cost))
	a.decide(now, acc)
	a.schedule(now)
}

// Apply applies an answer of a targetd.
func (a *Accounts) Apply(m peer.CreditAnswer) {
	now := a.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	asked := a.messages[m.ID].accounts
	delete(a.messages, m.ID)
	for i, g := range m.Grants[:min(len(m.Grants), len(asked))] {
		acc := asked[i]
		if acc.pending != m.ID {
			continue // the request counts as lost, or only stated that there is no demand
		}
		acc.pending = 0
		acc.Apply(now, quota.Answer{Granted: g.Units, Short: g.Short, Wait: g.Wait})
		a.decide(now, acc)
	}
	a.send(now)
	a.schedule(now)
}

// CheckIssuers chooses the issuers again after a targetd was connected or lost, or a
// configuration came into force. An issuer that the entryd has chosen long before its first
// request need not begin at a part of the rate.
func (a *Accounts) CheckIssuers() {
	now := a.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyConfiguration(now)
	if len(a.accounts) == 0 {
		return
	}
	a.check(now)
	a.send(now)
	a.schedule(now)
}

// tick decides on the requests that wait and sends the requests that are due.
func (a *Accounts) tick() {
	now := a.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyConfiguration(now)
	if now.Sub(a.checkedAt) >= issuerCheckInterval {
		a.check(now)
	}
	for _, acc := range a.accounts {
		a.decide(now, acc)
	}
	a.send(now)
	a.schedule(now)
}

// applyConfiguration applies the limits of the configuration in force. The caller holds mu.
func (a *Accounts) applyConfiguration(now time.Time) {
	cfg := a.Configuration.Load()
	if cfg == a.applied { // not by the version, which a restored store gives out again
		return
	}
	a.applied = cfg
	limited := map[string]bool{}
	for _, w := range cfg.LimitedWorkspaces() {
		limited[w.Name] = true
		acc := a.accounts[w.Name]
		if acc == nil {
			acc = a.add(now, w.Name)
		}
		a.setLimit(now, acc, quota.Limit{PerSecond: w.Quota.PerSecond, Burst: w.Quota.Burst, Version: cfg.Version})
	}
	for name, acc := range a.accounts {
		if !limited[name] {
			a.setLimit(now, acc, quota.Limit{Version: cfg.Version})
			a.decide(now, acc) // admits all that wait
			acc.balance.Update(0)
			delete(a.accounts, name)
		}
	}
}

// setLimit applies a limit. The caller holds mu.
func (a *Accounts) setLimit(now time.Time, acc *account, l quota.Limit) {
	if old := acc.Limit(); old.PerSecond != l.PerSecond || old.Burst != l.Burst {
		a.Log.Event(event.QuotaChanged).Str("workspace", acc.name).Float64("rate", l.PerSecond).Float64("burst", l.Burst).Int64("revision", l.Version).Send()
	}
	acc.SetLimit(l, a.entrydCount(now))
}

// entrydCount returns the number of entryds. The caller holds mu.
func (a *Accounts) entrydCount(now time.Time) int {
	n := a.entryds.observe(now, a.Fleet.EntrydCount())
	if now.Sub(a.start) < startTime {
		n = max(n, startEntryds)
	}
	return max(1, n)
}

// add adds the account of a workspace. The caller holds mu.
func (a *Accounts) add(now time.Time, workspace string) *account {
	scope := a.Scope.Tagged(map[string]string{"workspace": workspace})
	acc := &account{
		Account:    quota.NewAccount(now, a.Bounds),
		name:       workspace,
		group:      &a.groups[placement.Mix(placement.Hash(workspace))%issuerGroups],
		waiters:    map[uint64]chan<- quota.Decision{},
		balance:    scope.Gauge("quota_credit"),
		spent:      scope.Counter("quota_spent"),
		refunded:   scope.Counter("quota_refunded"),
		overQuota:  scope.Tagged(map[string]string{"reason": "over_quota"}).Counter("quota_rejected"),
		unanswered: scope.Tagged(map[string]string{"reason": "unanswered"}).Counter("quota_rejected"),
	}
	acc.SetIssuer(now, acc.group.issuer.Conn != nil, true)
	a.accounts[workspace] = acc
	return acc
}

// groupKeys returns the keys by which the issuers of the groups are chosen.
func groupKeys() []uint64 {
	keys := make([]uint64, issuerGroups)
	for i := range keys {
		keys[i] = placement.Mix(uint64(i) + 1)
	}
	return keys
}

// check chooses the issuers again. The caller holds mu.
func (a *Accounts) check(now time.Time) {
	a.checkedAt = now
	for i, next := range a.Fleet.CreditIssuers(groupKeys()) {
		g := &a.groups[i]
		var session any // nil without a connection
		if next.Conn != nil {
			session = next.Conn
		}
		changed := g.term.Choose(now, session)
		if changed {
			a.Log.Event(event.QuotaIssuerChosen).Int("group", i).Str("target", next.Name).Str("before", g.issuer.Name).Bool("first", next.First).Send()
			a.Scope.Counter("quota_issuer_changes").Inc(1)
		}
		g.issuer = next
		for _, acc := range a.accounts {
			if acc.group == g {
				acc.SetIssuer(now, next.Conn != nil, changed)
			}
		}
	}
	n := a.entrydCount(now)
	for _, acc := range a.accounts {
		acc.SetLimit(acc.Limit(), n)
	}
}

// decide answers the requests of an account that can be answered. The caller holds mu.
func (a *Accounts) decide(now time.Time, acc *account) {
	for _, d := range acc.Decide(now) {
		acc.waiters[d.ID] <- d // has room, because there is only one answer
		delete(acc.waiters, d.ID)
		switch {
		case d.Admitted:
			continue
		case d.Unanswered:
			acc.unanswered.Inc(1)
		default:
			acc.overQuota.Inc(1)
		}
		acc.rejected++
		if now.Sub(acc.loggedAt) < logInterval {
			continue
		}
		code := event.OverQuota
		if d.Unanswered {
			code = event.QuotaUnanswered
		}
		a.Log.Event(code).Str("workspace", acc.name).Int("requests", acc.rejected).Float64("credit", acc.Balance(now)).Dur("wait", d.Wait).Send()
		acc.rejected, acc.loggedAt = 0, now
	}
}
