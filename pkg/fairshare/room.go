package fairshare

import "slices"

// reservedShare is the share of a Room in which only workspaces below their fair share of
// it are admitted: enough for each of 16 workspaces to enter with some requests before
// those of the largest one end.
const reservedShare = 0.125

// Room divides a number of places among the requests that workspaces have in progress.
// Workspaces are not told apart until the reserved part is reached; then the one with the
// most requests is the first that gets no more. It is not safe for concurrent use.
type Room struct {
	total  int
	held   map[string]int
	counts []int // reused
}

// NewRoom returns an empty room.
func NewRoom() *Room { return &Room{held: map[string]int{}} }

// Admits reports whether a request of the workspace fits into a room of the given size,
// in which others that are not of a workspace hold some places.
func (r *Room) Admits(size, others int, workspace string) bool {
	if r.total+others >= size {
		return false
	}
	open := int((1 - reservedShare) * float64(size))
	if r.total+others < open {
		return true
	}
	return r.held[workspace] < r.level(max(0, open-others))
}

// Total returns the number of requests in progress.
func (r *Room) Total() int { return r.total }

// Add counts a request of the workspace.
func (r *Room) Add(workspace string) {
	r.total++
	r.held[workspace]++
}

// Remove ends a request of the workspace. It panics if that has none.
func (r *Room) Remove(workspace string) {
	if r.held[workspace] == 0 {
		panic("fairshare: removed a request that was not added")
	}
	r.total--
	r.held[workspace]--
	if r.held[workspace] == 0 {
		delete(r.held, workspace)
	}
}

// level returns the number of places to which a workspace is entitled in the max-min fair
// division of the given number among those that hold some, at least one.
func (r *Room) level(places int) int {
	r.counts = r.counts[:0]
	for _, n := range r.held {
		r.counts = append(r.counts, n)
	}
	slices.Sort(r.counts)
	for i, n := range r.counts {
		part := places / (len(r.counts) - i)
		if n >= part {
			return max(1, part)
		}
		places -= n
	}
	return max(1, places)
}
