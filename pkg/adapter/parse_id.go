package adapter

import "strings"

// ParseID parses "team/name@version", the inverse of ID.String. Both names must
// satisfy ValidName and the version must be present. It returns an *Error of
// kind BadRef otherwise.
func ParseID(s string) (ID, error) {
	team, rest, found := strings.Cut(s, "/")
	ref, err := ParseRef(rest)
	if !found || err != nil || !ValidName(team) || !ref.HasVersion() {
		return ID{}, &Error{Op: "parse", Kind: BadRef, Text: s}
	}
	return ID{Team: team, Ref: ref}, nil
}
