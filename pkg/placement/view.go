package placement

// homeCount is the number of homes of an adapter: the highest-ranking targets in the
// rendezvous hash, among which an adapter that no target holds is placed.
const homeCount = 2

// homeRankPenalty is the additional cost of a load at each further home, as a
// fraction of the cost at the first one.
const homeRankPenalty = 0.5

// Costs are the weights of the terms in the cost of a choice, a number without a unit.
type Costs struct {
	Stall       float64 // cost of one second for which a request waits for a load
	Batch       float64 // cost of a full batch at the target, relative to an empty one
	LoadSeconds float64 // duration of a load in seconds
}

// Member is one target of a View.
type Member struct {
	Hash     uint64 // of the target's name, from Hash
	Remote   bool   // in another region
	Borrowed bool   // belongs to another team
	Slots    int    // requests that it runs concurrently
}

// Occupancy reports the current load of a View's members.
type Occupancy interface {
	// InFlight returns the number of requests sent to member i and not yet answered.
	InFlight(i int) int
	// Usable reports whether member i may be chosen.
	Usable(i int) bool
}

// View is the set of targets that may be sent the requests of one team to one
// service. It is immutable, is rebuilt when targets or the configuration change, and
// is safe for concurrent use.
type View struct {
	costs   Costs
	members []Member
	ranks   []rankInput      // by member
	index   map[uint64]int32 // index of members by hash
}

// NewView returns the view of members. It retains the slice. It panics if a member
// has no slots.
func NewView(members []Member, costs Costs) *View {
	v := &View{
		costs:   costs,
		members: members,
		ranks:   make([]rankInput, len(members)),
		index:   make(map[uint64]int32, len(members)),
	}
	for i, m := range members {
		if m.Slots <= 0 {
			panic("placement: member without slots")
		}
		v.index[m.Hash] = int32(i)
		v.ranks[i] = rankInput{m.Hash, m.class() << (64 - classBits)}
	}
	return v
}

// Reason is the reason why a member was chosen.
type Reason uint8

// The reasons.
const (
	ReasonResident Reason = iota // it is recorded as holding the adapter
	ReasonHome                   // it is a home of the adapter and will load it
	ReasonSpill                  // the homes and the holders are overloaded or not usable
)

// String returns the reason's name in logs.
func (r Reason) String() string {
	switch r {
	case ReasonResident:
		return "resident"
	case ReasonHome:
		return "home"
	}
	return "spill"
}

// Key holds the hashes of what a request needs.
type Key struct {
	Adapter uint64
	Prefix  uint64 // of the prompt's prefix, zero if unknown
}

// Choose returns the index of the member to which a request is sent and the reason
// for it, and false if no member is usable. It takes the member with the least cost
// of the adapter's homes and of the members that hold it. Among holders of the same
// cost it takes the one to which the prompt's prefix hashes, because that one is
// likely to have the prefix cached. If the member with the least cost is overloaded,
// it takes the one with the least cost of all usable members.
func (v *View) Choose(key Key, hints *Hints, occupancy Occupancy) (int, Reason, bool) {
	b := bestMember{index: -1}
	for _, h := range hints.Holders(key.Adapter) {
		if i, ok := v.index[h]; ok && occupancy.Usable(int(i)) {
			rank := Mix(key.Adapter ^ key.Prefix ^ h)
			b.consider(int(i), v.cost(int(i), occupancy), rank, ReasonResident)
		}
	}
	var top [homeCount]rankedMember
	v.rank(key.Adapter, occupancy, &top)
	for n, r := range top {
		if r.index < 0 {
			break
		}
		loadPenalty := v.loadCost(r.index, hints) * (1 + homeRankPenalty*float64(n))
		b.consider(r.index, v.cost(r.index, occupancy)+loadPenalty, ^uint64(n), ReasonHome)
	}
	if b.index < 0 || v.overloaded(b.index, occupancy) {
		v.spill(key.Adapter, hints, occupancy, &b)
	}
	return b.index, b.reason, b.index >= 0
}

// bestMember is the member with the least cost of those considered, and among equals
// the one with the highest rank.
type bestMember struct {
	index  int
	cost   float64
	rank   uint64
	reason Reason
}

// consider replaces the best member by member i if that is better.
func (b *bestMember) consider(i int, cost float64, rank uint64, reason Reason) {
	if b.index >= 0 && (cost > b.cost || (cost == b.cost && rank <= b.rank)) {
		return
	}
	*b = bestMember{i, cost, rank, reason}
}

// Costs of classes of members. Each exceeds the cost of a load unless the demand for
// the adapter that is evicted is extreme.
const (
	remoteCost   = 1e6
	borrowedCost = 1e3
)

// cost returns the cost of sending a request to member i, without that of a load.
func (v *View) cost(i int, occupancy Occupancy) float64 {
	m := &v.members[i]
	load := float64(occupancy.InFlight(i)) / float64(m.Slots)
	c := v.costs.Batch * load
	if load >= 1 {
		c += v.costs.Stall * (load - 1 + 1/float64(m.Slots)) * batchSeconds
	}
	if m.Remote {
		c += remoteCost
	}
	if m.Borrowed {
		c += borrowedCost
	}
	return c
}

// loadCost returns the cost of a load at member i: the stall of this request, and
// the expected stalls of requests for the adapter that is evicted.
func (v *View) loadCost(i int, hints *Hints) float64 {
	return v.costs.Stall * v.costs.LoadSeconds * (1 + hints.EvictionDemand(v.members[i].Hash))
}

// batchSeconds is the assumed time until a full batch has ended.
const batchSeconds = 4

// overloaded reports whether member i has reached loadBound.
func (v *View) overloaded(i int, occupancy Occupancy) bool {
	return float64(occupancy.InFlight(i)) >= loadBound*float64(v.members[i].Slots)
}

// classBits is the number of bits of a class.
const classBits = 2

// class returns the member's class, which takes precedence over its rank: the own
// region counts most, then the own team. Higher is better.
func (m *Member) class() uint64 {
	c := uint64(3)
	if m.Remote {
		c -= 2
	}
	if m.Borrowed {
		c--
	}
	return c
}

// rankInput is the input from which a member's rank is computed.
type rankInput struct {
	hash  uint64
	class uint64 // in the highest classBits bits
}

// rankedMember is a member with its rendezvous rank.
type rankedMember struct {
	index int
	rank  uint64
}

// rank sets top to the usable members with the highest ranks, in descending order.
// A member of a better class ranks higher.
func (v *View) rank(adapter uint64, occupancy Occupancy, top *[homeCount]rankedMember) {
	for n := range top {
		top[n].index = -1
	}
	last := &top[homeCount-1]
	for i, in := range v.ranks {
		r := Mix(adapter^in.hash)>>classBits | in.class
		if (last.index >= 0 && r <= last.rank) || !occupancy.Usable(i) {
			continue
		}
		*last = rankedMember{i, r}
		for n := homeCount - 1; n > 0 && (top[n-1].index < 0 || top[n-1].rank < top[n].rank); n-- {
			top[n-1], top[n] = top[n], top[n-1]
		}
	}
}

// spill considers all usable members. The least loaded one of the best class has the
// least cost, apart from the cost of a load.
func (v *View) spill(adapter uint64, hints *Hints, occupancy Occupancy, b *bestMember) {
	for i := range v.members {
		if occupancy.Usable(i) {
			b.consider(i, v.cost(i, occupancy)+v.loadCost(i, hints), Mix(adapter^v.members[i].Hash), ReasonSpill)
		}
	}
}
