package residency

import (
	"context"

	"github.com/qmuntal/stateless"
)

// State is the state of one adapter version at an engine.
type State uint8

// The states of an adapter version.
const (
	Absent State = iota
	Loading
	Resident
	Unloading
)

// String returns the name of the state as used in logs.
func (s State) String() string {
	switch s {
	case Absent:
		return "absent"
	case Loading:
		return "loading"
	case Resident:
		return "resident"
	case Unloading:
		return "unloading"
	}
	return "unrecognised"
}

// trigger is an event that moves an adapter version between states.
type trigger uint8

const (
	loadOrdered trigger = iota
	loadDone
	loadFailed
	unloadOrdered
	unloadDone
	adapterLost // the engine does not hold the adapter any more, for example after its restart
)

// newMachine returns a state machine that operates on the entry selected by
// cursor, so that all entries of a table share one machine.
func newMachine(cursor *entryCursor) *stateless.StateMachine {
	read := func(context.Context) (stateless.State, error) { return cursor.entry.state, nil }
	write := func(_ context.Context, s stateless.State) error {
		cursor.entry.state = s.(State)
		return nil
	}
	unpinned := func(context.Context, ...any) bool { return cursor.entry.pins == 0 }

	m := stateless.NewStateMachineWithExternalStorage(read, write, stateless.FiringImmediate)
	m.Configure(Absent).
		Permit(loadOrdered, Loading).
		Ignore(adapterLost)
	m.Configure(Loading).
		Permit(loadDone, Resident).
		Permit(loadFailed, Absent).
		Permit(adapterLost, Absent)
	m.Configure(Resident).
		Permit(unloadOrdered, Unloading, unpinned).
		Permit(adapterLost, Absent)
	m.Configure(Unloading).
		Permit(unloadDone, Absent).
		Permit(adapterLost, Absent)
	return m
}

// entryCursor selects the entry that the state machine operates on.
type entryCursor struct {
	entry *entry
}
