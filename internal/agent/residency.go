package agent

import (
	"slices"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/placement"
)

// maxResidencyAdapters is the maximum number of adapters in a peer.Residency.
const maxResidencyAdapters = 128

// residencySender wraps a sender and sends the target's residency before the
// final message of each answer.
type residencySender struct {
	sender
	residency func() peer.Residency
}

// Send implements sender.
func (s *residencySender) Send(m peer.Message) (accepted bool, err error) {
	switch m.(type) {
	case peer.End, peer.Refusal:
		if accepted, err = s.sender.Send(s.residency()); err != nil {
			return accepted, err
		}
	}
	return s.sender.Send(m)
}

// Residency returns the target's residency as of the last event. It is safe for
// concurrent use.
func (a *Agent) Residency() peer.Residency {
	if h := a.residency.Load(); h != nil {
		return *h
	}
	return peer.Residency{}
}

// publishResidency copies the target's residency to where Residency reads it.
func (a *Agent) publishResidency(now time.Time) {
	held := a.dispatcher.Held()
	held = held[:min(len(held), maxResidencyAdapters)]
	load := a.dispatcher.Report()
	r := &peer.Residency{
		Adapters:       make([]uint64, len(held)),
		EvictionDemand: a.dispatcher.EvictionDemand(now),
		Requests:       load.Running + load.Ready,
	}
	for i, id := range held {
		r.Adapters[i] = placement.Hash(id.String())
	}
	slices.Sort(r.Adapters)
	a.residency.Store(r)
}
