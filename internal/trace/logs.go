package trace

import (
	"bufio"
	"errors"
	"io"
	"sort"
	"strings"
	"time"
)

// maxLineBytes is the maximum length of a line of a log.
const maxLineBytes = 1 << 20

// viewEvent describes an event that changes a process's view of the cluster.
type viewEvent struct {
	topic        string // a later event of the same topic and subject replaces an earlier one
	subjectField string // log field that names the subject, empty for the process as a whole
}

// viewEvents are the events that change a process's view of the cluster, by name.
var viewEvents = map[string]viewEvent{
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

// Entry is one line of a request's timeline.
type Entry struct {
	Line        Line
	InitialView bool          // the line is part of the process's view before the request, not a later event
	Age         time.Duration // of a line of the view, at the first line of the request
}

// Logs holds the lines of one or more logs. The zero value is empty and ready to
// use.
type Logs struct {
	lines []Line
}

// Read adds the lines of a log. Lines of other programs are skipped. The error is of
// kind NoLines if no line of a daemon is found, or Unreadable.
func (logs *Logs) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	found := false
	for scanner.Scan() {
		l, ok := parse(scanner.Bytes())
		if !ok {
			continue
		}
		found = true
		l.index = len(logs.lines)
		logs.lines = append(logs.lines, l)
	}
	if err := scanner.Err(); err != nil {
		return &Error{Op: "read", Kind: Unreadable, Err: err}
	}
	if !found {
		return &Error{Op: "read", Kind: NoLines, Err: errors.New("no line is a JSON object with a process and an event name")}
	}
	return nil
}

// Timeline returns the timeline of a request: first the views that the
// processes which decided on it had of the targets and adapters concerned, with
// the changes of these views until its last line, then the lines of the request
// in order of time. It is empty if no line contains the request's ID.
func (logs *Logs) Timeline(request string) []Entry {
	var matching []Line
	processes, subjects := map[string]bool{}, map[string]bool{}
	for _, l := range logs.lines {
		if l.stringField("request") != request {
			continue
		}
		matching = append(matching, l)
		processes[l.Process] = true
		subjects[l.stringField("target")] = true
		subjects[l.stringField("adapter")] = true
		targets := attemptTargets(l)
		for _, t := range targets {
			subjects[t] = true
		}
		if l.Name == "request_failed" && len(targets) == 0 {
			subjects[l.stringField("service")] = true // the states of all its targets explain why none was found
		}
	}
	delete(subjects, "") // lines without the field
	if len(matching) == 0 {
		return nil
	}
	sort.SliceStable(matching, func(i, j int) bool { return matching[i].At < matching[j].At })
	entries := logs.viewEntries(processes, subjects, matching)
	for _, l := range matching {
		entries = append(entries, Entry{Line: l})
	}
	return entries
}

// clearView removes the view of a process.
func clearView(view map[string]Entry, process string) {
	for key := range view {
		if strings.HasPrefix(key, process+" ") {
			delete(view, key)
		}
	}
}

// attemptTargets returns the targets of the attempts that the line of a failed
// request lists.
func attemptTargets(l Line) []string {
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

// viewEntries returns the views that the processes had at the first line of the
// request, which are the last lines of each topic and subject, and the lines that
// changed these views until the last line of the request.
func (logs *Logs) viewEntries(processes, subjects map[string]bool, matching []Line) []Entry {
	first, last := matching[0].At, matching[len(matching)-1].At
	view := map[string]Entry{}
	var during []Entry
	for _, l := range logs.lines {
		event, ok := viewEvents[l.Name]
		if !ok || !processes[l.Process] || l.At > last {
			continue
		}
		subject := l.stringField(event.subjectField)
		if (event.subjectField == "target" || event.subjectField == "adapter") && !subjects[subject] && !subjects[l.stringField("service")] {
			continue
		}
		if l.Name == "started" && l.At <= first {
			clearView(view, l.Process) // a restarted process has lost its view
		}
		if l.At > first {
			during = append(during, Entry{Line: l})
			continue
		}
		view[l.Process+" "+event.topic+" "+subject] = Entry{Line: l, InitialView: true, Age: first - l.At}
	}
	var out []Entry
	for _, e := range view {
		out = append(out, e)
	}
	out = append(out, during...)
	sort.Slice(out, func(i, j int) bool { return out[i].Line.index < out[j].Line.index })
	return out
}
