package checkedhttp

import "fmt"

// Kind classifies an Error.
type Kind uint8

// The kinds of error.
const (
	InvalidStatus Kind = iota + 1 // the status is none of a response to the request
	Truncated                     // the connection ended before the request was written
)

var kindNames = map[Kind]string{
	InvalidStatus: "invalid status",
	Truncated:     "the connection ended before the request was written",
}

// Error is the error type of this package. The request may have run.
type Error struct {
	Op     string // operation that failed
	Kind   Kind
	Status int // of the response, otherwise zero
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Kind == InvalidStatus {
		return fmt.Sprintf("checkedhttp: %s: %s %03d", e.Op, kindNames[e.Kind], e.Status)
	}
	return fmt.Sprintf("checkedhttp: %s: %s", e.Op, kindNames[e.Kind])
}
