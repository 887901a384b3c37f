package dispatch

import (
	"sort"
	"time"
)

// Parameters of the order in which requests of one team start.
const (
	// priorityStep is how much earlier a request's effective arrival is for each
	// level of priority. It bounds how long a request can be overtaken by later ones
	// of higher priority.
	priorityStep = 2 * time.Second
	// deadlineMargin is the minimum time from a request's effective arrival, before
	// the adjustment for priority, to its start-by time.
	deadlineMargin = 5 * time.Second
)

// queuedRequest is a request in a fairQueue.
type queuedRequest struct {
	request          *Request
	arrived          time.Time
	effectiveArrival time.Time // arrival adjusted for priority and deadline; orders the team's requests
}

// teamQueue holds the queued requests of one team by effective arrival.
type teamQueue struct {
	team     string
	startTag float64 // start tag of the team's next request
	items    []*queuedRequest
}

// fairQueue orders teams by start-time fair queueing (P. Goyal, H. M. Vin and
// H. Cheng, 1996): each started request advances its team's start tag by the
// inverse of the team's weight, and the team with the lowest tag is served
// first. A team that becomes active resumes at the virtual time or later, so
// that it gains no credit for the time it was idle.
type fairQueue struct {
	teams       []*teamQueue       // teams with queued requests, sorted only by sortTeams
	idleTags    map[string]float64 // start tags of idle teams that are ahead of virtualTime
	virtualTime float64            // start tag of the request started last
	size        int                // queued requests of all teams
}

func newFairQueue() *fairQueue { return &fairQueue{idleTags: map[string]float64{}} }

// add inserts r, which arrived at now, into its team's queue.
func (q *fairQueue) add(now time.Time, r *Request) {
	w := &queuedRequest{request: r, arrived: now, effectiveArrival: effectiveArrivalOf(now, r)}
	t := q.findTeam(r.Team)
	if t == nil {
		t = &teamQueue{team: r.Team, startTag: max(q.virtualTime, q.idleTags[r.Team])}
		delete(q.idleTags, r.Team)
		q.teams = append(q.teams, t)
	}
	i := sort.Search(len(t.items), func(i int) bool { return t.items[i].effectiveArrival.After(w.effectiveArrival) })
	t.items = append(t.items, nil)
	copy(t.items[i+1:], t.items[i:])
	t.items[i] = w
	q.size++
}

// effectiveArrivalOf returns the time that orders r among its team's requests:
// its arrival at now, made earlier for a close deadline and for its priority.
func effectiveArrivalOf(now time.Time, r *Request) time.Time {
	effective := now
	if latest := r.StartBy.Add(-deadlineMargin); latest.Before(effective) {
		effective = latest
	}
	return effective.Add(-time.Duration(r.Priority) * priorityStep)
}

// findTeam returns the queue of team, or nil if it has no queued requests.
func (q *fairQueue) findTeam(team string) *teamQueue {
	for _, t := range q.teams {
		if t.team == team {
			return t
		}
	}
	return nil
}

// sortTeams sorts the teams by start tag, then by name, and returns them.
func (q *fairQueue) sortTeams() []*teamQueue {
	sort.Slice(q.teams, func(i, j int) bool {
		a, b := q.teams[i], q.teams[j]
		if a.startTag != b.startTag {
			return a.startTag < b.startTag
		}
		return a.team < b.team
	})
	return q.teams
}

// charge advances the virtual time and the start tag of t for one started
// request. The weight must be positive.
func (q *fairQueue) charge(t *teamQueue, weight float64) {
	q.virtualTime = t.startTag
	t.startTag += 1 / weight
}

// removeAt removes the i-th request of t and returns it.
func (q *fairQueue) removeAt(t *teamQueue, i int) *queuedRequest {
	w := t.items[i]
	t.items = append(t.items[:i], t.items[i+1:]...)
	q.size--
	if len(t.items) == 0 {
		q.removeTeam(t)
	}
	return w
}

// removeTeam removes t, which has no queued requests. It keeps the start tag of t
// if that is ahead of the virtual time, and discards the kept tags that no longer
// are.
func (q *fairQueue) removeTeam(t *teamQueue) {
	for i := range q.teams {
		if q.teams[i] == t {
			q.teams = append(q.teams[:i], q.teams[i+1:]...)
			break
		}
	}
	for team, tag := range q.idleTags {
		if tag <= q.virtualTime {
			delete(q.idleTags, team)
		}
	}
	if t.startTag > q.virtualTime {
		q.idleTags[t.team] = t.startTag
	}
}

// removeIf removes the requests that match accepts and returns them.
func (q *fairQueue) removeIf(match func(*Request) bool) []*Request {
	var out []*Request
	teams := append([]*teamQueue(nil), q.teams...)
	for _, t := range teams {
		for i := 0; i < len(t.items); {
			if !match(t.items[i].request) {
				i++
				continue
			}
			out = append(out, q.removeAt(t, i).request)
		}
	}
	return out
}
