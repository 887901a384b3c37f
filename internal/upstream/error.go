package upstream

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind classifies an Error.
type Kind uint8

// The kinds of error.
const (
	Unreachable Kind = iota + 1 // no connection could be opened; the request was never sent
	NotSent                     // the context was done before any byte of the request was written
	Broken                      // the connection failed before a complete response
	Mismatched                  // the responses on the connection are not to the request
)

var kindNames = map[Kind]string{
	Unreachable: "unreachable",
	NotSent:     "not sent",
	Broken:      "connection broken",
	Mismatched:  "not a response to the request",
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
		return fmt.Sprintf("upstream: %s: %s", e.Op, kindNames[e.Kind])
	}
	return fmt.Sprintf("upstream: %s: %s: %v", e.Op, kindNames[e.Kind], e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// WasSent reports whether a request that failed with err may have reached the
// target. It is false for errors of other packages.
func WasSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind != Unreachable && e.Kind != NotSent
}
