package gossip

import "fmt"

// Kind classifies an Error.
type Kind uint8

// The kinds of error.
const (
	NoAnswer  Kind = iota + 1 // the peer did not answer in time, or disconnected
	BadAnswer                 // the answer does not match the request or lacks state that the peer announced
)

var kindNames = map[Kind]string{
	NoAnswer:  "no answer from the peer",
	BadAnswer: "unexpected answer from the peer",
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
		return fmt.Sprintf("gossip: %s: %s", e.Op, kindNames[e.Kind])
	}
	return fmt.Sprintf("gossip: %s: %s: %v", e.Op, kindNames[e.Kind], e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
