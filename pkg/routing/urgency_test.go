package routing

import (
	"fmt"
	"testing"
)

// A merged level must never let a less urgent workspace or route precede a more urgent
// one, whatever the numbers of urgencies in a configuration.
func TestUrgency(t *testing.T) {
	for workspaces := range 14 {
		for routes := 1; routes < 8; routes++ {
			var rs []Route
			for i := range routes {
				rs = append(rs, Route{Host: "h", Prefix: fmt.Sprintf("/%d/", i), Urgency: 3 * i})
			}
			var ws Workspaces
			for i := range workspaces {
				ws.Add(Workspace{Name: fmt.Sprint(i), Urgency: 2 * i}, nil)
			}
			c := New(1, rs, nil, Limits{})
			c.SetWorkspaces(ws)
			if workspaces == 0 {
				if got := c.Urgency(nil, &rs[routes-1], true); got != rs[routes-1].Urgency {
					t.Errorf("without workspaces the urgency is %d, expected that of the route, %d", got, rs[routes-1].Urgency)
				}
				continue
			}
			last, distinct := -1, 0
			for w := range workspaces {
				first := -1
				for r := range routes {
					for _, above := range []bool{false, true} {
						got := c.Urgency(&Workspace{Urgency: 2 * w}, &rs[r], above)
						if got < last || got > 9 {
							t.Fatalf("%d workspaces, %d routes: urgency %d of %d/%d/%t follows %d", workspaces, routes, got, w, r, above, last)
						}
						if got > last {
							distinct++
						}
						if first < 0 {
							first = got
							if w > 0 && workspaces <= 10 && got == last {
								t.Errorf("%d workspaces, %d routes: workspaces %d and %d have the same urgency %d", workspaces, routes, w-1, w, got)
							}
						}
						last = got
					}
				}
			}
			if all := 2 * workspaces * routes; all <= 10 && distinct != all {
				t.Errorf("%d workspaces, %d routes: %d distinct urgencies", workspaces, routes, distinct)
			}
			if got := c.Urgency(nil, &rs[0], false); workspaces <= 10 && got != c.Urgency(&Workspace{Urgency: 2*workspaces - 2}, &rs[0], false) {
				t.Errorf("%d workspaces, %d routes: a public request has urgency %d", workspaces, routes, got)
			}
		}
	}
}
