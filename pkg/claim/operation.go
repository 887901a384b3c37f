package claim

import "github.com/borageusher/borageusher/pkg/outcome"

// CallKind says what an operation wants of the object API.
type CallKind uint8

// The kinds of call.
const (
	Read  CallKind = iota // get the record
	Write                 // put Record if the version is still Expect
)

// Call is one call of the object API.
type Call struct {
	Kind   CallKind
	Record Record
	Expect uint64 // version of the object, zero for one that must not exist
}

// ReplyKind says what became of a call.
type ReplyKind uint8

// The kinds of reply.
const (
	Done     ReplyKind = iota // the call did what was asked
	Missing                   // there is no record
	Conflict                  // the record has another version
	Refused                   // the call had no effect and will have none
	Failed                    // no answer: a write may take effect, now or later
)

// Reply is the reply to a Call.
type Reply struct {
	Kind    ReplyKind
	Version uint64
	Record  Record // of a Read
}

// VerdictKind says how an operation ended.
type VerdictKind uint8

// The kinds of verdict.
const (
	Undecided VerdictKind = iota
	Run                   // the claim is held: the request may start
	Settled               // what was asked is in the record, or needs not be
	NotRun                // the attempt did not run and never will
	Replay                // the request was answered before
	Unknown               // the request may have run, or runs
)

// Verdict is the end of an operation.
type Verdict struct {
	Kind    VerdictKind
	Reason  outcome.Reason
	Record  Record // as last read or written
	Version uint64
}

// step is what a record leads to: a write, or a verdict at once.
type step struct {
	write   *Record // nil when nothing is to be written
	verdict Verdict // after the write, if any
}

// planner decides one operation on a record, nil when there is none.
type planner interface {
	plan(current *Record) step
}

// Operation is one use of a key's record. It is not safe for concurrent use.
type Operation struct {
	planner planner
	known   bool // current and version are what was last seen
	current *Record
	version uint64
	pending *step // whose write is under way
	maybe   bool
	verdict Verdict
}

// Next returns the call to make, or false when the operation has ended. It may
// be asked again without Tell in between: the call is then to be made again.
func (o *Operation) Next() (Call, bool) {
	if o.verdict.Kind != Undecided {
		return Call{}, false
	}
	if !o.known {
		return Call{Kind: Read}, true
	}
	s := o.planner.plan(o.current)
	if s.write == nil {
		o.end(s.verdict, o.current, o.version)
		return Call{}, false
	}
	o.pending = &s
	return Call{Kind: Write, Record: *s.write, Expect: o.version}, true
}

// Tell takes the reply to the call that Next returned.
func (o *Operation) Tell(r Reply) {
	if o.pending == nil {
		o.tellRead(r)
		return
	}
	s := o.pending
	o.pending = nil
	switch r.Kind {
	case Done:
		o.end(s.verdict, s.write, r.Version)
	case Failed:
		o.maybe = true
		o.known = false
	case Conflict:
		o.known = false
	}
}

func (o *Operation) tellRead(r Reply) {
	switch r.Kind {
	case Done:
		o.known, o.current, o.version = true, &r.Record, r.Version
	case Missing:
		o.known, o.current, o.version = true, nil, 0
	}
}

func (o *Operation) end(v Verdict, record *Record, version uint64) {
	if record != nil {
		v.Record = *record
	}
	v.Version = version
	o.verdict = v
}

// Verdict returns the end of the operation; Undecided before.
func (o *Operation) Verdict() Verdict { return o.verdict }

// MayHaveWritten reports whether a write's answer was lost, so that it can
// still take effect if the operation is given up now.
func (o *Operation) MayHaveWritten() bool { return o.maybe && o.verdict.Kind == Undecided }
