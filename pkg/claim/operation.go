package claim

import "github.com/borageusher/borageusher/pkg/outcome"

// CallKind is the kind of a Call.
type CallKind uint8

// The kinds of call.
const (
	Read  CallKind = iota // read the record
	Write                 // write Record if the object still has version Expect
)

// Call is one call to the object API.
type Call struct {
	Kind   CallKind
	Record Record
	Expect uint64 // version of the object; zero if it must not exist
}

// ReplyKind is the result of a Call.
type ReplyKind uint8

// The kinds of reply.
const (
	Done     ReplyKind = iota // the call succeeded
	Missing                   // the record does not exist
	Conflict                  // the object has another version
	Refused                   // the call had no effect and will never have one
	Failed                    // no response: a write may have taken effect, or may do so later
)

// Reply is the reply to a Call.
type Reply struct {
	Kind    ReplyKind
	Version uint64 // of the object
	Record  Record // result of a Read
}

// VerdictKind is the kind of a Verdict.
type VerdictKind uint8

// The kinds of verdict.
const (
	Undecided VerdictKind = iota // the operation has not ended
	Run                          // the claim is held; the request may start
	Recorded                     // the update is in the record, or is not needed any more
	NotRun                       // the attempt did not run and will never run
	Replay                       // the request was answered before; Record holds the answer
	Unknown                      // the request may have run, or is running
)

// Verdict is the result of an operation.
type Verdict struct {
	Kind    VerdictKind
	Reason  outcome.Reason
	Record  Record // as last read or written
	Version uint64 // of the object that holds Record
}

// step is the next action of an operation: a write, or its end.
type step struct {
	write   *Record // nil if nothing is to be written
	verdict Verdict // once the write, if any, has succeeded
}

// planner returns the next step of one kind of operation for the current record,
// which is nil if none exists.
type planner interface {
	plan(current *Record) step
}

// Operation is one update of a key's record, as a state machine. It is not safe
// for concurrent use.
type Operation struct {
	planner        planner
	fresh          bool    // no read is needed before the next write
	current        *Record // nil if none exists
	version        uint64  // of the object that holds current; zero if none exists
	pending        *step   // whose write is in flight, nil if none is
	writeUncertain bool    // the response to a write was lost
	verdict        Verdict
}

// Next returns the next call to make, or false if the operation has ended. If it
// is called again without an ApplyReply in between, the returned call must be made
// again.
func (o *Operation) Next() (Call, bool) {
	if o.verdict.Kind != Undecided {
		return Call{}, false
	}
	if !o.fresh {
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

// ApplyReply applies the reply to the call that Next returned last. After a refused
// call or a failed read, Next returns the same call again. After a conflict or a
// failed write, it returns a read, from which the operation is planned anew.
func (o *Operation) ApplyReply(r Reply) {
	if o.pending == nil {
		o.applyRead(r)
		return
	}
	s := o.pending
	o.pending = nil
	switch r.Kind {
	case Done:
		o.end(s.verdict, s.write, r.Version)
	case Failed:
		o.writeUncertain = true
		o.fresh = false
	case Conflict:
		o.fresh = false
	}
}

func (o *Operation) applyRead(r Reply) {
	switch r.Kind {
	case Done:
		o.fresh, o.current, o.version = true, &r.Record, r.Version
	case Missing:
		o.fresh, o.current, o.version = true, nil, 0
	}
}

func (o *Operation) end(v Verdict, record *Record, version uint64) {
	if record != nil {
		v.Record = *record
	}
	v.Version = version
	o.verdict = v
}

// Verdict returns the result of the operation; its Kind is Undecided until the
// operation has ended.
func (o *Operation) Verdict() Verdict { return o.verdict }

// MayHaveWritten reports whether the response to a write was lost and the
// operation has not ended. If the caller gives up then, the write may still take
// effect.
func (o *Operation) MayHaveWritten() bool { return o.writeUncertain && o.verdict.Kind == Undecided }
