package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net/http"
	"net/netip"
	"time"

	"github.com/coder/websocket"
)

// Path is the URL path at which a targetd accepts peer connections.
const Path = "/peer"

const nonceBytes = 16

// Key is the peer key, a secret shared by all processes of a deployment.
type Key []byte

// Dialer opens connections to peers.
type Dialer struct {
	Self   Identity
	Key    Key
	Client *http.Client // sends the WebSocket upgrade request
	Secure bool         // dial with TLS
}

// Dial connects to the peer at addr and authenticates both sides. The error is
// of kind Unreachable or BadKey, or of kind Closed, Silent or BadMessage if the
// handshake is broken off.
func (d *Dialer) Dial(ctx context.Context, addr netip.AddrPort) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	scheme := "ws://"
	if d.Secure {
		scheme = "wss://"
	}
	ws, resp, err := websocket.Dial( //nolint:bodyclose // the library closes the body
		ctx, scheme+addr.String()+Path, &websocket.DialOptions{HTTPClient: d.Client},
	)
	if err != nil {
		return nil, &Error{Op: "dial", Kind: Unreachable, Err: err}
	}
	c := newConn(ws)
	c.keepsOrigins = resp.Header.Get(keepsOriginsHeader) != ""
	c.issuesCredit = resp.Header.Get(issuesCreditHeader) != ""
	c.confirms = resp.Header.Get(confirmsHeader) != ""
	c.keepsOrders = resp.Header.Get(keepsOrdersHeader) != ""
	c.plansByModel = resp.Header.Get(plansByModelHeader) != ""
	if err := c.handshakeDialling(ctx, d.Self, d.Key); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Accept upgrades an incoming request to a connection and authenticates both
// sides. The error is of kind Unreachable or BadKey, or of kind Closed, Silent
// or BadMessage if the handshake is broken off.
func Accept(w http.ResponseWriter, r *http.Request, self Identity, key Key) (*Conn, error) {
	ctx, cancel := context.WithTimeout(r.Context(), handshakeTimeout)
	defer cancel()
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, &Error{Op: "accept", Kind: Unreachable, Err: err}
	}
	c := newConn(ws)
	if err := c.handshakeAccepting(ctx, self, key); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Conn) handshakeDialling(ctx context.Context, self Identity, key Key) error {
	nonce := newNonce()
	if err := c.write(Encode(Hello{Identity: self, Nonce: nonce})); err != nil {
		return err
	}
	hello, err := c.receiveHello(ctx)
	if err != nil {
		return err
	}
	if !hmac.Equal(hello.Proof, proof(key, "accept", nonce, hello.Identity)) {
		return &Error{Op: "handshake", Kind: BadKey}
	}
	c.remote = hello.Identity
	c.ws.SetReadLimit(maxMessageBytes)
	return c.write(Encode(Proof{Proof: proof(key, "dial", hello.Nonce, self)}))
}

func (c *Conn) handshakeAccepting(ctx context.Context, self Identity, key Key) error {
	hello, err := c.receiveHello(ctx)
	if err != nil {
		return err
	}
	c.remote = hello.Identity
	nonce := newNonce()
	reply := Hello{Identity: self, Nonce: nonce, Proof: proof(key, "accept", hello.Nonce, self)}
	if err := c.write(Encode(reply)); err != nil {
		return err
	}
	m, err := c.receive(ctx)
	if err != nil {
		// A dialling side that rejects the proof in reply closes the connection.
		return &Error{Op: "handshake", Kind: BadKey, Err: err}
	}
	p, ok := m.(Proof)
	if !ok || !hmac.Equal(p.Proof, proof(key, "dial", nonce, hello.Identity)) {
		return &Error{Op: "handshake", Kind: BadKey}
	}
	c.ws.SetReadLimit(maxMessageBytes)
	return nil
}

func (c *Conn) receiveHello(ctx context.Context) (Hello, error) {
	m, err := c.receive(ctx)
	if err != nil {
		return Hello{}, err
	}
	hello, ok := m.(Hello)
	if !ok {
		return Hello{}, &Error{Op: "handshake", Kind: BadMessage}
	}
	return hello, nil
}

// proof returns the HMAC by which one side proves that it knows the key. It
// covers the other side's nonce, the direction ("dial" or "accept"), and the
// prover's name, role and incarnation.
func proof(key Key, direction string, nonce []byte, prover Identity) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(direction))
	mac.Write([]byte{0})
	mac.Write(nonce)
	mac.Write([]byte(prover.Name))
	mac.Write([]byte{0})
	mac.Write([]byte(prover.Role))
	mac.Write([]byte{0})
	mac.Write([]byte(prover.Incarnation))
	return mac.Sum(nil)
}

func newNonce() []byte {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b) // never returns an error
	return b
}

// Backoff returns the delay before dialling attempt n, counted from zero. It
// doubles from 50 ms up to 2 s and is then reduced by the fraction jitter/2,
// where jitter is in [0,1).
func Backoff(n int, jitter float64) time.Duration {
	const initial, maximum = 50 * time.Millisecond, 2 * time.Second
	d := maximum
	if n < 6 {
		d = min(maximum, initial<<n)
	}
	return d - time.Duration(jitter*float64(d)/2)
}
