package inifile

import (
	"net/netip"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/borageusher/borageusher/pkg/adapter"
)

// File is an INI file. Its getters record the first error, which Done returns.
type File struct {
	path      string
	ini       *ini.File
	requested map[keyRef]bool
	err       error
}

// keyRef identifies a key of a file.
type keyRef struct{ section, key string }

// Open reads and parses the file at path. The error is of kind Unreadable or
// Malformed.
func Open(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "open", Kind: Unreadable, Path: path, Err: err}
	}
	return Parse(path, data)
}

// Parse parses the contents of a file. It uses path in errors only, which are of kind
// Malformed.
func Parse(path string, data []byte) (*File, error) {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, AllowShadows: true}, data)
	if err != nil {
		return nil, &Error{Op: "parse", Kind: Malformed, Path: path, Err: err}
	}
	return &File{path: path, ini: f, requested: map[keyRef]bool{}}, nil
}

// Done returns the first error that a getter recorded, or an error of kind UnknownKey
// for the first key that no getter requested. It must be called after all getters.
func (f *File) Done() error {
	if f.err != nil {
		return f.err
	}
	for _, s := range f.ini.Sections() {
		for _, k := range s.Keys() {
			if !f.requested[keyRef{s.Name(), k.Name()}] {
				return &Error{Op: "check", Kind: UnknownKey, Path: f.path, Section: s.Name(), Key: k.Name()}
			}
		}
	}
	return nil
}

// Sections returns the names of the sections that start with prefix, with the
// prefix removed, in order of appearance.
func (f *File) Sections(prefix string) []string {
	var out []string
	for _, s := range f.ini.Sections() {
		if rest, ok := strings.CutPrefix(s.Name(), prefix); ok && s.Name() != ini.DefaultSection {
			out = append(out, rest)
		}
	}
	return out
}

// Keys returns the keys of a section in order of appearance.
func (f *File) Keys(section string) []string {
	if !f.ini.HasSection(section) {
		return nil
	}
	return f.ini.Section(section).KeyStrings()
}

// Fail records that the value of a key is not allowed, unless an error has been
// recorded before.
func (f *File) Fail(section, key, found, allowed string) {
	if f.err == nil {
		f.err = &Error{Op: "check", Kind: BadValue, Path: f.path, Section: section, Key: key, Found: found, Allowed: allowed}
	}
}

// Text returns a key's value, which must not be empty.
func (f *File) Text(section, key string) string {
	v, ok := f.lookup(section, key)
	if !ok || v == "" {
		f.Fail(section, key, v, "a value")
	}
	return v
}

// OptionalText returns a key's value, or fallback when the key is missing.
func (f *File) OptionalText(section, key, fallback string) string {
	v, ok := f.lookup(section, key)
	if !ok {
		return fallback
	}
	return v
}

// Name returns a value that satisfies adapter.ValidName.
func (f *File) Name(section, key string) string {
	v, _ := f.lookup(section, key)
	if !adapter.ValidName(v) {
		f.Fail(section, key, v, "a name of lower-case letters, digits, '-', '_' and '.'")
	}
	return v
}

// Names parses a comma-separated list of names and returns them in ascending
// order. The list is empty if the key is missing or its value is empty.
func (f *File) Names(section, key string) []string {
	v, ok := f.lookup(section, key)
	if !ok || v == "" {
		return nil
	}
	var out []string
	for _, part := range strings.Split(v, ",") {
		name := strings.TrimSpace(part)
		if !adapter.ValidName(name) {
			f.Fail(section, key, v, "names separated by commas")
		}
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// Choice returns a value that is one of allowed, or allowed[0] when the key is
// missing or its value is not allowed.
func (f *File) Choice(section, key string, allowed ...string) string {
	v, ok := f.lookup(section, key)
	if !ok {
		return allowed[0]
	}
	for _, a := range allowed {
		if v == a {
			return v
		}
	}
	f.Fail(section, key, v, "one of "+strings.Join(allowed, ", "))
	return allowed[0]
}

// AddrPort returns an IP address with a port.
func (f *File) AddrPort(section, key string) netip.AddrPort {
	v, _ := f.lookup(section, key)
	ap, err := netip.ParseAddrPort(v)
	if err != nil {
		f.Fail(section, key, v, "an IP address and port, such as 10.0.0.1:7000")
	}
	return ap
}

// OptionalAddrPort returns an IP address with a port, or fallback when the key
// is missing.
func (f *File) OptionalAddrPort(section, key string, fallback netip.AddrPort) netip.AddrPort {
	if _, ok := f.lookup(section, key); !ok {
		return fallback
	}
	return f.AddrPort(section, key)
}

// Int returns an integer from lo to hi, or fallback when the key is missing.
func (f *File) Int(section, key string, fallback, lo, hi int) int {
	v, ok := f.lookup(section, key)
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < lo || n > hi {
		f.Fail(section, key, v, "a whole number from "+strconv.Itoa(lo)+" to "+strconv.Itoa(hi))
		return fallback
	}
	return n
}

// Float returns a number from lo to hi, or fallback when the key is missing.
func (f *File) Float(section, key string, fallback, lo, hi float64) float64 {
	v, ok := f.lookup(section, key)
	if !ok {
		return fallback
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || !(x >= lo && x <= hi) {
		f.Fail(section, key, v, "a number from "+formatFloat(lo)+" to "+formatFloat(hi))
		return fallback
	}
	return x
}

// Duration returns a duration from lo to hi, or fallback when the key is missing.
func (f *File) Duration(section, key string, fallback, lo, hi time.Duration) time.Duration {
	v, ok := f.lookup(section, key)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < lo || d > hi {
		f.Fail(section, key, v, "a time from "+lo.String()+" to "+hi.String())
		return fallback
	}
	return d
}

// Bool returns a value that is true or false, or fallback when the key is missing.
func (f *File) Bool(section, key string, fallback bool) bool {
	v, ok := f.lookup(section, key)
	switch {
	case !ok:
		return fallback
	case v == "true":
		return true
	case v != "false":
		f.Fail(section, key, v, "true or false")
	}
	return false
}

// lookup returns a key's value and records that a getter requested the key. A key
// that occurs more than once is an error.
func (f *File) lookup(section, key string) (string, bool) {
	f.requested[keyRef{section, key}] = true
	if !f.ini.HasSection(section) || !f.ini.Section(section).HasKey(key) {
		return "", false
	}
	values := f.ini.Section(section).Key(key).ValueWithShadows()
	if len(values) > 1 {
		f.Fail(section, key, strings.Join(values, "; "), "one value, but the key occurs "+strconv.Itoa(len(values))+" times")
	}
	if len(values) == 0 {
		return "", true
	}
	return values[0], true
}

func formatFloat(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }
