package peer

import (
	"net/http"
	"time"
)

// StreamOrigin tells a targetd where a stream began. It is sent only to a targetd that
// announces that it keeps origins; processes of earlier releases know none of the messages
// in this file.
type StreamOrigin struct {
	Stream  uint64 // key of the stream
	Service string
	Version string        // of the software of the target that began it
	Within  time.Duration // time for which the stream may go on
}

// OriginRequest asks a targetd where a stream began.
type OriginRequest struct {
	Stream uint64
}

// OriginAnswer answers an OriginRequest. Service and Version are empty if the targetd does
// not know where the stream began.
type OriginAnswer struct {
	Stream  uint64
	Service string
	Version string
	Within  time.Duration // as in StreamOrigin
}

// keepsOriginsHeader is the header of the response to a WebSocket upgrade by which a
// targetd announces that it keeps the origins of streams. Earlier releases ignore it.
const keepsOriginsHeader = "Keeps-Stream-Origins"

// AnnounceOrigins announces in the header of the response to an upgrade that this process
// keeps the origins of streams. It is to be called before Accept.
func AnnounceOrigins(h http.Header) { h.Set(keepsOriginsHeader, "1") }

// KeepsOrigins reports whether the process at the other end of a dialled connection keeps
// the origins of streams.
func (c *Conn) KeepsOrigins() bool { return c.keepsOrigins }

type streamOriginWire struct {
	_        struct{} `cbor:",toarray"`
	Stream   uint64
	Service  string
	Version  string
	WithinMS int64
}

func (w *streamOriginWire) message() Message {
	return StreamOrigin{Stream: w.Stream, Service: w.Service, Version: w.Version, Within: time.Duration(w.WithinMS) * time.Millisecond}
}

type originRequestWire struct {
	_      struct{} `cbor:",toarray"`
	Stream uint64
}

func (w *originRequestWire) message() Message { return OriginRequest{Stream: w.Stream} }

type originAnswerWire struct {
	_        struct{} `cbor:",toarray"`
	Stream   uint64
	Service  string
	Version  string
	WithinMS int64
}

func (w *originAnswerWire) message() Message {
	return OriginAnswer{Stream: w.Stream, Service: w.Service, Version: w.Version, Within: time.Duration(w.WithinMS) * time.Millisecond}
}
