package trace

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind classifies an Error.
type Kind uint8

// The kinds of error.
const (
	Unreadable Kind = iota + 1 // the log cannot be read
	NoLines                    // the log contains no log lines of the daemons
)

var kindNames = map[Kind]string{Unreadable: "unreadable", NoLines: "no log lines"}

// Error is the error type of this package.
type Error struct {
	Op   string // operation that failed
	Kind Kind
	Err  error // cause, if any
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("trace: %s: %s", e.Op, kindNames[e.Kind])
	}
	return fmt.Sprintf("trace: %s: %s: %v", e.Op, kindNames[e.Kind], e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is, or wraps, an *Error of kind k.
func IsKind(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
