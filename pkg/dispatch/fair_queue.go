package dispatch

import (
	"sort"
	"time"
)

// Bounds of the order in which requests of one team start.
const (
	// priorityStep is how much earlier a request counts as arrived for each
	// step of priority. It bounds how long a request can be passed by others.
	priorityStep = 2 * time.Second
	// deadlineMargin is how long before its start-by time a request counts as
	// arrived at the latest.
	deadlineMargin = 5 * time.Second
)

// waiting is one request in a fairQueue.
type waiting struct {
	request *Request
	arrived time.Time
	rank    time.Time // requests of a team start in this order

}

// teamQueue holds the waiting requests of one team in order of rank.
type teamQueue struct {
	team    string
	virtual float64 // start tag of the team's next request
	items   []*waiting
}

// fairQueue orders teams by start-time fair queueing (P. Goyal, H. M. Vin and
// H. Cheng, 1996): each started request moves its team's tag by the inverse of
// the team's weight, and the lowest tag goes first. A team that was idle takes
// up at the tag of the request started last, so that it cannot save up.
type fairQueue struct {
	teams   []*teamQueue // with waiting requests, and in order of tags after sort
	idle    map[string]float64
	virtual float64 // tag of the request started last
	n       int
}

func newFairQueue() *fairQueue { return &fairQueue{idle: map[string]float64{}} }

// add puts r into its team's queue.
func (q *fairQueue) add(now time.Time, r *Request) {
	w := &waiting{request: r, arrived: now, rank: rankOf(now, r)}
	t := q.find(r.Team)
	if t == nil {
		t = &teamQueue{team: r.Team, virtual: max(q.virtual, q.idle[r.Team])}
		delete(q.idle, r.Team)
		q.teams = append(q.teams, t)
	}
	i := sort.Search(len(t.items), func(i int) bool { return t.items[i].rank.After(w.rank) })
	t.items = append(t.items, nil)
	copy(t.items[i+1:], t.items[i:])
	t.items[i] = w
	q.n++
}

func rankOf(now time.Time, r *Request) time.Time {
	rank := now
	if latest := r.StartBy.Add(-deadlineMargin); latest.Before(rank) {
		rank = latest
	}
	return rank.Add(-time.Duration(r.Priority) * priorityStep)
}

func (q *fairQueue) find(team string) *teamQueue {
	for _, t := range q.teams {
		if t.team == team {
			return t
		}
	}
	return nil
}

// sorted returns the teams in order of tags.
func (q *fairQueue) sorted() []*teamQueue {
	sort.Slice(q.teams, func(i, j int) bool {
		a, b := q.teams[i], q.teams[j]
		if a.virtual != b.virtual {
			return a.virtual < b.virtual
		}
		return a.team < b.team
	})
	return q.teams
}

// charge counts one started request of t, whose weight is positive.
func (q *fairQueue) charge(t *teamQueue, weight float64) {
	q.virtual = t.virtual
	t.virtual += 1 / weight
}

// take removes the i-th request of t.
func (q *fairQueue) take(t *teamQueue, i int) *waiting {
	w := t.items[i]
	t.items = append(t.items[:i], t.items[i+1:]...)
	q.n--
	if len(t.items) == 0 {
		q.drop(t)
	}
	return w
}

// drop forgets a team without requests, but for a tag ahead of the others'.
func (q *fairQueue) drop(t *teamQueue) {
	for i := range q.teams {
		if q.teams[i] == t {
			q.teams = append(q.teams[:i], q.teams[i+1:]...)
			break
		}
	}
	for team, tag := range q.idle {
		if tag <= q.virtual {
			delete(q.idle, team)
		}
	}
	if t.virtual > q.virtual {
		q.idle[t.team] = t.virtual
	}
}

// removeIf takes out the requests that which accepts, and returns them.
func (q *fairQueue) removeIf(which func(*Request) bool) []*Request {
	var out []*Request
	teams := append([]*teamQueue(nil), q.teams...)
	for _, t := range teams {
		for i := 0; i < len(t.items); {
			if !which(t.items[i].request) {
				i++
				continue
			}
			out = append(out, q.take(t, i).request)
		}
	}
	return out
}
