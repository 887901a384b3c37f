package trace

import (
	"bufio"
	"errors"
	"io"
	"sort"
	"strings"
	"time"
)

// mostLine bounds one line of a log.
const mostLine = 1 << 20

// belief says what an event changes the belief of.
type belief struct {
	of    string // a later event of the same belief replaces an earlier one
	field string // that names the thing, empty for the process as a whole
}

// beliefs are the events that change what a process believes.
var beliefs = map[string]belief{
	"started":           {"process", ""},
	"stopping":          {"process", ""},
	"settings_reloaded": {"settings", ""},
	"revision_in_force": {"revision", ""},
	"store_unavailable": {"store", "kind"},
	"store_available":   {"store", "kind"},
	"history_gone":      {"history", "kind"},
	"target_changed":    {"target", "target"},
	"target_unreadable": {"target", "target"},
	"target_avoided":    {"avoided", "target"},
	"peer_connected":    {"peer", "target"},
	"peer_lost":         {"peer", "target"},
	"crash_known":       {"crash", "target"},
	"version_announced": {"version", "adapter"},
}

// Entry is one part of a request's story.
type Entry struct {
	Line   Line
	Belief bool          // held before the request came, rather than decided on it
	Age    time.Duration // of a belief, when the request was first decided on
}

// Story holds the lines of some logs. The zero Story holds none.
type Story struct {
	lines []Line
}

// Read adds the lines of a log.
func (s *Story) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), mostLine)
	found := false
	for scanner.Scan() {
		l, ok := parse(scanner.Bytes())
		if !ok {
			continue
		}
		found = true
		l.order = len(s.lines)
		s.lines = append(s.lines, l)
	}
	if err := scanner.Err(); err != nil {
		return &Error{Op: "read", Kind: Unreadable, Err: err}
	}
	if !found {
		return &Error{Op: "read", Kind: NoLines, Err: errors.New("not a log of these programs")}
	}
	return nil
}

// Of returns the story of a request: first what the processes that decided on it
// believed of the targets and adapters concerned, then the decisions, in order.
// It is empty if no line names the request.
func (s *Story) Of(request string) []Entry {
	var own []Line
	processes, things := map[string]bool{}, map[string]bool{}
	for _, l := range s.lines {
		if l.text("request") != request {
			continue
		}
		own = append(own, l)
		processes[l.Process] = true
		things[l.text("target")] = true
		things[l.text("adapter")] = true
		targets := trail(l)
		for _, t := range targets {
			things[t] = true
		}
		if l.Name == "request_failed" && len(targets) == 0 {
			things[l.text("service")] = true // why no target was found
		}
	}
	delete(things, "") // lines without the field
	if len(own) == 0 {
		return nil
	}
	sort.SliceStable(own, func(i, j int) bool { return own[i].At < own[j].At })
	entries := s.believed(processes, things, own)
	for _, l := range own {
		entries = append(entries, Entry{Line: l})
	}
	return entries
}

// forget removes what a process believed.
func forget(held map[string]Entry, process string) {
	for key := range held {
		if strings.HasPrefix(key, process+" ") {
			delete(held, key)
		}
	}
}

// trail returns the targets that the line of a failed request names.
func trail(l Line) []string {
	list, ok := l.Fields["targets"].([]any)
	if !ok {
		return nil
	}
	var out []string
	for _, item := range list {
		text, ok := item.(string)
		if !ok {
			continue
		}
		if words := strings.Fields(text); len(words) > 1 {
			out = append(out, words[1])
		}
	}
	return out
}

// believed returns the last line of each belief that the processes held when they
// decided on the request, and those that changed while it went on.
func (s *Story) believed(processes, things map[string]bool, own []Line) []Entry {
	first, last := own[0].At, own[len(own)-1].At
	held := map[string]Entry{}
	var during []Entry
	for _, l := range s.lines {
		b, ok := beliefs[l.Name]
		if !ok || !processes[l.Process] || l.At > last {
			continue
		}
		subject := l.text(b.field)
		if (b.field == "target" || b.field == "adapter") && !things[subject] && !things[l.text("service")] {
			continue
		}
		if l.Name == "started" && l.At <= first {
			forget(held, l.Process) // an earlier start's beliefs are gone
		}
		if l.At > first {
			during = append(during, Entry{Line: l})
			continue
		}
		held[l.Process+" "+b.of+" "+subject] = Entry{Line: l, Belief: true, Age: first - l.At}
	}
	var out []Entry
	for _, e := range held {
		out = append(out, e)
	}
	out = append(out, during...)
	sort.Slice(out, func(i, j int) bool { return out[i].Line.order < out[j].Line.order })
	return out
}
