package claims

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind classifies an Error.
type Kind uint8

// The kinds of error.
const (
	// Unavailable: the operation failed because of the object API. It had no
	// effect and will have none.
	Unavailable Kind = iota + 1
	// Uncertain: like Unavailable, but a write may have taken effect or take
	// effect later.
	Uncertain
)

var kindNames = map[Kind]string{
	Unavailable: "object API unavailable",
	Uncertain:   "object API unavailable, a write may still take effect",
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
		return fmt.Sprintf("claims: %s: %s", e.Op, kindNames[e.Kind])
	}
	return fmt.Sprintf("claims: %s: %s: %v", e.Op, kindNames[e.Kind], e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is, or wraps, an *Error of kind k.
func IsKind(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
