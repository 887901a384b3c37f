package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/routing"
)

// TestExplainAccess guards against explanations without a proof of the key, for another
// request than the proof is for, or by an old proof, and against keys in logs and answers.
func TestExplainAccess(t *testing.T) {
	ft := newFakeTarget(t, "t1", respond(200, "good", signed))
	k := newKeyedGateway(t, ft)
	k.list("5 red:red-1")
	now := time.Now()
	handler := newExplainHandler(k.gateway, peer.Key("store"), func() time.Time { return now })
	other := newExplainHandler(k.gateway, peer.Key("store"), func() time.Time { return now })
	ask := func(e *explainHandler, h http.Header, body string) *http.Response {
		r := httptest.NewRequest(http.MethodPost, ExplainPath, strings.NewReader(body))
		r.Header = h
		w := httptest.NewRecorder()
		e.ServeHTTP(w, r)
		return w.Result()
	}
	challenge := func(e *explainHandler) string { return ask(e, http.Header{}, "").Header.Get(ExplainChallengeHeader) }
	const head = "POST /safe/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 4\r\n\r\n"
	digest := routing.DigestOf("red-1").String()
	signedBy := func(key, challenge, body string) http.Header {
		h := http.Header{ExplainKeyHeader: {digest}, ExplainFormatHeader: {FormatJSON}, ExplainChallengeHeader: {challenge}}
		h.Set(ExplainProofHeader, ExplainProof(peer.Key(key), challenge, h, []byte(body)))
		return h
	}
	before := k.logText()
	altered := signedBy("store", challenge(handler), head)
	altered.Set(ExplainKeyHeader, routing.DigestOf("blue-1").String())
	old := signedBy("store", challenge(handler), head)
	now = now.Add(challengeTestTime)
	for name, h := range map[string]http.Header{
		"no proof":             {},
		"the key itself":       {ExplainChallengeHeader: {challenge(handler)}, ExplainProofHeader: {"store"}},
		"another key":          signedBy("stare", challenge(handler), head),
		"no challenge":         signedBy("store", "", head),
		"another process":      signedBy("store", challenge(other), head),
		"an old challenge":     old,
		"another caller's key": altered,
		"another request":      signedBy("store", challenge(handler), strings.Replace(head, "safe", "public", 1)),
	} {
		if resp := ask(handler, h, head); resp.StatusCode != http.StatusForbidden {
			t.Errorf("%s: status %d", name, resp.StatusCode)
		}
	}
	if k.logText() != before {
		t.Errorf("refused requests were logged: %s", k.logText())
	}
	resp := ask(handler, signedBy("store", challenge(handler), head), head)
	out, _ := io.ReadAll(resp.Body)
	var x explanationJSON
	if err := json.Unmarshal(out, &x); err != nil || resp.StatusCode != http.StatusOK || x.Result != nextSend || x.Target != "t1" || x.Workspace != "red" {
		t.Errorf("status %d, %s", resp.StatusCode, out)
	}
	if text := k.logText() + string(out); strings.Contains(text, "red-1") || strings.Contains(text, digest) || !strings.Contains(text, "request_explained") {
		t.Errorf("log and explanation: %s", text)
	}
	if n := len(ft.requests()); n != 0 {
		t.Errorf("the target got %d requests", n)
	}
	if resp := ask(handler, signedBy("store", challenge(handler), "nonsense"), "nonsense"); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("a malformed request got status %d", resp.StatusCode)
	}
}

// challengeTestTime is longer than a challenge is valid.
const challengeTestTime = 10 * time.Second
