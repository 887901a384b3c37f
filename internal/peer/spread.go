package peer

// StateRequest asks a peer for what it knows beyond the sender: a newer root,
// newer registrations, and the sections of the given digests.
type StateRequest struct {
	Revision uint64   // configuration in force at the sender
	Members  uint64   // newest registration that the sender knows
	Sections [][]byte // digests of missing sections; if any, nothing else is asked for
}

// StateAnswer answers a StateRequest that asked for no sections.
type StateAnswer struct {
	Root    []byte // encoded root, empty if the peer has none that is newer
	After   uint64 // Members of the request
	Members uint64 // newest registration that the peer knows
	Changed []MemberObject
}

// MemberObject is one registration as the object API keeps it.
type MemberObject struct {
	Name    string
	Version uint64
	Value   []byte
	Deleted bool
}

// SectionAnswer carries one section.
type SectionAnswer struct {
	Digest []byte
	Data   []byte // empty if the peer does not have it
}

// Survey asks every process that it reaches to tell its revision. A process
// passes it on to its other peers the first time it sees it.
type Survey struct {
	ID string
}

// SurveyAnswer tells one process's revision to the sender of a Survey, along
// the way that the survey came.
type SurveyAnswer struct {
	ID       string
	Name     string
	Role     string
	Revision uint64
	Behind   []string // peers whose last heartbeat had a lower revision or that were lost lately
}

func (StateRequest) messageType() messageType  { return typeStateRequest }
func (StateAnswer) messageType() messageType   { return typeStateAnswer }
func (SectionAnswer) messageType() messageType { return typeSectionAnswer }
func (Survey) messageType() messageType        { return typeSurvey }
func (SurveyAnswer) messageType() messageType  { return typeSurveyAnswer }

type stateRequestWire struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Members  uint64
	Sections [][]byte
}

func (w *stateRequestWire) message() Message {
	return StateRequest{Revision: w.Revision, Members: w.Members, Sections: w.Sections}
}

type stateAnswerWire struct {
	_       struct{} `cbor:",toarray"`
	Root    []byte
	After   uint64
	Members uint64
	Changed []memberObjectWire
}

type memberObjectWire struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Version uint64
	Value   []byte
	Deleted bool
}

func stateAnswerToWire(m StateAnswer) *stateAnswerWire {
	w := &stateAnswerWire{Root: m.Root, After: m.After, Members: m.Members}
	for _, o := range m.Changed {
		w.Changed = append(w.Changed, memberObjectWire{Name: o.Name, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
	}
	return w
}

func (w *stateAnswerWire) message() Message {
	m := StateAnswer{Root: w.Root, After: w.After, Members: w.Members}
	for _, o := range w.Changed {
		m.Changed = append(m.Changed, MemberObject{Name: o.Name, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
	}
	return m
}

type sectionAnswerWire struct {
	_      struct{} `cbor:",toarray"`
	Digest []byte
	Data   []byte
}

func (w *sectionAnswerWire) message() Message { return SectionAnswer{Digest: w.Digest, Data: w.Data} }

type surveyWire struct {
	_  struct{} `cbor:",toarray"`
	ID string
}

func (w *surveyWire) message() Message { return Survey{ID: w.ID} }

type surveyAnswerWire struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Name     string
	Role     string
	Revision uint64
	Behind   []string
}

func (w *surveyAnswerWire) message() Message {
	return SurveyAnswer{ID: w.ID, Name: w.Name, Role: w.Role, Revision: w.Revision, Behind: w.Behind}
}
