package peer

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind classifies an Error.
type Kind uint8

// The kinds of error.
const (
	BadMessage  Kind = iota + 1 // the bytes can't be decoded, or the message is not allowed at this point of the protocol
	BadKey                      // the peer did not prove that it knows the peer key
	Closed                      // the connection is closed
	Unreachable                 // the connection could not be opened
	Silent                      // nothing was received within the timeout, or the process was paused
	Overflow                    // the send queue is full
)

var kindNames = map[Kind]string{
	BadMessage:  "malformed message",
	BadKey:      "wrong peer key",
	Closed:      "connection closed",
	Unreachable: "peer unreachable",
	Silent:      "peer silent",
	Overflow:    "send queue full",
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
		return fmt.Sprintf("peer: %s: %s", e.Op, kindNames[e.Kind])
	}
	return fmt.Sprintf("peer: %s: %s: %v", e.Op, kindNames[e.Kind], e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is, or wraps, an *Error of kind k.
func IsKind(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
