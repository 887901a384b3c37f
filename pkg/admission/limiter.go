package admission

// reservedFraction is the fraction of the capacity that is reserved for teams below
// their equal share.
const reservedFraction = 0.25

// Limiter limits the number of requests in progress. It is not safe for concurrent
// use.
type Limiter struct {
	maxRequests int
	total       int
	byTeam      map[string]int
}

// New returns a limiter of maxRequests concurrent requests. It panics unless
// maxRequests is positive.
func New(maxRequests int) *Limiter {
	if maxRequests <= 0 {
		panic("admission: maxRequests must be positive")
	}
	return &Limiter{maxRequests: maxRequests, byTeam: map[string]int{}}
}

// Admit reports whether a request of team is admitted, and counts it if so. While
// only the reserved capacity is left, it admits only teams below their equal share.
func (l *Limiter) Admit(team string) bool {
	if l.total >= l.maxRequests || (l.nearCapacity() && l.byTeam[team] >= l.equalShare(team)) {
		return false
	}
	l.total++
	l.byTeam[team]++
	return true
}

// Release ends an admitted request of team. It panics if team has none.
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

// Total returns the number of admitted requests in progress.
func (l *Limiter) Total() int { return l.total }

// nearCapacity reports whether only the reserved capacity is left.
func (l *Limiter) nearCapacity() bool {
	return float64(l.total) >= (1-reservedFraction)*float64(l.maxRequests)
}

// equalShare returns the equal share of team among the teams with requests in
// progress. A single team gets half of the capacity, so that the reserved capacity
// remains for a second team.
func (l *Limiter) equalShare(team string) int {
	teams := len(l.byTeam)
	if l.byTeam[team] == 0 {
		teams++
	}
	return l.maxRequests / max(teams, 2)
}
