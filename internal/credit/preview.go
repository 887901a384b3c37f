package credit

import (
	"math"

	"github.com/borageusher/borageusher/pkg/quota"
	"github.com/borageusher/borageusher/pkg/routing"
)

// Preview returns what Admit would decide on a request of a workspace now, and false if no
// account has the workspace's limit yet. It changes nothing and sends nothing. The issuers
// and the configuration are those as of the last request or message.
func (a *Accounts) Preview(w *routing.Workspace, c Cost) (quota.Preview, bool) {
	now := a.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.accounts[w.Name]
	if acc == nil || !acc.Limit().Limited() {
		return quota.Preview{}, false
	}
	return acc.Preview(now, quota.Waiter{ID: math.MaxUint64, Urgency: c.Urgency, Cost: c.Units, Until: now.Add(c.Wait)}), true
}
