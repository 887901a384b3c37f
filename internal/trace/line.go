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

// Line is one line of a log.
type Line struct {
	Process string
	Name    string // of the event
	At      time.Duration
	Fields  map[string]any

	order int // in which the line was read
}

// common are the fields that every line has.
var common = map[string]bool{
	"level": true, "program": true, "process": true, "event": true, "name": true, "time": true, "request": true,
}

// parse returns the line in text, and false if there is none. What stands before
// the object may begin with a time in seconds, which is finer than the line's own.
func parse(text []byte) (Line, bool) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	l := Line{}
	if json.Unmarshal(text[i:], &l.Fields) != nil {
		return Line{}, false
	}
	l.Process, l.Name = l.text("process"), l.text("name")
	if l.Process == "" || l.Name == "" {
		return Line{}, false
	}
	if at, err := time.Parse(time.RFC3339Nano, l.text("time")); err == nil {
		l.At = time.Duration(at.UnixNano())
	}
	if before := strings.Fields(string(text[:i])); len(before) > 0 {
		if s, err := strconv.ParseFloat(before[0], 64); err == nil {
			l.At = time.Duration(s * float64(time.Second))
		}
	}
	return l, true
}

// text returns a field as text, empty if it has none.
func (l *Line) text(field string) string {
	s, ok := l.Fields[field].(string)
	if !ok {
		return ""
	}
	return s
}

// String returns the line without the fields that all lines have.
func (l *Line) String() string {
	var names []string
	for f := range l.Fields {
		if !common[f] {
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
