package routing

import "slices"

// urgencyLevels is the number of levels that requests may have at targets.
const urgencyLevels = 10

// urgencies are the distinct urgencies of a configuration, in ascending order.
type urgencies struct {
	workspaces []int
	routes     []int
}

func newUrgencies(hosts map[string][]*Route, workspaces map[string]*Workspace) urgencies {
	var u urgencies
	for _, w := range workspaces {
		u.workspaces = append(u.workspaces, w.Urgency)
	}
	for _, routes := range hosts {
		for _, r := range routes {
			u.routes = append(u.routes, r.Urgency)
		}
	}
	slices.Sort(u.workspaces)
	slices.Sort(u.routes)
	u.workspaces, u.routes = slices.Compact(u.workspaces), slices.Compact(u.routes)
	return u
}

// Urgency returns the urgency of a request: 0 is the most urgent, 9 the least if the
// configuration has workspaces. That of the workspace precedes that of the route, which
// precedes aboveShare: the workspace uses more than its share of contended capacity. Every
// process with the same configuration returns the same. Without workspaces it is the
// route's. A request to a public route, which has no workspace, has the urgency of the
// least urgent one, as anybody can send it.
//
// Targets know ten levels. Each workspace urgency has an equal number of them, and only the
// differences of routes and shares are merged if the levels don't suffice. With more than
// ten urgencies of workspaces the least urgent ones are merged.
func (c *Configuration) Urgency(w *Workspace, r *Route, aboveShare bool) int {
	u := &c.urgencies
	if len(u.workspaces) == 0 {
		return r.Urgency
	}
	workspace := len(u.workspaces) - 1
	if w != nil {
		workspace, _ = slices.BinarySearch(u.workspaces, w.Urgency)
	}
	route, _ := slices.BinarySearch(u.routes, r.Urgency)
	ranks := 2 * max(1, len(u.routes)) // of one workspace urgency
	rank := min(2*route, ranks-2)
	if aboveShare {
		rank++
	}
	levels := max(1, urgencyLevels/len(u.workspaces)) // of one workspace urgency
	if ranks > levels {
		rank = rank * levels / ranks
	}
	return min(workspace*levels+rank, urgencyLevels-1)
}
