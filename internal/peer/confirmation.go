package peer

import (
	"net/http"
	"time"
)

// ConfirmationRequest asks a targetd what the store's newest configuration is. It is sent
// only to a targetd that announces that it follows the configuration; processes of earlier
// releases know none of the messages in this file.
type ConfirmationRequest struct {
	ID uint64 // unique on the connection
}

// ConfirmationAnswer answers a ConfirmationRequest. History and Version are zero if the
// targetd does not know yet.
type ConfirmationAnswer struct {
	ID      uint64
	History uint64        // of the store
	Version uint64        // of the configuration in the store, not its own
	Age     time.Duration // since the targetd sent the call that showed it
}

// confirmsHeader is the header of the response to a WebSocket upgrade by which a targetd
// announces that it answers ConfirmationRequest. Earlier releases ignore it.
const confirmsHeader = "Confirms-Configuration"

// AnnounceConfirmations announces in the header of the response to an upgrade that this
// process answers ConfirmationRequest. It is to be called before Accept.
func AnnounceConfirmations(h http.Header) { h.Set(confirmsHeader, "1") }

// Confirms reports whether the process at the other end of a dialled connection answers
// ConfirmationRequest.
func (c *Conn) Confirms() bool { return c.confirms }

type confirmationRequestWire struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
}

func (w *confirmationRequestWire) message() Message { return ConfirmationRequest{ID: w.ID} }

type confirmationAnswerWire struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	History uint64
	Version uint64
	AgeMS   int64 // rounded up, so that nothing is taken for newer than it is
}

func confirmationAnswerToWire(m ConfirmationAnswer) *confirmationAnswerWire {
	ms := (m.Age + time.Millisecond - 1) / time.Millisecond
	return &confirmationAnswerWire{ID: m.ID, History: m.History, Version: m.Version, AgeMS: int64(ms)}
}

func (w *confirmationAnswerWire) message() Message {
	return ConfirmationAnswer{ID: w.ID, History: w.History, Version: w.Version, Age: time.Duration(w.AgeMS) * time.Millisecond}
}
