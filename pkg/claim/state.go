package claim

import (
	"context"

	"github.com/qmuntal/stateless"
)

// State is the state of one key's record.
type State uint8

// The states of a record. Their numbers are stored and never reused.
const (
	Absent      State = iota // no record exists
	Claimed                  // a targetd runs the request, or ended while it ran it
	Void                     // no claim is held
	Answered                 // the request ran and was answered
	Interrupted              // the request may have run; its outcome is unknown
	stateCount
)

var stateNames = [stateCount]string{
	Absent:      "absent",
	Claimed:     "claimed",
	Void:        "void",
	Answered:    "answered",
	Interrupted: "broken",
}

// String returns the state's name in logs.
func (s State) String() string {
	if s >= stateCount {
		return "unrecognised"
	}
	return stateNames[s]
}

// trigger is an event that changes the state of a record.
type trigger uint8

const (
	triggerClaim     trigger = iota // a targetd claims the key
	triggerVoid                     // a claim is released, or an attempt voided
	triggerAnswer                   // the run ended with an answer
	triggerInterrupt                // the run ended without an answer
)

// nextState returns the state to which t leads from s. It panics if the protocol
// has no such transition.
func nextState(s State, t trigger) State {
	m := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return s, nil },
		func(_ context.Context, next stateless.State) error {
			s = next.(State)
			return nil
		},
		stateless.FiringImmediate,
	)
	m.Configure(Absent).Permit(triggerClaim, Claimed).Permit(triggerVoid, Void)
	m.Configure(Claimed).PermitReentry(triggerClaim).Permit(triggerVoid, Void).Permit(triggerAnswer, Answered).Permit(triggerInterrupt, Interrupted)
	m.Configure(Void).Permit(triggerClaim, Claimed).PermitReentry(triggerVoid)
	m.Configure(Interrupted).Permit(triggerAnswer, Answered)
	if err := m.Fire(t); err != nil {
		panic("claim: " + err.Error())
	}
	return s
}
