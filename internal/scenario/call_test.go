package scenario

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"sort"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// callLimit bounds one call of a script.
const callLimit = 60 * time.Second

// callOptions are the flags of the command call.
type callOptions struct {
	background string
	method     string
	headers    []string
	body       string
	authority  string         // path of a certificate to trust, for https
	pause      time.Duration  // before the body is read
	leave      time.Duration  // after which the caller goes away, zero for never
	until      *regexp.Regexp // repeat the call until its output matches, nil for one call
	url        string
	began      chan struct{} // closed when the head of the answer has come
}

// backgroundCall is a call that a script waits for later.
type backgroundCall struct {
	done   chan struct{}
	output string
	began  chan struct{}
}

func parseCall(ts *testscript.TestScript, args []string) callOptions {
	o := callOptions{method: http.MethodGet}
	for len(args) > 1 {
		switch args[0] {
		case "-bg":
			o.background = args[1]
		case "-ca":
			o.authority = ts.MkAbs(args[1])
		case "-until":
			re, err := regexp.Compile("(?m)" + args[1])
			ts.Check(err)
			o.until = re
		case "-X":
			o.method = args[1]
		case "-H":
			o.headers = append(o.headers, args[1])
		case "-d":
			o.body = args[1]
			if o.method == http.MethodGet {
				o.method = http.MethodPost
			}
		case "-pause", "-leave":
			d, err := time.ParseDuration(args[1])
			ts.Check(err)
			if args[0] == "-pause" {
				o.pause = d
			} else {
				o.leave = d
			}
		default:
			ts.Fatalf("call: unknown flag %s", args[0])
		}
		args = args[2:]
	}
	if len(args) != 1 {
		ts.Fatalf("usage: call [-bg NAME] [-until PATTERN] [-ca FILE] [-X METHOD] [-H HEADER]... [-d BODY] [-pause TIME] [-leave TIME] URL")
	}
	o.url = args[0]
	return o
}

func cmdCall(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		ts.Fatalf("call cannot be negated; check its output")
	}
	o := parseCall(ts, args)
	if o.until != nil {
		write(ts, callUntil(ts, o))
		return
	}
	if o.background == "" {
		write(ts, doCall(o))
		return
	}
	o.began = make(chan struct{})
	c := &backgroundCall{done: make(chan struct{}), began: o.began}
	stateOf(ts).calls[o.background] = c
	go func() {
		c.output = doCall(o)
		close(c.done)
	}()
}

// callUntil repeats a call until its output matches, and returns that output.
func callUntil(ts *testscript.TestScript, o callOptions) string {
	var last string
	poll(ts, "call "+o.url, waitLimit, func() (bool, string) {
		last = doCall(o)
		return o.until.MatchString(last), last
	})
	return last
}

func cmdWaitCall(ts *testscript.TestScript, neg bool, args []string) {
	c := stateOf(ts).calls[one(ts, neg, args, "wait_call NAME")]
	if c == nil {
		ts.Fatalf("no call %s was started", args[0])
	}
	<-c.done
	write(ts, c.output)
}

func cmdCallBegan(ts *testscript.TestScript, neg bool, args []string) {
	c := stateOf(ts).calls[one(ts, neg, args, "call_began NAME")]
	if c == nil || c.began == nil {
		ts.Fatalf("no call %s was started", args[0])
	}
	select {
	case <-c.began:
	case <-c.done:
		ts.Fatalf("call %s ended without a head: %s", args[0], c.output)
	case <-time.After(waitLimit):
		ts.Fatalf("call %s did not begin within %v", args[0], waitLimit)
	}
}

func write(ts *testscript.TestScript, s string) {
	_, err := io.WriteString(ts.Stdout(), s)
	ts.Check(err)
}

// doCall makes a call and describes what came: "status: N", headers in order
// of name, an empty line, the body; then "broken: ERROR" if the body broke off.
// A call without an answer gives "failed: ERROR".
func doCall(o callOptions) string {
	req, err := http.NewRequest(o.method, withScheme(o.url), strings.NewReader(o.body))
	if err != nil {
		return fmt.Sprintf("failed: %v\n", err)
	}
	for _, h := range o.headers {
		name, value, _ := strings.Cut(h, ":")
		req.Header.Set(name, strings.TrimSpace(value))
	}
	transport := &http.Transport{DisableKeepAlives: true}
	if o.authority != "" {
		pool, err := trust(o.authority)
		if err != nil {
			return fmt.Sprintf("failed: %v\n", err)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	limit := callLimit
	if o.leave > 0 {
		limit = o.leave
	}
	client := &http.Client{Timeout: limit, Transport: transport}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Sprintf("failed: %v\n", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if o.began != nil {
		close(o.began)
	}
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "status: %d\n", resp.StatusCode)
	var lines []string
	for name, values := range resp.Header {
		lines = append(lines, strings.ToLower(name)+": "+strings.Join(values, ", ")+"\n")
	}
	sort.Strings(lines)
	b.WriteString(strings.Join(lines, "") + "\n")
	time.Sleep(o.pause)
	if _, err := io.Copy(&b, resp.Body); err != nil {
		_, _ = fmt.Fprintf(&b, "\nbroken: %v\n", err)
	}
	return b.String()
}

func trust(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(data)
	return pool, nil
}

func withScheme(url string) string {
	if strings.Contains(url, "://") {
		return url
	}
	return "http://" + url
}

func cmdFault(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: fault ADDRESS JSON")
	}
	post(ts, args[0]+"/admin/fault", args[1])
}

func cmdPost(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: post ADDRESS/PATH JSON")
	}
	post(ts, args[0], args[1])
}

func post(ts *testscript.TestScript, url, body string) {
	out := doCall(callOptions{method: http.MethodPost, body: body, url: url})
	if !strings.HasPrefix(out, "status: 200\n") {
		ts.Fatalf("post %s: %s", url, out)
	}
}
