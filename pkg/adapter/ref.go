package adapter

import (
	"fmt"
	"strconv"
	"strings"
)

// MaxNameLen is the maximum length of a name, in bytes.
const MaxNameLen = 128

// Version is the number of an adapter's version, starting at 1. Zero means that
// no version is specified.
type Version uint32

// Ref identifies one version of one adapter within its team.
type Ref struct {
	Name    string
	Version Version
}

// ParseRef parses "name" or "name@version". The name must satisfy ValidName and
// the version, when present, must be a decimal number from 1 to 2³²-1.
// It returns an *Error of kind BadRef otherwise.
func ParseRef(s string) (Ref, error) {
	name, version, found := strings.Cut(s, "@")
	if !ValidName(name) {
		return Ref{}, &Error{Op: "parse", Kind: BadRef, Text: s}
	}
	if !found {
		return Ref{Name: name}, nil
	}
	n, err := strconv.ParseUint(version, 10, 32)
	if err != nil || n == 0 {
		return Ref{}, &Error{Op: "parse", Kind: BadRef, Text: s}
	}
	return Ref{Name: name, Version: Version(n)}, nil
}

// HasVersion reports whether r specifies a version.
func (r Ref) HasVersion() bool { return r.Version != 0 }

// String returns "name@version", or "name" when no version is specified.
func (r Ref) String() string {
	if r.Version == 0 {
		return r.Name
	}
	return r.Name + "@" + strconv.FormatUint(uint64(r.Version), 10)
}

// ValidName reports whether s is a valid name of an adapter, a team, a service
// or a target: 1 to MaxNameLen bytes of lower-case letters, digits, '-', '_' and
// '.', starting with a letter or a digit.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxNameLen {
		return false
	}
	for i := 0; i < len(s); i++ {
		if !validNameByte(s[i], i == 0) {
			return false
		}
	}
	return true
}

func validNameByte(c byte, first bool) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= '0' && c <= '9':
		return true
	case c == '-', c == '_', c == '.':
		return !first
	}
	return false
}

// Kind classifies an Error.
type Kind uint8

// BadRef means that the input is not a valid adapter reference or ID.
const BadRef Kind = 1

// Error is the error type of this package.
type Error struct {
	Op   string // operation that failed
	Kind Kind
	Text string // invalid input
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("adapter: %s: %q is not name, name@version or team/name@version", e.Op, e.Text)
}
