package entry

import "fmt"

// Kind classifies an Error.
type Kind uint8

// The kinds of error.
const (
	BadBody Kind = iota + 1 // the body is not a JSON object
	NoModel                 // the body has no "model" string
	NotSent                 // an attempt was never written to a connection
)

var kindNames = map[Kind]string{
	BadBody: "the body is not a JSON object",
	NoModel: `the body has no "model" text`,
	NotSent: "the target cannot be reached",
}

// Error is the error type of this package.
type Error struct {
	Op   string // operation that failed
	Kind Kind
	Err  error // underlying error, may be nil
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, kindNames[e.Kind])
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, kindNames[e.Kind], e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
