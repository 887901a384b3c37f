package peer

import "time"

// Pacing tells an entryd that announced that it paces prompts to offer those for the
// targetd's engine. Each further one on the connection tells it that they have to be
// paced for PacingValidity. Processes of earlier releases know none of the messages in
// this file.
type Pacing struct{}

// PacingValidity is how long a repeated Pacing applies. While prompts are to be paced, a
// targetd repeats it after PacingInterval, which leaves time for a busy connection.
const (
	PacingValidity = 30 * time.Second
	PacingInterval = 20 * time.Second
)

// PromptOffer asks a targetd whether a request may be sent to its engine now.
type PromptOffer struct {
	ID        uint64        // unique on the connection, less than 1<<63
	Tokens    int           // of the prompt
	TokenTime time.Duration // time in which the engine reads a token of a prompt, zero if unknown
	Gap       time.Duration // allowed gap between two events of the response, zero if the prompts need not be paced; in whole milliseconds
	Urgency   int           // 0 is the most urgent
}

// PromptAnswer answers a PromptOffer at once. If the request is not admitted, a
// second answer follows when it is.
type PromptAnswer struct {
	ID       uint64
	Admitted bool
	Ahead    int // tokens of prompts that the engine reads before
	Requests int // requests that run or wait at the engine
}

// PromptDone tells a targetd that the engine has read the prompt of a request, or
// that the request is not sent.
type PromptDone struct {
	ID uint64
}

// LateStream tells a targetd that an event of a stream from its engine came after a
// longer gap than allowed. It is sent at most once for an offered prompt. It is encoded
// as a PromptDone of an id that no prompt has, which has no effect at a targetd of an
// earlier release.
type LateStream struct {
	Allowed time.Duration // gap between two events; in whole milliseconds
}

// lateStreamID is set in the id of a PromptDone that encodes a LateStream. The other bits
// are the allowed gap in milliseconds.
const lateStreamID = 1 << 63

type promptOfferWire struct {
	_           struct{} `cbor:",toarray"`
	ID          uint64
	Tokens      int
	TokenTimeNS int64
	GapMS       int64
	Urgency     int
}

func (w *promptOfferWire) message() Message {
	return PromptOffer{
		ID:        w.ID,
		Tokens:    w.Tokens,
		TokenTime: time.Duration(w.TokenTimeNS),
		Gap:       time.Duration(w.GapMS) * time.Millisecond,
		Urgency:   w.Urgency,
	}
}

type promptAnswerWire struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Admitted bool
	Ahead    int
	Requests int
}

func (w *promptAnswerWire) message() Message {
	return PromptAnswer{ID: w.ID, Admitted: w.Admitted, Ahead: w.Ahead, Requests: w.Requests}
}

type promptDoneWire struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
}

func (w *promptDoneWire) message() Message {
	if w.ID&lateStreamID != 0 {
		return LateStream{Allowed: time.Duration(uint32(w.ID)) * time.Millisecond}
	}
	return PromptDone{ID: w.ID}
}

type pacingWire struct {
	_ struct{} `cbor:",toarray"`
}

func (w *pacingWire) message() Message { return Pacing{} }
