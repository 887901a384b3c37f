package engine

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind classifies an Error.
type Kind uint8

// The kinds of error.
const (
	NotStarted  Kind = iota + 1 // the request certainly did not run
	NotResident                 // the request did not run, because its adapter is not resident
	Uncertain                   // the call failed part-way and may have taken effect, or the response is malformed
	Refused                     // the engine refused an order, or the call is invalid
	Fenced                      // the engine has seen a higher fencing token
	Unavailable                 // the engine accepts no orders at present, for example while it starts
)

var kindNames = map[Kind]string{
	NotStarted:  "not started",
	NotResident: "adapter not resident",
	Uncertain:   "call interrupted",
	Refused:     "refused",
	Fenced:      "stale fencing token",
	Unavailable: "unavailable",
}

// Error is the error type of this package.
type Error struct {
	Op     string // operation that failed
	Kind   Kind
	Status int   // HTTP status of a refusal, otherwise zero
	Err    error // underlying error, may be nil
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("engine: %s: %s: %v", e.Op, kindNames[e.Kind], e.Err)
	}
	return fmt.Sprintf("engine: %s: %s (status %d)", e.Op, kindNames[e.Kind], e.Status)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is, or wraps, an *Error of kind k.
func IsKind(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
