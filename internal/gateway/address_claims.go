package gateway

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/target"
)

// refutedAvoidTime is how long a target is avoided after another one answered at its
// address. The platform removes the entry of a target that has ended after 3.6 s, so that
// most such entries cost one request.
const refutedAvoidTime = 10 * time.Second

// supersedes reports whether the entry a means that the target of b, at the same address,
// has ended: a is a later start of a target of that service. An entry of another service
// proves nothing, because any writer may name any address, and a target rejects requests
// that are meant for another one.
func supersedes(a, b target.Replica) bool {
	return a.ID != b.ID && a.Addr == b.Addr && a.Service == b.Service && a.Started.After(b.Started)
}

// maySupersede reports whether r may supersede others: no other target has answered at its
// address, and it gets requests, which may show that. The caller holds mu.
func (f *Fleet) maySupersede(r target.Replica) bool {
	n := f.notices[r.Incarnation()]
	return r.State == target.Live && (n == nil || !n.refuted && !n.leaving)
}

// isSuperseded reports whether a target supersedes r. An entry outlives its target for a
// while. The caller holds mu.
func (f *Fleet) isSuperseded(r target.Replica) bool {
	for _, t := range f.targets {
		if supersedes(t.replica, r) && f.maySupersede(t.replica) {
			return true
		}
	}
	return false
}

// setAside keeps the entry r, which is superseded, and drops its target. The entry may not
// change any more, so that the store would not send it again. The caller holds mu.
func (f *Fleet) setAside(now time.Time, r target.Replica) {
	f.superseded[r.ID] = r
	if t := f.targets[r.ID]; t != nil {
		f.logState(r, "superseded")
		f.drop(now, t)
	}
}

// setAsideSuperseded sets the entries aside that r supersedes. The caller holds mu.
func (f *Fleet) setAsideSuperseded(now time.Time, r target.Replica) {
	if !f.maySupersede(r) {
		return
	}
	for _, t := range f.targets {
		if !supersedes(r, t.replica) {
			continue
		}
		f.setAside(now, t.replica)
		if !t.goneAt.IsZero() { // its entry is not in the store any more
			delete(f.superseded, t.replica.ID)
		}
	}
}

// reinstate adds the targets whose entries are not superseded any more. The caller holds
// mu.
func (f *Fleet) reinstate(now time.Time) {
	latestFirst := func(a, b target.Replica) int {
		return cmp.Or(b.Started.Compare(a.Started), cmp.Compare(a.ID, b.ID))
	}
	for _, r := range slices.SortedFunc(maps.Values(f.superseded), latestFirst) {
		f.upsert(now, r)
		if t := f.targets[r.ID]; t != nil && t.added.Equal(now) {
			t.servingAt = time.Time{} // the entry may be old
		}
	}
}

// sender says which target wrote a response, as far as the response tells.
type sender uint8

const (
	unknownSender  sender = iota
	expectedSender        // the target that the request was meant for
	otherSender           // another target at its address
)

// senderOf returns the sender of a response to a request that was meant for the given
// instance. Engines reject requests with status 421 also if they lack the model.
func senderOf(status int, m ResponseMeta, instance string, namesModel bool) sender {
	switch {
	case m.Instance == instance:
		return expectedSender
	case status == http.StatusMisdirectedRequest:
		if m.Instance != "" || !namesModel {
			return otherSender
		}
	case m.Signed && status < 300 && m.Instance == "":
		return expectedSender // others reject the request
	}
	return unknownSender
}

// observeSender records what the response to a request that was sent at sentAt says of
// the entries that name its target's address.
func (f *Fleet) observeSender(now, sentAt time.Time, t *targetState, s sender) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch s {
	case otherSender:
		f.refute(now, t)
	case expectedSender:
		for _, o := range f.targetsAt(t.replica) {
			// A target that started since the request may have replaced its sender.
			if o.replica.ID != t.replica.ID && o.added.Before(sentAt) {
				f.refute(now, o)
			}
		}
		f.confirm(t.replica)
	}
}

// observeStart records what a targetd's report says of the entries that name its engine's
// address. The caller holds mu.
func (f *Fleet) observeStart(now time.Time, t *targetState, s peer.EngineState) {
	if !s.Reachable || s.Started == 0 {
		return
	}
	known := false
	isEngine := func(r target.Replica) bool {
		return r.Addr == t.replica.Addr && r.Started.UnixMilli() == s.Started
	}
	others := f.targetsAt(t.replica)
	for _, o := range others {
		known = known || isEngine(o.replica)
	}
	for _, r := range f.superseded {
		known = known || isEngine(r)
	}
	if !known {
		return // the engine's entry is not listed yet
	}
	for _, o := range others {
		if isEngine(o.replica) {
			f.confirm(o.replica)
		} else {
			f.refute(now, o)
		}
	}
}

// targetsAt returns the targets at the address of r. The caller holds mu.
func (f *Fleet) targetsAt(r target.Replica) []*targetState {
	var found []*targetState
	for _, t := range f.targets {
		if t.replica.Addr == r.Addr {
			found = append(found, t)
		}
	}
	return found
}

// refute records that another target is at the address of t, which is then avoided and
// supersedes no other. The caller holds mu.
func (f *Fleet) refute(now time.Time, t *targetState) {
	t.avoidUntil = now.Add(refutedAvoidTime)
	n := f.noticeOf(t.replica.Incarnation())
	if n.refuted {
		return
	}
	n.refuted = true
	f.logState(t.replica, "refuted")
	if t.endedWithoutNotice() {
		f.reportEnded(now, t.replica, sourceResponse, true)
	}
	f.reinstate(now)
}

// confirm ends the refutation of the target with the entry r, if there is one. The caller
// holds mu.
func (f *Fleet) confirm(r target.Replica) {
	if n := f.notices[r.Incarnation()]; n != nil && n.refuted {
		n.refuted = false
		f.logState(r, "confirmed")
		if t := f.targets[r.ID]; t != nil {
			t.avoidUntil = time.Time{}
		}
	}
}
