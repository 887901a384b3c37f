package credit

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/borageusher/borageusher/pkg/routing"
)

// BenchmarkAdmit measures the decision on a request within the quota, with 16 workspaces.
func BenchmarkAdmit(b *testing.B) {
	e := &testEntryd{fleet: &fakeFleet{entryds: 21}, cfg: &atomic.Pointer[routing.Configuration]{}}
	quotas := map[string]routing.Quota{}
	for _, name := range []string{"w", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p"} {
		quotas[name] = routing.Quota{PerSecond: 1e15, Burst: 1e15}
	}
	e.cfg.Store(configurationOf(1, quotas))
	e.accounts = newTestAccounts(e)
	e.accounts.start = Now().Add(-time.Hour)
	e.accounts.mu.Lock()
	e.accounts.applyConfiguration(Now())
	for _, acc := range e.accounts.accounts {
		acc.SetIssuer(Now().Add(-time.Minute), true, true) // lost a minute ago, so that it spends its part
		acc.SetIssuer(Now().Add(-time.Minute), false, true)
	}
	e.accounts.mu.Unlock()
	w := &routing.Workspace{Name: "w"}
	for b.Loop() {
		if v := e.accounts.Admit(context.Background(), w, Cost{Units: 1000, Wait: time.Second}); !v.Admitted {
			b.Fatal("a request within the quota was not admitted")
		}
	}
}
