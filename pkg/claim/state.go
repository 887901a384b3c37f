package claim

import (
	"context"

	"github.com/qmuntal/stateless"
)

// State is the state of one key's record.
type State uint8

// The states of a record. Their numbers are stored and never reused.
const (
	Absent   State = iota // there is no record
	Claimed               // a targetd runs the request, or died while it did
	Void                  // nobody runs the request
	Answered              // the request ran and was answered
	Broken                // the request may have run; its outcome is not known
	stateCount
)

var stateNames = [stateCount]string{
	Absent:   "absent",
	Claimed:  "claimed",
	Void:     "void",
	Answered: "answered",
	Broken:   "broken",
}

// String returns the state's name in logs.
func (s State) String() string {
	if s >= stateCount {
		return "unrecognised"
	}
	return stateNames[s]
}

// trigger is a change of a record.
type trigger uint8

const (
	take    trigger = iota // a targetd claims
	void                   // a claim is given back, or an attempt excluded
	answer                 // the outcome is an answer
	breakUp                // the outcome is not known
)

// moved returns the state that t leads to from s. It panics if the protocol
// has no such change.
func moved(s State, t trigger) State {
	m := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return s, nil },
		func(_ context.Context, next stateless.State) error {
			s = next.(State)
			return nil
		},
		stateless.FiringImmediate,
	)
	m.Configure(Absent).Permit(take, Claimed).Permit(void, Void)
	m.Configure(Claimed).PermitReentry(take).Permit(void, Void).Permit(answer, Answered).Permit(breakUp, Broken)
	m.Configure(Void).Permit(take, Claimed).PermitReentry(void)
	m.Configure(Broken).Permit(answer, Answered)
	if err := m.Fire(t); err != nil {
		panic("claim: " + err.Error())
	}
	return s
}
