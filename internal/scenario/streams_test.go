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

// streamVerdict says what a caller got.
type streamVerdict uint8

const (
	streamWhole   streamVerdict = iota // its own answer, whole and in order
	streamCrossed                      // something that is not its own answer
	streamBroken                       // an answer that broke off, or none
)

// streamGroup is a number of concurrent callers, each with a prompt of its own.
type streamGroup struct {
	done     sync.WaitGroup
	verdicts []streamVerdict
}

// streamCall is one caller's request for a stream.
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
	g := &streamGroup{verdicts: make([]streamVerdict, callers)}
	stateOf(ts).streams[args[0]] = g
	g.done.Add(callers)
	for i := range callers {
		c := streamCall{url: args[5], key: args[3], model: args[4], prompt: fmt.Sprintf("caller-%d", i), tokens: tokens}
		go func() {
			defer g.done.Done()
			g.verdicts[i] = c.run()
		}()
	}
}

func cmdWaitStreams(ts *testscript.TestScript, neg bool, args []string) {
	g := stateOf(ts).streams[one(ts, neg, args, "wait_streams NAME")]
	if g == nil {
		ts.Fatalf("no streams %s were started", args[0])
	}
	g.done.Wait()
	var counts [3]int
	for _, v := range g.verdicts {
		counts[v]++
	}
	write(ts, fmt.Sprintf("whole: %d crossed: %d broken: %d\n", counts[streamWhole], counts[streamCrossed], counts[streamBroken]))
}

// run makes the call and judges its answer: the stand-in's first token names
// the adapter, the others repeat the prompt.
func (c streamCall) run() streamVerdict {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"stream":true,"max_tokens":%d}`, c.model, c.prompt, c.tokens)
	req, err := http.NewRequest(http.MethodPost, withScheme(c.url), strings.NewReader(body))
	if err != nil {
		return streamBroken
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	client := &http.Client{Timeout: callLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return streamBroken
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for i := 0; lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return wholeIf(i == c.tokens)
		}
		if !c.owns(i, data) {
			return streamCrossed
		}
		i++
	}
	return streamBroken
}

func wholeIf(whole bool) streamVerdict {
	if whole {
		return streamWhole
	}
	return streamCrossed
}

// owns reports whether data is the i-th piece of this caller's answer.
func (c streamCall) owns(i int, data string) bool {
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
