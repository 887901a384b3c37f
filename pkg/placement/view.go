package placement

// homes is the number of targets, in the order of the rendezvous hash, among
// which an adapter that nobody holds is placed.
const homes = 2

// homeStep is what each further home costs more, as part of a load.
const homeStep = 0.5

// Costs weigh what a choice may cost.
type Costs struct {
	Stall float64 // of one second that a request waits for a load
	Batch float64 // of a target's full batch, against an empty one
	Load  float64 // seconds that a load takes
}

// Member is one target of a View.
type Member struct {
	Hash     uint64 // of the target's name, from Hash
	Remote   bool   // in another region
	Borrowed bool   // belongs to another team
	Slots    int    // requests that it runs at once
}

// Loads tells the load of a View's members at the time of a choice.
type Loads interface {
	// InFlight returns the requests sent to member i and not yet answered.
	InFlight(i int) int
	// Usable reports whether member i may be chosen.
	Usable(i int) bool
}

// View is the targets that may take the requests of one team to one service. It
// is made anew when targets or configuration change, and is safe for concurrent
// use.
type View struct {
	costs   Costs
	members []Member
	ranks   []rankBasis      // of members
	index   map[uint64]int32 // members by hash
}

// NewView returns the view of members, which it keeps. It panics if a member
// has no slots.
func NewView(members []Member, costs Costs) *View {
	v := &View{
		costs:   costs,
		members: members,
		ranks:   make([]rankBasis, len(members)),
		index:   make(map[uint64]int32, len(members)),
	}
	for i, m := range members {
		if m.Slots <= 0 {
			panic("placement: member without slots")
		}
		v.index[m.Hash] = int32(i)
		v.ranks[i] = rankBasis{m.Hash, m.class() << (64 - classBits)}
	}
	return v
}

// Reason says why a member was chosen.
type Reason uint8

// The reasons.
const (
	ReasonResident Reason = iota // it is believed to hold the adapter
	ReasonHome                   // it is a home of the adapter, which is loaded there
	ReasonSpill                  // the homes and the holders are busy or out of reach
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

// Key names what a request needs, hashed.
type Key struct {
	Adapter uint64
	Prefix  uint64 // of the prompt's beginning, zero if unknown
}

// Choose returns the index of the member that a request goes to, and false when
// none is usable. Of the members that hold the adapter and its homes it takes
// the one that costs least; among holders that cost the same, the one that the
// prompt's prefix hashes to, where it is likely cached.
func (v *View) Choose(key Key, hints *Hints, loads Loads) (int, Reason, bool) {
	b := best{index: -1}
	for _, h := range hints.Holders(key.Adapter) {
		if i, ok := v.index[h]; ok && loads.Usable(int(i)) {
			rank := Mix(key.Adapter ^ key.Prefix ^ h)
			b.offer(int(i), v.cost(int(i), loads), rank, ReasonResident)
		}
	}
	var top [homes]ranked
	v.rank(key.Adapter, loads, &top)
	for n, r := range top {
		if r.index < 0 {
			break
		}
		missing := v.missing(r.index, hints) * (1 + homeStep*float64(n))
		b.offer(r.index, v.cost(r.index, loads)+missing, ^uint64(n), ReasonHome)
	}
	if b.index < 0 || v.overloaded(b.index, loads) {
		v.spill(key.Adapter, hints, loads, &b)
	}
	return b.index, b.reason, b.index >= 0
}

// best keeps the cheapest offer.
type best struct {
	index  int
	cost   float64
	rank   uint64
	reason Reason
}

func (b *best) offer(i int, cost float64, rank uint64, reason Reason) {
	if b.index >= 0 && (cost > b.cost || (cost == b.cost && rank <= b.rank)) {
		return
	}
	*b = best{i, cost, rank, reason}
}

// Costs of a class: each is more than any load costs.
const (
	remoteCost   = 1e6
	borrowedCost = 1e3
)

// cost returns what sending a request to member i costs, apart from a load.
func (v *View) cost(i int, loads Loads) float64 {
	m := &v.members[i]
	load := float64(loads.InFlight(i)) / float64(m.Slots)
	c := v.costs.Batch * load
	if load >= 1 {
		c += v.costs.Stall * (load - 1 + 1/float64(m.Slots)) * queueSeconds
	}
	if m.Remote {
		c += remoteCost
	}
	if m.Borrowed {
		c += borrowedCost
	}
	return c
}

// missing returns what a load at member i costs: the stall now, and the stalls
// of the requests for the adapter that it replaces.
func (v *View) missing(i int, hints *Hints) float64 {
	return v.costs.Stall * v.costs.Load * (1 + hints.Floor(v.members[i].Hash))
}

// queueSeconds is the time in which a full batch is assumed to end.
const queueSeconds = 4

func (v *View) overloaded(i int, loads Loads) bool {
	return float64(loads.InFlight(i)) >= loadBound*float64(v.members[i].Slots)
}

// classBits is the width of a class.
const classBits = 2

// class orders members before their ranks: the own region, then the own team.
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

// rankBasis is what a member's rank is made of.
type rankBasis struct {
	hash  uint64
	class uint64 // in the highest bits
}

// ranked is a member with its rendezvous rank.
type ranked struct {
	index int
	rank  uint64
}

// rank finds the usable members of the best class with the highest ranks.
func (v *View) rank(adapter uint64, loads Loads, top *[homes]ranked) {
	for n := range top {
		top[n].index = -1
	}
	last := &top[homes-1]
	for i, b := range v.ranks {
		r := Mix(adapter^b.hash)>>classBits | b.class
		if (last.index >= 0 && r <= last.rank) || !loads.Usable(i) {
			continue
		}
		*last = ranked{i, r}
		for n := homes - 1; n > 0 && (top[n-1].index < 0 || top[n-1].rank < top[n].rank); n-- {
			top[n-1], top[n] = top[n], top[n-1]
		}
	}
}

// spill offers all members: the least loaded one of the best class wins.
func (v *View) spill(adapter uint64, hints *Hints, loads Loads, b *best) {
	for i := range v.members {
		if loads.Usable(i) {
			b.offer(i, v.cost(i, loads)+v.missing(i, hints), Mix(adapter^v.members[i].Hash), ReasonSpill)
		}
	}
}
