package claim

import "fmt"

// Kind classifies an Error.
type Kind uint8

// The kinds of error.
const (
	Corrupt Kind = iota + 1 // the bytes are not an encoded record
)

// Error is the error type of this package.
type Error struct {
	Op   string // operation that failed
	Kind Kind
	Err  error // cause, if any
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("claim: %s: record is corrupt", e.Op)
	}
	return fmt.Sprintf("claim: %s: record is corrupt: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
