package agent

import (
	"math"

	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/target"
)

// zeroQuotas grants no slots. It applies before the first configuration.
type zeroQuotas struct{}

// SlotsFor implements dispatch.SlotQuotas.
func (zeroQuotas) SlotsFor(string) int { return 0 }

// lendingQuotas are the slot quotas of one configuration for one target.
type lendingQuotas struct {
	self    target.Target
	lending configuration.Lending
}

func newLendingQuotas(cfg *configuration.Configuration, self target.Target) lendingQuotas {
	quotas := lendingQuotas{self: self}
	team := cfg.Team(self.Team)
	if team == nil {
		return quotas
	}
	if s, ok := team.Service(self.Service); ok {
		quotas.lending = s.Lending
	}
	return quotas
}

// SlotsFor implements dispatch.SlotQuotas. The owner may use all slots, a borrowing
// team the lent share, rounded down, and other teams none.
func (q lendingQuotas) SlotsFor(team string) int {
	if team == q.self.Team {
		return q.self.Slots
	}
	if !q.lending.Lends(team) {
		return 0
	}
	return int(math.Floor(q.lending.Share * float64(q.self.Slots)))
}
