package registration

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind classifies an Error.
type Kind uint8

// The kinds of error.
const (
	Corrupt   Kind = iota + 1 // a registration can't be decoded
	Contended                 // every attempt conflicted with another writer
	Replaced                  // another process has registered the target since, or its object was deleted
)

var kindNames = map[Kind]string{
	Corrupt:   "corrupt registration",
	Contended: "too many conflicting writes",
	Replaced:  "replaced by another process",
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
		return fmt.Sprintf("registration: %s: %s", e.Op, kindNames[e.Kind])
	}
	return fmt.Sprintf("registration: %s: %s: %v", e.Op, kindNames[e.Kind], e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsReplaced reports whether err is an Error of kind Replaced.
func IsReplaced(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == Replaced
}
