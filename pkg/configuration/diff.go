package configuration

import (
	"fmt"
	"sort"
)

// Change is one difference between two configurations.
type Change struct {
	Kind    ChangeKind
	Subject string // "team NAME", "adapter TEAM/NAME", ...
	Before  string // empty if the subject was added
	After   string // empty if the subject was removed
}

// ChangeKind is the way in which a subject differs.
type ChangeKind uint8

// The kinds of change.
const (
	Added ChangeKind = iota
	Removed
	Changed
)

// String returns the change as one line of a diff: "+", "-" or "~", the
// subject, and its values before and after.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s: %s", c.Subject, c.After)
	case Removed:
		return fmt.Sprintf("- %s: %s", c.Subject, c.Before)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Subject, c.Before, c.After)
}

// Diff returns the changes from a to b, sorted by subject. A nil Configuration
// counts as empty.
func Diff(a, b *Configuration) []Change {
	before, after := describeSubjects(a), describeSubjects(b)
	var out []Change
	for s, text := range before {
		now, kept := after[s]
		switch {
		case !kept:
			out = append(out, Change{Kind: Removed, Subject: s, Before: text})
		case now != text:
			out = append(out, Change{Kind: Changed, Subject: s, Before: text, After: now})
		}
	}
	for s, text := range after {
		if _, known := before[s]; !known {
			out = append(out, Change{Kind: Added, Subject: s, After: text})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Subject < out[j].Subject })
	return out
}

// describeSubjects returns a text for every part of c that can change
// independently, keyed by subject.
func describeSubjects(c *Configuration) map[string]string {
	out := map[string]string{}
	if c == nil {
		return out
	}
	for i := range c.Teams {
		t := &c.Teams[i]
		out["team "+t.Name] = describeKeys(t.Keys)
		for _, s := range t.Services {
			out["service "+t.Name+"/"+s.Name] = describeService(s)
		}
	}
	for i := range c.Adapters {
		a := &c.Adapters[i]
		out["adapter "+a.Team+"/"+a.Name] = fmt.Sprintf("service %s, versions %v, in force %d", a.Service, a.Versions, a.Current)
	}
	return out
}

func describeKeys(keys []Digest) string {
	var short []string
	for _, k := range keys {
		short = append(short, k.String()[:8])
	}
	sort.Strings(short)
	return fmt.Sprintf("key digests %v", short)
}

func describeService(s Service) string {
	if s.Kind == PlainService {
		return "plain"
	}
	return fmt.Sprintf("model %s, lends %g to %v, refuses stale orders %t", s.Base, s.Lending.Share, s.Lending.Borrowers, s.RefusesStaleOrders)
}
