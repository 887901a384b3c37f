package agent

import (
	"slices"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/placement"
)

// maxHinted is the most adapters that one hint names.
const maxHinted = 128

// hintingSender sends what the target holds before each end of an answer.
type hintingSender struct {
	sender
	hint func() peer.Residency
}

// Send implements sender.
func (s *hintingSender) Send(m peer.Message) (accepted bool, err error) {
	switch m.(type) {
	case peer.End, peer.Refusal:
		if accepted, err = s.sender.Send(s.hint()); err != nil {
			return accepted, err
		}
	}
	return s.sender.Send(m)
}

// Hint returns what the target holds as of the last event.
func (a *Agent) Hint() peer.Residency {
	if h := a.hint.Load(); h != nil {
		return *h
	}
	return peer.Residency{}
}

// publishHint makes what the target holds visible outside the loop.
func (a *Agent) publishHint(now time.Time) {
	held := a.dispatcher.Held()
	held = held[:min(len(held), maxHinted)]
	load := a.dispatcher.Report()
	h := &peer.Residency{
		Adapters: make([]uint64, len(held)),
		Floor:    a.dispatcher.Floor(now),
		Load:     load.Running + load.Ready,
	}
	for i, id := range held {
		h.Adapters[i] = placement.Hash(id.String())
	}
	slices.Sort(h.Adapters)
	a.hint.Store(h)
}
