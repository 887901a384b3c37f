package objects

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind classifies an Error.
type Kind uint8

// The kinds of error.
const (
	NotFound    Kind = iota + 1 // the object does not exist
	Conflict                    // the object's version is not the expected one
	Unavailable                 // the API did not carry out the call
	Uncertain                   // a write may or may not have taken effect
	HistoryGone                 // the store no longer keeps the changes after the version of a watch
)

var kindNames = map[Kind]string{
	NotFound:    "not found",
	Conflict:    "version conflict",
	Unavailable: "unavailable",
	Uncertain:   "outcome uncertain",
	HistoryGone: "history gone",
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
		return fmt.Sprintf("objects: %s: %s", e.Op, kindNames[e.Kind])
	}
	return fmt.Sprintf("objects: %s: %s: %v", e.Op, kindNames[e.Kind], e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is, or wraps, an *Error of kind k.
func IsKind(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
