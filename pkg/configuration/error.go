package configuration

import "fmt"

// Kind classifies an Error.
type Kind uint8

// Corrupt means that encoded data can't be decoded or does not match its digest.
const Corrupt Kind = 1

// Error is the error type of this package.
type Error struct {
	Op      string // operation that failed
	Kind    Kind
	Section string // name of the section, if any
	Err     error  // cause, if any
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("configuration: %s: section %q is corrupt", e.Op, e.Section)
	}
	return fmt.Sprintf("configuration: %s: section %q is corrupt: %v", e.Op, e.Section, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
