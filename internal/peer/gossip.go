package peer

// StateRequest asks a peer for state that is newer than the sender's, namely
// the configuration root and registrations, or for sections by their digests.
type StateRequest struct {
	Revision       uint64   // configuration in force at the sender
	MembersVersion uint64   // version up to which the sender has all registrations
	Sections       [][]byte // digests of missing sections; if not empty, the peer sends nothing else
}

// StateAnswer is the answer to a StateRequest without sections.
type StateAnswer struct {
	Root           []byte // encoded root, empty if the peer has no newer one
	After          uint64 // MembersVersion of the request
	MembersVersion uint64 // version up to which the peer has all registrations
	Changed        []MemberObject
}

// MemberObject is a registration as stored in the object API.
type MemberObject struct {
	Name    string
	Version uint64
	Value   []byte
	Deleted bool
}

// SectionAnswer carries one section of a configuration.
type SectionAnswer struct {
	Digest []byte
	Data   []byte // empty if the peer does not have it
}

// Survey asks every process that it reaches for its revision. A process
// forwards a survey to its other peers when it receives it for the first time.
type Survey struct {
	ID string
}

// SurveyAnswer reports the revision of one process to the sender of a Survey.
// It is forwarded over the path of the survey in reverse.
type SurveyAnswer struct {
	ID       string
	Name     string
	Role     string
	Revision uint64
	Behind   []string // peers whose last heartbeat had a lower revision, or that disconnected recently
}

func (StateRequest) messageType() messageType  { return typeStateRequest }
func (StateAnswer) messageType() messageType   { return typeStateAnswer }
func (SectionAnswer) messageType() messageType { return typeSectionAnswer }
func (Survey) messageType() messageType        { return typeSurvey }
func (SurveyAnswer) messageType() messageType  { return typeSurveyAnswer }

type stateRequestWire struct {
	_              struct{} `cbor:",toarray"`
	Revision       uint64
	MembersVersion uint64
	Sections       [][]byte
}

func (w *stateRequestWire) message() Message {
	return StateRequest{Revision: w.Revision, MembersVersion: w.MembersVersion, Sections: w.Sections}
}

type stateAnswerWire struct {
	_              struct{} `cbor:",toarray"`
	Root           []byte
	After          uint64
	MembersVersion uint64
	Changed        []memberObjectWire
}

type memberObjectWire struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Version uint64
	Value   []byte
	Deleted bool
}

func stateAnswerToWire(m StateAnswer) *stateAnswerWire {
	w := &stateAnswerWire{Root: m.Root, After: m.After, MembersVersion: m.MembersVersion}
	for _, o := range m.Changed {
		w.Changed = append(w.Changed, memberObjectWire{Name: o.Name, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
	}
	return w
}

func (w *stateAnswerWire) message() Message {
	m := StateAnswer{Root: w.Root, After: w.After, MembersVersion: w.MembersVersion}
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
