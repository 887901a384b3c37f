package operator

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/borageusher/borageusher/internal/checkedhttp"
	"github.com/borageusher/borageusher/internal/gateway"
	"github.com/borageusher/borageusher/internal/peer"
)

// maxExplanationBytes limits what is read of an explanation: some KB for each of the
// targets that a choice looks at.
const maxExplanationBytes = 4 << 20

// explainFlags are the flags of the command explain.
type explainFlags struct {
	entryd  string
	host    string
	path    string
	method  string
	size    int64
	service string
	json    bool
	headers http.Header
}

func (e *explainFlags) add(flags *flag.FlagSet) {
	e.headers = http.Header{}
	flags.StringVar(&e.entryd, "entryd", "", "`address` of the readiness listener of the entryd to ask")
	flags.StringVar(&e.host, "host", "", "`host` of the request, without FILE")
	flags.StringVar(&e.path, "path", "/", "`path` of the request, without FILE")
	flags.StringVar(&e.method, "method", http.MethodPost, "`method` of the request, without FILE")
	flags.Int64Var(&e.size, "size", 0, "`bytes` of the body, without FILE")
	flags.StringVar(&e.service, "service", "", "`service` to explain if the route leads to several; the one with the most requests if empty")
	flags.BoolVar(&e.json, "json", false, "print JSON")
	flags.Func("header", "`NAME: VALUE` of the request, without FILE; may be repeated. Others on this machine can read a key in it", func(s string) error {
		name, value, ok := strings.Cut(s, ":")
		if !ok {
			return errors.New("must have the form NAME: VALUE")
		}
		e.headers.Add(strings.TrimSpace(name), strings.TrimSpace(value))
		return nil
	})
}

// runExplain prints what an entryd would do with a request now.
func runExplain(c *commandLine) int {
	if c.users == nil || len(c.flags.Args()) > 1 {
		c.flags.Usage()
		return exitUsage
	}
	entryd, err := netip.ParseAddrPort(c.explain.entryd)
	if err != nil {
		return c.fail(&Error{Op: "read -entryd", Kind: BadFlag, Err: err})
	}
	store, err := netip.ParseAddrPort(c.platformStore)
	if err != nil {
		return c.fail(&Error{Op: "read -store", Kind: BadFlag, Err: err})
	}
	r, err := c.requestToExplain()
	if err != nil {
		return c.fail(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	out, err := c.askToExplain(ctx, entryd, peer.Key(store.String()), r)
	if err != nil {
		return c.fail(err)
	}
	_, _ = c.out.Write(out) // a failed write to the terminal can't be reported
	return exitOK
}

// requestToExplain returns the request in the file or, without one, in the flags.
func (c *commandLine) requestToExplain() (*http.Request, error) {
	if c.flags.NArg() == 0 {
		e := &c.explain
		r, err := http.NewRequest(e.method, "http://"+e.host+e.path, nil)
		if err != nil || e.host == "" {
			return nil, &Error{Op: "read -method, -host and -path", Kind: BadFlag, Err: err}
		}
		r.Header, r.RequestURI, r.ContentLength = e.headers, e.path, e.size
		return r, nil
	}
	in := io.Reader(os.Stdin)
	if name := c.flags.Arg(0); name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, &Error{Op: "open request", Kind: Unreadable, Err: err}
		}
		defer func() { _ = f.Close() }() // opened for reading only
		in = f
	}
	// The empty line at the end may be missing in a file with the head alone.
	r, err := http.ReadRequest(bufio.NewReader(io.MultiReader(in, strings.NewReader("\r\n\r\n"))))
	if err != nil {
		return nil, &Error{Op: "read request", Kind: Unreadable} // the cause may quote a key
	}
	return r, nil
}

// askToExplain asks an entryd to explain a request. The caller's key is not sent, only its
// digest.
func (c *commandLine) askToExplain(ctx context.Context, entryd netip.AddrPort, key peer.Key, r *http.Request) ([]byte, error) {
	h := http.Header{}
	if digest, ok := c.users.TakeKey(r.Header); ok {
		h.Set(gateway.ExplainKeyHeader, digest.String())
	}
	if c.explain.service != "" {
		h.Set(gateway.ExplainServiceHeader, c.explain.service)
	}
	if c.explain.json {
		h.Set(gateway.ExplainFormatHeader, gateway.FormatJSON)
	}
	head := headOf(r)
	client := checkedhttp.New(&http.Transport{DisableKeepAlives: true})
	refusal, err := postExplain(ctx, client, entryd, h, nil)
	if err != nil {
		return nil, err
	}
	challenge := refusal.challenge
	if refusal.status != http.StatusForbidden || challenge == "" {
		return nil, &Error{Op: "ask entryd", Kind: Refused, Err: errors.Newf("status %d without a challenge; is -entryd the readiness listener?", refusal.status)}
	}
	h.Set(gateway.ExplainChallengeHeader, challenge)
	h.Set(gateway.ExplainProofHeader, gateway.ExplainProof(key, challenge, h, head))
	a, err := postExplain(ctx, client, entryd, h, head)
	switch {
	case err != nil:
		return nil, err
	case a.status == http.StatusForbidden:
		return nil, &Error{Op: "ask entryd", Kind: Refused, Err: errors.New("-store is not the address that the entryd uses")}
	case a.status != http.StatusOK:
		return nil, &Error{Op: "ask entryd", Kind: Refused, Err: errors.Newf("status %d: %s", a.status, bytes.TrimSpace(a.body))}
	}
	return a.body, nil
}

// headOf returns the head of a request.
func headOf(r *http.Request) []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Host) // never fails
	h := r.Header.Clone()
	h.Del("Content-Length")
	h.Del("Host")
	if r.ContentLength < 0 {
		h.Set("Transfer-Encoding", "chunked")
	} else {
		h.Set("Content-Length", fmt.Sprint(r.ContentLength))
	}
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// explainAnswer is the response to a request for an explanation.
type explainAnswer struct {
	status    int
	challenge string // with a refusal
	body      []byte
}

// postExplain sends a request for an explanation and reads the response.
func postExplain(ctx context.Context, client *http.Client, entryd netip.AddrPort, h http.Header, body []byte) (explainAnswer, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entryd.String()+gateway.ExplainPath, bytes.NewReader(body))
	if err != nil {
		return explainAnswer{}, &Error{Op: "ask entryd", Kind: Unreachable, Err: err}
	}
	r.Header = h.Clone()
	resp, err := client.Do(r)
	if err != nil {
		return explainAnswer{}, &Error{Op: "ask entryd", Kind: Unreachable, Err: err}
	}
	defer func() { _ = resp.Body.Close() }() // read completely or given up
	out, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanationBytes))
	if err != nil {
		return explainAnswer{}, &Error{Op: "ask entryd", Kind: Unreachable, Err: err}
	}
	return explainAnswer{resp.StatusCode, resp.Header.Get(gateway.ExplainChallengeHeader), out}, nil
}
