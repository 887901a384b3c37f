package operator

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind classifies an Error.
type Kind uint8

// The kinds of error.
const (
	BadFlag        Kind = iota + 1 // a flag's value is not valid
	Conflict                       // another change was accepted first
	NoTarget                       // there is no target with that name
	OutcomeUnknown                 // it is unknown whether the change was accepted

	PartlyInForce // the change is accepted but not yet in force in every process
	NoReport      // the change is accepted but the entryd did not report where it is in force

	Unreadable    // a file can't be read
	NoSuchRequest // no log line has the request's id

	Unreachable // the entryd did not answer
	Refused     // the entryd refused the request
)

var kindNames = map[Kind]string{
	BadFlag:        "invalid flag",
	Conflict:       "another change was accepted first; your answers are kept",
	NoTarget:       "there is no such target",
	OutcomeUnknown: "it is unknown whether the change was accepted; run diff",

	PartlyInForce: "accepted, and not yet in force in every process",
	NoReport:      "accepted, but the entryd did not report where it is in force",

	Unreadable:    "the file can't be read",
	NoSuchRequest: "no line of these logs names the request",

	Unreachable: "the entryd did not answer",
	Refused:     "the entryd refused the request",
}

// Error is the error type of this package.
type Error struct {
	Op   string // operation that failed
	Kind Kind
	Err  error // cause, if any
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, kindNames[e.Kind])
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, kindNames[e.Kind], e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func isKind(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
