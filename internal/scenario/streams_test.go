package scenario

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// streamResult classifies the response that a caller received.
type streamResult uint8

const (
	streamComplete    streamResult = iota // the complete response to its own request, in order
	streamMismatched                      // tokens of another request, or a wrong number of its own
	streamInterrupted                     // an interrupted response, or none
)

// streamGroup is a group of concurrent callers, each with a distinct prompt.
type streamGroup struct {
	done    sync.WaitGroup
	results []streamResult
}

// streamCall is one caller's request for a streamed completion.
type streamCall struct {
	url, key, model, prompt string
	tokens                  int
}

func cmdStreams(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 6 {
		ts.Fatalf("usage: streams NAME CALLERS TOKENS KEY MODEL URL")
	}
	callers, err := strconv.Atoi(args[1])
	ts.Check(err)
	tokens, err := strconv.Atoi(args[2])
	ts.Check(err)
	g := &streamGroup{results: make([]streamResult, callers)}
	stateOf(ts).streams[args[0]] = g
	g.done.Add(callers)
	for i := range callers {
		c := streamCall{url: args[5], key: args[3], model: args[4], prompt: fmt.Sprintf("caller-%d", i), tokens: tokens}
		go func() {
			defer g.done.Done()
			g.results[i] = c.run()
		}()
	}
}

func cmdWaitStreams(ts *testscript.TestScript, neg bool, args []string) {
	g := stateOf(ts).streams[singleArg(ts, neg, args, "wait_streams NAME")]
	if g == nil {
		ts.Fatalf("streams %s were not started", args[0])
	}
	g.done.Wait()
	var counts [3]int
	for _, v := range g.results {
		counts[v]++
	}
	writeStdout(ts, fmt.Sprintf("whole: %d crossed: %d broken: %d\n", counts[streamComplete], counts[streamMismatched], counts[streamInterrupted]))
}

// run sends the request and classifies the response: the stand-in's first token
// names the adapter, the others repeat the prompt.
func (c streamCall) run() streamResult {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"stream":true,"max_tokens":%d}`, c.model, c.prompt, c.tokens)
	req, err := http.NewRequest(http.MethodPost, withScheme(c.url), strings.NewReader(body))
	if err != nil {
		return streamInterrupted
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return streamInterrupted
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for i := 0; lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return resultOfLength(i == c.tokens)
		}
		if !c.isToken(i, data) {
			return streamMismatched
		}
		i++
	}
	return streamInterrupted
}

// resultOfLength returns the result of a response that ended with [DONE] and whose
// tokens were all as expected. rightLength reports whether their number was too.
func resultOfLength(rightLength bool) streamResult {
	if rightLength {
		return streamComplete
	}
	return streamMismatched
}

// isToken reports whether data is the i-th event of the response to this request.
func (c streamCall) isToken(i int, data string) bool {
	var chunk struct {
		Index   int
		Choices []struct{ Text string }
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || chunk.Index != i || len(chunk.Choices) != 1 {
		return false
	}
	text := chunk.Choices[0].Text
	if i == 0 {
		return strings.HasSuffix(text, "/"+c.model+"]")
	}
	return text == " "+c.prompt
}
