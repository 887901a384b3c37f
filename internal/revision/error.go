package revision

import "fmt"

// Kind classifies an Error.
type Kind uint8

// Incomplete means that the sources did not provide all sections of a revision.
const Incomplete Kind = 1

// Error is the error type of this package.
type Error struct {
	Op   string // operation that failed
	Kind Kind
	Err  error // cause, if any
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("revision: %s: sections are missing", e.Op)
	}
	return fmt.Sprintf("revision: %s: sections are missing: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
