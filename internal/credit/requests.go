package credit

import (
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/quota"
)

// messageTimeout is the time after which an answer is not waited for any more. The credit
// of a later one is lost, which costs less than credit that is used twice.
const messageTimeout = 2 * time.Second

// send sends the requests that are due. The caller holds mu.
func (a *Accounts) send(now time.Time) {
	for id, m := range a.messages {
		if now.Sub(m.sentAt) > messageTimeout {
			delete(a.messages, id)
		}
	}
	for i := range a.groups {
		g := &a.groups[i]
		if g.issuer.Conn == nil || now.Sub(g.sentAt) < minMessageInterval {
			continue
		}
		m := peer.CreditRequest{ID: a.lastID + 1, First: g.issuer.First, Age: g.term.Age(now), Entryds: a.entryds.highest}
		var asked []*account
		for _, acc := range a.accounts {
			if acc.group != g {
				continue
			}
			r, ok := acc.Request(now)
			switch {
			case ok:
				acc.pending = m.ID
			case g.statesNoDemand(now, acc):
				r = quota.Request{Held: acc.Balance(now)}
			default:
				continue
			}
			acc.statedAt = now
			asked = append(asked, acc)
			m.Workspaces = append(m.Workspaces, demandOf(acc, r))
		}
		if len(asked) == 0 {
			continue
		}
		a.lastID, g.sentAt = m.ID, now
		a.messages[m.ID] = message{asked, now}
		_, _ = g.issuer.Conn.Send(m) // the end of the connection changes the issuer
	}
}

// statesNoDemand reports whether an issuer that is not the first choice is told of an
// account without demand.
func (g *group) statesNoDemand(now time.Time, acc *account) bool {
	return !g.issuer.First && acc.pending == 0 && now.Sub(acc.statedAt) >= deputyInterval
}

func demandOf(acc *account, r quota.Request) peer.CreditDemand {
	l := acc.Limit()
	return peer.CreditDemand{
		Workspace: acc.name,
		PerSecond: l.PerSecond,
		Burst:     l.Burst,
		Version:   l.Version,
		Held:      r.Held,
		Ask:       r.Ask,
		Need:      r.Need,
		Demand:    r.Demand,
		Returned:  r.Returned,
	}
}

// schedule sets the timer to the next time at which tick has something to do. The caller
// holds mu.
func (a *Accounts) schedule(now time.Time) {
	var next time.Time
	at := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, acc := range a.accounts {
		if t, ok := acc.NextDecision(now); ok {
			at(t)
		}
		if acc.group.issuer.Conn == nil {
			continue
		}
		earliest := acc.group.sentAt.Add(minMessageInterval)
		if t, ok := acc.NextRequest(now); ok && t.After(earliest) {
			at(t)
		} else if ok {
			at(earliest)
		}
		if !acc.group.issuer.First {
			at(acc.statedAt.Add(deputyInterval))
		}
		acc.balance.Update(acc.Balance(now))
	}
	switch {
	case next.IsZero():
		if a.timer != nil {
			a.timer.Stop()
		}
	case a.timer == nil:
		a.timer = time.AfterFunc(max(minTick, next.Sub(now)), a.tick)
	default:
		a.timer.Reset(max(minTick, next.Sub(now)))
	}
}

// minTick bounds how often the timer expires.
const minTick = 2 * time.Millisecond
