package peer

import "github.com/fxamacker/cbor/v2"

// messageType is the first byte of an encoded message. The numbers of removed
// messages are never reused.
type messageType byte

const (
	typeHello           messageType = 1
	typeProof           messageType = 2
	typeHeartbeat       messageType = 3
	typeSubmit          messageType = 4
	typeRefusal         messageType = 5
	typeHead            messageType = 6
	typePart            messageType = 7
	typeEnd             messageType = 8
	typeAck             messageType = 9
	typeCancel          messageType = 10
	typeResume          messageType = 11
	typeDrain           messageType = 30
	typeResidency       messageType = 35
	typeAllocatorNotice messageType = 36
	typeLoadReport      messageType = 37
	typeLoadGrant       messageType = 38

	typeEngineSpec     messageType = 50
	typeAdapterDemands messageType = 51
	typeEngineState    messageType = 52
	typeCrashReport    messageType = 53
	typeEngineLoad     messageType = 54
	typePromptOffer    messageType = 55
	typePromptAnswer   messageType = 56
	typePromptDone     messageType = 57
	typePacing         messageType = 58
	typeSegmentCrash   messageType = 59
	typeSegmentAnswers messageType = 60
	typeRateLimit      messageType = 61
	typePermitRequest  messageType = 62
	typePermitAnswer   messageType = 63
	typePermitCancel   messageType = 64
	typeStreamOrigin   messageType = 65
	typeOriginRequest  messageType = 66
	typeOriginAnswer   messageType = 67
	typeCreditRequest  messageType = 68
	typeCreditAnswer   messageType = 69

	typeOutstandingOrders messageType = 70
	typeEngineModels      messageType = 71

	typeConfirmationRequest messageType = 80
	typeConfirmationAnswer  messageType = 81

	typeStateRequest  messageType = 40
	typeStateAnswer   messageType = 41
	typeSectionAnswer messageType = 42
	typeSurvey        messageType = 43
	typeSurveyAnswer  messageType = 44
)

func (Hello) messageType() messageType           { return typeHello }
func (Proof) messageType() messageType           { return typeProof }
func (Heartbeat) messageType() messageType       { return typeHeartbeat }
func (Submit) messageType() messageType          { return typeSubmit }
func (Refusal) messageType() messageType         { return typeRefusal }
func (Head) messageType() messageType            { return typeHead }
func (Part) messageType() messageType            { return typePart }
func (End) messageType() messageType             { return typeEnd }
func (Ack) messageType() messageType             { return typeAck }
func (Cancel) messageType() messageType          { return typeCancel }
func (Resume) messageType() messageType          { return typeResume }
func (Drain) messageType() messageType           { return typeDrain }
func (Residency) messageType() messageType       { return typeResidency }
func (AllocatorNotice) messageType() messageType { return typeAllocatorNotice }
func (LoadReport) messageType() messageType      { return typeLoadReport }
func (LoadGrant) messageType() messageType       { return typeLoadGrant }

func (EngineSpec) messageType() messageType     { return typeEngineSpec }
func (AdapterDemands) messageType() messageType { return typeAdapterDemands }
func (EngineState) messageType() messageType    { return typeEngineState }
func (CrashReport) messageType() messageType    { return typeCrashReport }
func (EngineLoad) messageType() messageType     { return typeEngineLoad }
func (PromptOffer) messageType() messageType    { return typePromptOffer }
func (PromptAnswer) messageType() messageType   { return typePromptAnswer }
func (PromptDone) messageType() messageType     { return typePromptDone }
func (LateStream) messageType() messageType     { return typePromptDone }
func (Pacing) messageType() messageType         { return typePacing }
func (SegmentCrash) messageType() messageType   { return typeSegmentCrash }
func (SegmentAnswers) messageType() messageType { return typeSegmentAnswers }
func (RateLimit) messageType() messageType      { return typeRateLimit }
func (PermitRequest) messageType() messageType  { return typePermitRequest }
func (PermitAnswer) messageType() messageType   { return typePermitAnswer }
func (PermitCancel) messageType() messageType   { return typePermitCancel }
func (StreamOrigin) messageType() messageType   { return typeStreamOrigin }
func (OriginRequest) messageType() messageType  { return typeOriginRequest }
func (OriginAnswer) messageType() messageType   { return typeOriginAnswer }
func (CreditRequest) messageType() messageType  { return typeCreditRequest }
func (CreditAnswer) messageType() messageType   { return typeCreditAnswer }

func (OutstandingOrders) messageType() messageType { return typeOutstandingOrders }
func (EngineModels) messageType() messageType      { return typeEngineModels }

func (ConfirmationRequest) messageType() messageType { return typeConfirmationRequest }
func (ConfirmationAnswer) messageType() messageType  { return typeConfirmationAnswer }

// Encode returns the wire format of m: one byte for its type, followed by its
// fields as a CBOR array.
func Encode(m Message) []byte {
	body, err := cbor.Marshal(toWire(m))
	if err != nil {
		panic("peer: encode message: " + err.Error())
	}
	return append([]byte{byte(m.messageType())}, body...)
}

// Decode is the inverse of Encode. It returns an *Error of kind BadMessage if b
// is not an encoded message.
func Decode(b []byte) (Message, error) {
	if len(b) == 0 {
		return nil, &Error{Op: "decode", Kind: BadMessage}
	}
	w := newWire(messageType(b[0]))
	if w == nil {
		return nil, &Error{Op: "decode", Kind: BadMessage}
	}
	if err := cbor.Unmarshal(b[1:], w); err != nil {
		return nil, &Error{Op: "decode", Kind: BadMessage, Err: err}
	}
	return w.message(), nil
}

// wireMessage is the form of a Message that CBOR encodes: a struct whose fields
// are written by position.
type wireMessage interface {
	message() Message
}

func newWire(t messageType) wireMessage {
	switch t {
	case typeHello:
		return &helloWire{}
	case typeProof:
		return &proofWire{}
	case typeHeartbeat:
		return &heartbeatWire{}
	case typeSubmit:
		return &submitWire{}
	case typeRefusal:
		return &refusalWire{}
	case typeHead:
		return &headWire{}
	case typePart:
		return &partWire{}
	case typeEnd:
		return &endWire{}
	case typeAck:
		return &ackWire{}
	case typeCancel:
		return &cancelWire{}
	case typeResume:
		return &resumeWire{}
	case typeDrain:
		return &drainWire{}
	case typeStateRequest:
		return &stateRequestWire{}
	case typeStateAnswer:
		return &stateAnswerWire{}
	case typeSectionAnswer:
		return &sectionAnswerWire{}
	case typeSurvey:
		return &surveyWire{}
	case typeSurveyAnswer:
		return &surveyAnswerWire{}
	case typeResidency:
		return &residencyWire{}
	case typeAllocatorNotice:
		return &allocatorNoticeWire{}
	case typeLoadReport:
		return &loadReportWire{}
	case typeLoadGrant:
		return &loadGrantWire{}
	case typeEngineSpec:
		return &engineSpecWire{}
	case typeAdapterDemands:
		return &adapterDemandsWire{}
	case typeEngineState:
		return &engineStateWire{}
	case typeCrashReport:
		return &crashReportWire{}
	case typeSegmentCrash:
		return &segmentCrashWire{}
	case typeSegmentAnswers:
		return &segmentAnswersWire{}
	case typeEngineLoad:
		return &engineLoadWire{}
	case typePromptOffer:
		return &promptOfferWire{}
	case typePromptAnswer:
		return &promptAnswerWire{}
	case typePromptDone:
		return &promptDoneWire{}
	case typePacing:
		return &pacingWire{}
	case typeRateLimit:
		return &rateLimitWire{}
	case typePermitRequest:
		return &permitRequestWire{}
	case typePermitAnswer:
		return &permitAnswerWire{}
	case typePermitCancel:
		return &permitCancelWire{}
	case typeStreamOrigin:
		return &streamOriginWire{}
	case typeOriginRequest:
		return &originRequestWire{}
	case typeOriginAnswer:
		return &originAnswerWire{}
	case typeCreditRequest:
		return &creditRequestWire{}
	case typeCreditAnswer:
		return &creditAnswerWire{}
	case typeOutstandingOrders:
		return &outstandingOrdersWire{}
	case typeEngineModels:
		return &engineModelsWire{}
	case typeConfirmationRequest:
		return &confirmationRequestWire{}
	case typeConfirmationAnswer:
		return &confirmationAnswerWire{}
	}
	return nil
}

func toWire(m Message) wireMessage {
	switch m := m.(type) {
	case Hello:
		return helloToWire(m)
	case Proof:
		return &proofWire{Proof: m.Proof}
	case Heartbeat:
		return heartbeatToWire(m)
	case Submit:
		return submitToWire(m)
	case Refusal:
		return &refusalWire{Request: m.Request, Attempt: m.Attempt, Reason: uint8(m.Reason), Running: m.Running, Queued: m.Queued}
	case Head:
		return &headWire{Request: m.Request, Attempt: m.Attempt, Status: m.Status, ContentType: m.ContentType}
	case Part:
		return &partWire{Request: m.Request, Attempt: m.Attempt, Seq: m.Seq, Data: m.Data}
	case End:
		return &endWire{Request: m.Request, Attempt: m.Attempt, Parts: m.Parts, Outcome: uint8(m.Outcome), Reason: uint8(m.Reason)}
	case Ack:
		return &ackWire{Request: m.Request, Attempt: m.Attempt, Next: m.Next, EndReceived: m.EndReceived}
	case Cancel:
		return &cancelWire{Request: m.Request, Attempt: m.Attempt}
	case Resume:
		return resumeToWire(m)
	case Drain:
		return &drainWire{Epoch: m.Epoch}
	case StateRequest:
		return &stateRequestWire{Revision: m.Revision, MembersVersion: m.MembersVersion, Sections: m.Sections}
	case StateAnswer:
		return stateAnswerToWire(m)
	case SectionAnswer:
		return &sectionAnswerWire{Digest: m.Digest, Data: m.Data}
	case Survey:
		return &surveyWire{ID: m.ID}
	case SurveyAnswer:
		return &surveyAnswerWire{ID: m.ID, Name: m.Name, Role: m.Role, Revision: m.Revision, Behind: m.Behind}
	case Residency:
		return &residencyWire{Adapters: m.Adapters, EvictionDemand: m.EvictionDemand, Requests: m.Requests}
	case AllocatorNotice:
		return &allocatorNoticeWire{}
	case LoadReport:
		return loadReportToWire(m)
	case LoadGrant:
		return &loadGrantWire{Team: m.Team}
	case EngineSpec:
		return engineSpecToWire(m)
	case AdapterDemands:
		return adapterDemandsToWire(m)
	case EngineState:
		return engineStateToWire(m)
	case EngineLoad:
		return &engineLoadWire{Running: m.Running, Queued: m.Queued, MissingAdapters: m.MissingAdapters, Full: m.Full}
	case PromptOffer:
		return &promptOfferWire{ID: m.ID, Tokens: m.Tokens, TokenTimeNS: int64(m.TokenTime), GapMS: m.Gap.Milliseconds(), Urgency: m.Urgency}
	case PromptAnswer:
		return &promptAnswerWire{ID: m.ID, Admitted: m.Admitted, Ahead: m.Ahead, Requests: m.Requests}
	case PromptDone:
		return &promptDoneWire{ID: m.ID}
	case LateStream:
		return &promptDoneWire{ID: lateStreamID | uint64(uint32(m.Allowed.Milliseconds()))}
	case Pacing:
		return &pacingWire{}
	case RateLimit:
		w := rateLimitToWire(m)
		return &w
	case PermitRequest:
		return &permitRequestWire{ID: m.ID, Limit: rateLimitToWire(m.Limit), Urgency: m.Urgency, WithinMS: m.Within.Milliseconds()}
	case PermitAnswer:
		return &permitAnswerWire{ID: m.ID, Granted: m.Granted, WaitMS: m.Wait.Milliseconds()}
	case PermitCancel:
		return &permitCancelWire{ID: m.ID}
	case StreamOrigin:
		return &streamOriginWire{Stream: m.Stream, Service: m.Service, Version: m.Version, WithinMS: m.Within.Milliseconds()}
	case OriginRequest:
		return &originRequestWire{Stream: m.Stream}
	case OriginAnswer:
		return &originAnswerWire{Stream: m.Stream, Service: m.Service, Version: m.Version, WithinMS: m.Within.Milliseconds()}
	case CreditRequest:
		return creditRequestToWire(m)
	case CreditAnswer:
		return creditAnswerToWire(m)
	case OutstandingOrders:
		return outstandingOrdersToWire(m)
	case EngineModels:
		return engineModelsToWire(m)
	case ConfirmationRequest:
		return &confirmationRequestWire{ID: m.ID}
	case ConfirmationAnswer:
		return confirmationAnswerToWire(m)
	case CrashReport:
		return &crashReportWire{Engine: m.Engine, Fingerprints: m.Fingerprints}
	case SegmentCrash:
		return segmentCrashToWire(m)
	case SegmentAnswers:
		return &segmentAnswersWire{AgeMS: ageToWire(m.Age), Segments: m.Segments}
	}
	panic("peer: unknown message type")
}
