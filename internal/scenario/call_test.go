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

// callTimeout bounds the duration of one call of a script.
const callTimeout = 60 * time.Second

// callOptions are the flags of the command call.
type callOptions struct {
	background      string
	method          string
	headers         []string
	body            string
	caFile          string         // path of the certificate to trust, for https
	readDelay       time.Duration  // flag -pause: between the response header and reading the body
	disconnectAfter time.Duration  // flag -leave: time after which the caller disconnects, never when zero
	until           *regexp.Regexp // repeat the call until its output matches, nil for one call
	url             string
	headerReceived  chan struct{} // closed when the response header has arrived
}

// backgroundCall is a call or a load that runs in the background.
type backgroundCall struct {
	done           chan struct{}
	output         string
	headerReceived chan struct{} // as in callOptions, nil for a load
}

func parseCall(ts *testscript.TestScript, args []string) callOptions {
	o := callOptions{method: http.MethodGet}
	for len(args) > 1 {
		switch args[0] {
		case "-bg":
			o.background = args[1]
		case "-ca":
			o.caFile = ts.MkAbs(args[1])
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
				o.readDelay = d
			} else {
				o.disconnectAfter = d
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
		writeStdout(ts, callUntil(ts, o))
		return
	}
	if o.background == "" {
		writeStdout(ts, doCall(o))
		return
	}
	o.headerReceived = make(chan struct{})
	c := &backgroundCall{done: make(chan struct{}), headerReceived: o.headerReceived}
	stateOf(ts).calls[o.background] = c
	go func() {
		c.output = doCall(o)
		close(c.done)
	}()
}

// callUntil repeats a call until its output matches, and returns that output.
func callUntil(ts *testscript.TestScript, o callOptions) string {
	var last string
	poll(ts, "call "+o.url, waitTimeout, func() (bool, string) {
		last = doCall(o)
		return o.until.MatchString(last), last
	})
	return last
}

func cmdWaitCall(ts *testscript.TestScript, neg bool, args []string) {
	c := stateOf(ts).calls[singleArg(ts, neg, args, "wait_call NAME")]
	if c == nil {
		ts.Fatalf("call %s was not started", args[0])
	}
	<-c.done
	writeStdout(ts, c.output)
}

func cmdRanAsStated(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: ran_as_stated NAME ADDRESS/PATH PATTERN")
	}
	c := stateOf(ts).calls[args[0]]
	if c == nil {
		ts.Fatalf("call %s was not started", args[0])
	}
	<-c.done
	runs := len(regexp.MustCompile(args[2]).FindAllString(doCall(callOptions{method: "GET", url: args[1]}), -1))
	switch {
	case strings.Contains(c.output, "x-outcome: answered") && runs == 1:
	case strings.Contains(c.output, "x-outcome: not_run") && runs == 0:
	default:
		ts.Fatalf("%d runs of a call with the output:\n%s", runs, c.output)
	}
}

func cmdCallBegan(ts *testscript.TestScript, neg bool, args []string) {
	c := stateOf(ts).calls[singleArg(ts, neg, args, "call_began NAME")]
	if c == nil || c.headerReceived == nil {
		ts.Fatalf("call %s was not started", args[0])
	}
	select {
	case <-c.headerReceived:
	case <-c.done:
		ts.Fatalf("call %s ended without a response header: %s", args[0], c.output)
	case <-time.After(waitTimeout):
		ts.Fatalf("call %s: no response header within %v", args[0], waitTimeout)
	}
}

func writeStdout(ts *testscript.TestScript, s string) {
	_, err := io.WriteString(ts.Stdout(), s)
	ts.Check(err)
}

// doCall sends a request and returns the response as text: "status: N", the
// headers sorted by name, an empty line and the body, followed by
// "broken: ERROR" if reading the body failed. For a call without a response it
// returns "failed: ERROR".
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
	if o.caFile != "" {
		pool, err := loadCertPool(o.caFile)
		if err != nil {
			return fmt.Sprintf("failed: %v\n", err)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	timeout := callTimeout
	if o.disconnectAfter > 0 {
		timeout = o.disconnectAfter
	}
	client := &http.Client{Timeout: timeout, Transport: transport}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Sprintf("failed: %v\n", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if o.headerReceived != nil {
		close(o.headerReceived)
	}
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "status: %d\n", resp.StatusCode)
	var lines []string
	for name, values := range resp.Header {
		lines = append(lines, strings.ToLower(name)+": "+strings.Join(values, ", ")+"\n")
	}
	sort.Strings(lines)
	b.WriteString(strings.Join(lines, "") + "\n")
	time.Sleep(o.readDelay)
	if _, err := io.Copy(&b, resp.Body); err != nil {
		_, _ = fmt.Fprintf(&b, "\nbroken: %v\n", err)
	}
	return b.String()
}

func loadCertPool(path string) (*x509.CertPool, error) {
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
