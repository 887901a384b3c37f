package credit

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/quota"
)

const (
	// issuerRetention is how long an issuer is kept that is not asked. Its state is of no
	// use after the time in which the bucket is filled.
	issuerRetention = 10 * time.Minute
	// issuerExpiryInterval is the interval at which unused issuers are dropped.
	issuerExpiryInterval = time.Minute
)

// Issuers grants the credit of the workspaces that entryds ask this process about. It is
// safe for concurrent use.
type Issuers struct {
	bounds quota.Bounds
	log    event.Log
	scope  tally.Scope
	since  time.Time

	mu        sync.Mutex
	issuers   map[string]*issuer // by workspace
	members   members
	expiredAt time.Time
}

// issuer is the issuer of one workspace and its metrics.
type issuer struct {
	*quota.Issuer
	granted     tally.Counter
	outstanding tally.Gauge
}

// NewIssuers returns the issuers of a process that began at the given time.
func NewIssuers(since time.Time, b quota.Bounds, log event.Log, scope tally.Scope) *Issuers {
	return &Issuers{bounds: b, log: log, scope: scope, since: since, issuers: map[string]*issuer{}, expiredAt: since}
}

// Request answers a request of an entryd. connected is the number of entryds that are
// connected to this process.
func (i *Issuers) Request(now time.Time, sender string, connected int, m peer.CreditRequest) peer.CreditAnswer {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expire(now)
	membership := quota.Membership{Connected: connected, Known: i.members.observe(now, max(connected, m.Entryds))}
	s := quota.Sender{Name: sender, First: m.First, Age: m.Age}
	out := peer.CreditAnswer{ID: m.ID}
	for _, d := range m.Workspaces {
		l := quota.Limit{PerSecond: d.PerSecond, Burst: d.Burst, Version: d.Version}
		is, known := i.issuers[d.Workspace]
		if !known {
			is = i.add(now, d.Workspace, s, l)
		}
		r := quota.Request{Held: d.Held, Ask: d.Ask, Need: d.Need, Demand: d.Demand, Returned: d.Returned}
		a, began := is.Request(now, s, l, r, membership)
		if began || !known {
			i.log.Event(event.QuotaIssuerBegan).
				Str("workspace", d.Workspace).
				Str("from", sender).
				Bool("first", m.First).
				Bool("starting", is.Starting(now)).
				Float64("rate", d.PerSecond).
				Int("entryds", membership.Known).
				Send()
			i.scope.Counter("quota_issuers_begun").Inc(1)
		}
		is.granted.Inc(int64(a.Granted))
		is.outstanding.Update(is.Outstanding())
		out.Grants = append(out.Grants, peer.CreditGrant{Units: a.Granted, Short: a.Short, Wait: a.Wait})
	}
	return out
}

// add adds the issuer of a workspace. It may have been the issuer, without being asked,
// since the process began or since the sender regards it as such.
func (i *Issuers) add(now time.Time, workspace string, s quota.Sender, l quota.Limit) *issuer {
	since := now.Add(-s.Age)
	if since.Before(i.since) {
		since = i.since
	}
	scope := i.scope.Tagged(map[string]string{"workspace": workspace})
	is := &issuer{
		Issuer:      quota.NewIssuer(since, i.bounds, l),
		granted:     scope.Counter("quota_granted"),
		outstanding: scope.Gauge("quota_outstanding"),
	}
	i.issuers[workspace] = is
	return is
}

// expire drops the issuers that were not asked for long. The caller holds mu.
func (i *Issuers) expire(now time.Time) {
	if now.Sub(i.expiredAt) < issuerExpiryInterval {
		return
	}
	i.expiredAt = now
	for name, is := range i.issuers {
		if now.Sub(is.ServedAt()) > issuerRetention {
			is.outstanding.Update(0)
			delete(i.issuers, name)
		}
	}
}
