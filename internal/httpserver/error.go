package httpserver

import "fmt"

// Kind classifies an Error.
type Kind uint8

// The kinds of error.
const (
	Unavailable    Kind = iota + 1 // the listener cannot be opened or serving failed
	BadCertificate                 // the certificate or its key cannot be loaded
)

// Error is the error type of this package.
type Error struct {
	Op   string // operation that failed
	Kind Kind
	Err  error // cause
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("httpserver: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
