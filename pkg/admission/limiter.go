package admission

// reservedFraction of the places is kept for teams below their equal share.
const reservedFraction = 0.25

// Limiter bounds requests in progress. It is not safe for concurrent use.
type Limiter struct {
	most   int
	total  int
	byTeam map[string]int
}

// New returns a limiter of most requests. It panics unless most is positive.
func New(most int) *Limiter {
	if most <= 0 {
		panic("admission: most must be positive")
	}
	return &Limiter{most: most, byTeam: map[string]int{}}
}

// Admit takes a place for a request of team and reports whether there was one.
// While the places run short, only teams below their equal share get one.
func (l *Limiter) Admit(team string) bool {
	if l.total >= l.most || (l.short() && l.byTeam[team] >= l.share(team)) {
		return false
	}
	l.total++
	l.byTeam[team]++
	return true
}

// Release gives a place back. It panics unless team holds one.
func (l *Limiter) Release(team string) {
	if l.byTeam[team] == 0 {
		panic("admission: release without admit")
	}
	l.total--
	l.byTeam[team]--
	if l.byTeam[team] == 0 {
		delete(l.byTeam, team)
	}
}

// Total returns the number of places taken.
func (l *Limiter) Total() int { return l.total }

// short reports whether only the reserved places are left.
func (l *Limiter) short() bool {
	return float64(l.total) >= (1-reservedFraction)*float64(l.most)
}

// share returns the equal share of team among the teams that hold places. A
// team on its own leaves the reserved places to a second one.
func (l *Limiter) share(team string) int {
	teams := len(l.byTeam)
	if l.byTeam[team] == 0 {
		teams++
	}
	return l.most / max(teams, 2)
}
