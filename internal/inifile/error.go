package inifile

import "fmt"

// Kind classifies an Error.
type Kind uint8

// The kinds of error.
const (
	Unreadable Kind = iota + 1 // the file cannot be read
	Malformed                  // the file is not a valid INI file
	UnknownKey                 // a key that no getter asked for
	BadValue                   // a value that is missing, repeated or not allowed
)

// Error is the error type of this package.
type Error struct {
	Op      string // operation that failed
	Kind    Kind
	Path    string // path of the file
	Section string
	Key     string
	Found   string // value in the file, empty if there is none
	Allowed string // description of the allowed values
	Err     error  // cause, if any
}

// Error implements the error interface.
func (e *Error) Error() string {
	switch e.Kind {
	case UnknownKey:
		return fmt.Sprintf("%s: [%s] %s: unknown key", e.Path, e.Section, e.Key)
	case BadValue:
		found := "nothing"
		if e.Found != "" {
			found = fmt.Sprintf("%q", e.Found)
		}
		return fmt.Sprintf("%s: [%s] %s: found %s, allowed is %s", e.Path, e.Section, e.Key, found, e.Allowed)
	}
	return fmt.Sprintf("%s: %v", e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
