package trace

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Line is a parsed line of a log.
type Line struct {
	Process string
	Name    string        // name of the event
	At      time.Duration // since the Unix epoch, or the time in the line's prefix
	Fields  map[string]any

	index int // position in the order of reading
}

// commonFields are the fields common to all lines of a timeline. String omits them.
var commonFields = map[string]bool{
	"level": true, "program": true, "process": true, "event": true, "name": true, "time": true, "request": true,
}

// parse parses a line of a log and reports whether it is a line of a daemon. If
// the prefix of the object begins with a time in seconds, this time replaces the
// less precise one of the object.
func parse(text []byte) (Line, bool) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	l := Line{}
	if json.Unmarshal(text[i:], &l.Fields) != nil {
		return Line{}, false
	}
	l.Process, l.Name = l.stringField("process"), l.stringField("name")
	if l.Process == "" || l.Name == "" {
		return Line{}, false
	}
	if at, err := time.Parse(time.RFC3339Nano, l.stringField("time")); err == nil {
		l.At = time.Duration(at.UnixNano())
	}
	if prefix := strings.Fields(string(text[:i])); len(prefix) > 0 {
		if s, err := strconv.ParseFloat(prefix[0], 64); err == nil {
			l.At = time.Duration(s * float64(time.Second))
		}
	}
	return l, true
}

// stringField returns the value of a field, or an empty string if the field is
// missing or not a string.
func (l *Line) stringField(field string) string {
	s, ok := l.Fields[field].(string)
	if !ok {
		return ""
	}
	return s
}

// String returns the name of the event and its fields in alphabetical order,
// without the common fields.
func (l *Line) String() string {
	var names []string
	for f := range l.Fields {
		if !commonFields[f] {
			names = append(names, f)
		}
	}
	sort.Strings(names)
	var b strings.Builder
	b.WriteString(l.Name)
	for _, f := range names {
		_, _ = fmt.Fprintf(&b, " %s=%v", f, l.Fields[f])
	}
	return b.String()
}
