package questionnaire

import "fmt"

// Kind classifies an Error.
type Kind uint8

// The kinds of error.
const (
	Unreadable Kind = iota + 1 // the file cannot be read
	Malformed                  // the file is not a valid INI file
	BadAnswer                  // a value is missing or not allowed
)

// Error is the error type of this package.
type Error struct {
	Op   string // operation that failed
	Kind Kind
	Err  error // cause
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("questionnaire: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
