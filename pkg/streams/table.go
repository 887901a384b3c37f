package streams

import (
	"time"

	"github.com/borageusher/borageusher/pkg/placement"
)

// Key identifies a stream.
type Key uint64

// KeyOf returns the key of the stream whose first event answered the request with the
// given id.
func KeyOf(request string) Key { return Key(placement.Mix(placement.Hash(request))) }

// Origin is where a stream began.
type Origin struct {
	Service string
	Version string // of the target's software
}

// Known reports whether a stream with this origin can go on.
func (o Origin) Known() bool { return o.Service != "" && o.Version != "" }

// record is what a Table keeps of one stream. The origin of a stream with contradictory
// records is the zero Origin.
type record struct {
	origin Origin
	until  time.Time
}

// Table keeps the origins of streams for as long as these may go on. It is not safe for
// concurrent use.
type Table struct {
	capacity int
	records  map[Key]record
	texts    map[string]string // one copy of each service and version in records
}

// NewTable returns a table of at most capacity streams.
func NewTable(capacity int) *Table {
	return &Table{capacity: capacity, records: map[Key]record{}, texts: map[string]string{}}
}

// Record keeps the origin of a stream until the given time, and reports whether it did.
// A full table keeps no more streams until others expire. Two streams have the same key if callers use an id
// twice: if their origins differ, that of the key is not known.
func (t *Table) Record(now time.Time, k Key, o Origin, until time.Time) bool {
	if !until.After(now) {
		return false
	}
	r, ok := t.records[k]
	switch {
	case !ok && len(t.records) >= t.capacity:
		return false
	case !ok:
		r = record{origin: Origin{Service: t.text(o.Service), Version: t.text(o.Version)}}
	case r.origin != o:
		r.origin = Origin{}
	}
	if until.After(r.until) {
		r.until = until
	}
	t.records[k] = r
	return true
}

// text returns the table's copy of s.
func (t *Table) text(s string) string {
	if kept, ok := t.texts[s]; ok {
		return kept
	}
	t.texts[s] = s
	return s
}

// Origin returns the origin of a stream and the time until which the stream may go on, and
// false if the origin is not known.
func (t *Table) Origin(now time.Time, k Key) (o Origin, until time.Time, ok bool) {
	r, ok := t.records[k]
	if !ok || !now.Before(r.until) || !r.origin.Known() {
		return Origin{}, time.Time{}, false
	}
	return r.origin, r.until, true
}

// Len returns the number of streams in the table.
func (t *Table) Len() int { return len(t.records) }

// Expire removes the streams that can't go on any more.
func (t *Table) Expire(now time.Time) {
	for k, r := range t.records {
		if !now.Before(r.until) {
			delete(t.records, k)
		}
	}
	if len(t.records) == 0 {
		clear(t.texts)
	}
}
