package gateway

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/routing"
)

// ExplainPath is the HTTP path of the readiness listener at which operators have a request
// explained. The body is the head of the request, without the caller's key.
const ExplainPath = "/operators/explain"

// Headers of a request to ExplainPath, and of its refusal.
const (
	ExplainChallengeHeader = "Explain-Challenge"  // issued with a refusal
	ExplainProofHeader     = "Explain-Proof"      // see ExplainProof
	ExplainKeyHeader       = "Explain-Key-Digest" // of the caller's key, in hexadecimal; missing without one
	ExplainServiceHeader   = "Explain-Service"    // the service to explain if the route has several
	ExplainFormatHeader    = "Explain-Format"     // FormatJSON, or text if it is missing
)

// FormatJSON is the value of ExplainFormatHeader for JSON.
const FormatJSON = "json"

// Limits of requests for an explanation.
const (
	maxExplainedBytes  = maxCallerHeaderBytes + 4<<10 // the longest head that is accepted of a caller, with its request line
	explainReadTimeout = 5 * time.Second
)

// ExplainProof returns the proof of the peer key for a request to ExplainPath. It covers
// the headers and the body.
func ExplainProof(key peer.Key, challenge string, h http.Header, body []byte) string {
	return peer.ControlProof(key, challenge, explainParts(h, body)...)
}

func explainParts(h http.Header, body []byte) [][]byte {
	return [][]byte{
		[]byte(ExplainPath), []byte(h.Get(ExplainKeyHeader)), []byte(h.Get(ExplainServiceHeader)), []byte(h.Get(ExplainFormatHeader)), body,
	}
}

// explainHandler serves explanations to operators who prove that they know the peer key.
type explainHandler struct {
	gateway    *Gateway
	challenges *peer.Challenges
	now        func() time.Time
	busy       chan struct{} // has room for the explanations that may be computed at once
}

func newExplainHandler(g *Gateway, key peer.Key, now func() time.Time) *explainHandler {
	return &explainHandler{gateway: g, challenges: peer.NewChallenges(now(), key), now: now, busy: make(chan struct{}, 1)}
}

// ServeHTTP implements http.Handler. Without a valid challenge the body is not read.
func (e *explainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	challenge := r.Header.Get(ExplainChallengeHeader)
	if r.Method != http.MethodPost || !e.challenges.Valid(e.now(), challenge) {
		e.refuse(w)
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(explainReadTimeout)) // not supported by httptest.ResponseRecorder
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxExplainedBytes))
	if err != nil || !e.challenges.Proves(r.Header.Get(ExplainProofHeader), challenge, explainParts(r.Header, body)...) {
		e.refuse(w)
		return
	}
	select {
	case e.busy <- struct{}{}:
		defer func() { <-e.busy }()
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	of, err := e.parse(r.Header, body)
	if err != nil {
		http.Error(w, "the request to explain can't be read", http.StatusBadRequest) // the error may quote a header
		return
	}
	x := e.gateway.Explain(e.now(), of)
	e.gateway.Log.Event(event.RequestExplained).Str("from", r.RemoteAddr).Str("route", x.Route).Str("next", x.Next).Str("reason", x.Reason).Str("target", x.Choice).Send()
	if r.Header.Get(ExplainFormatHeader) != FormatJSON {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write([]byte(explanationText(x)))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	out, err := json.MarshalIndent(explanationToJSON(x), "", "  ")
	if err != nil {
		panic("gateway: cannot encode an explanation: " + err.Error())
	}
	_, _ = w.Write(append(out, '\n'))
}

// refuse responds to a request without a valid proof.
func (e *explainHandler) refuse(w http.ResponseWriter) {
	w.Header().Set(ExplainChallengeHeader, e.challenges.Issue(e.now()))
	w.Header().Set("Connection", "close") // the body is not read
	w.WriteHeader(http.StatusForbidden)
}

// parse returns the request to explain.
func (e *explainHandler) parse(h http.Header, head []byte) (ExplanationOf, error) {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return ExplanationOf{}, err
	}
	of := ExplanationOf{
		Meta: e.gateway.HeaderCodec.ParseRequest(r.Header), Host: r.Host, URI: r.RequestURI, Method: r.Method, Bytes: r.ContentLength, Service: h.Get(ExplainServiceHeader),
	}
	if digest, ok := routing.ParseDigest(h.Get(ExplainKeyHeader)); ok {
		of.Meta.Key, of.Meta.HasKey = digest, true
	}
	return of, nil
}
