package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// journals are what the engines and the plain service say that they ran, by
// prompt or body.
type journals struct {
	started map[string]int
}

// journalLine is a line of an engine's or of the plain service's journal.
type journalLine struct {
	Prompt string `json:"prompt"`
	Event  string `json:"event"`
	Body   string `json:"body"`
}

// checkJournals fails the script unless what the callers saw agrees with what
// ran.
func checkJournals(ts *testscript.TestScript, seen []seenCall, engines []string, service string) {
	j := journals{started: map[string]int{}}
	for _, address := range append(engines, service) {
		ts.Check(j.read(address))
	}
	count := map[string]int{}
	outcomes := map[string][]string{} // of each request, in order
	for _, s := range seen {
		count[s.outcome+s.code()]++
		outcomes[s.prompt] = append(outcomes[s.prompt], s.outcome)
		if s.outcome == "answered" {
			checkAnswer(ts, s)
		}
	}
	faults := 0
	for _, s := range seen {
		if problem := j.problem(s, outcomes[s.prompt]); problem != "" {
			faults++
			ts.Logf("soak: %s: %s (seen %v, started %d)", problem, s, outcomes[s.prompt], j.started[s.prompt])
		}
	}
	ts.Logf("soak: %d calls: %v", len(seen), count)
	if faults > 0 {
		ts.Fatalf("soak: %d calls against the rules", faults)
	}
	if count["answered"] == 0 {
		ts.Fatalf("soak: nothing was answered")
	}
}

// code returns the code of an error reply, empty for others.
func (s seenCall) code() string {
	var reply errorReply
	if s.outcome == "answered" || json.Unmarshal([]byte(s.body), &reply) != nil {
		return ""
	}
	return " " + reply.Error.Code
}

// errorReply is the part of an error reply that a soak counts.
type errorReply struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// problem says what is wrong between a call and what ran, empty if nothing is.
func (j *journals) problem(s seenCall, outcomes []string) string {
	ran := j.started[s.prompt]
	switch {
	case allNotRun(outcomes) && ran > 0:
		return "a request that was said not to have run has run"
	case s.kind == keyed && ran > 1:
		return "a request with an idempotency key ran more than once"
	case s.outcome == "answered" && ran == 0:
		return "an answer without a run"
	}
	return ""
}

func allNotRun(outcomes []string) bool {
	for _, o := range outcomes {
		if o != "not_run" {
			return false
		}
	}
	return true
}

// checkAnswer fails the script unless the answer is whole, to its own request
// and from the adapter that the request names.
func checkAnswer(ts *testscript.TestScript, s seenCall) {
	want := "[tessaro/" + s.adapter + "]" + strings.Repeat(" "+s.prompt, soakTokens-1)
	text := s.body
	switch s.kind {
	case stream:
		text = streamText(s.body)
	case plain, keyed:
		want = fmt.Sprintf(`"body":%q`, s.prompt)
	}
	if !strings.Contains(text, want) {
		ts.Fatalf("soak: a wrong or partial answer: %s", s)
	}
}

// streamText returns the text of a whole event stream, empty for a partial one.
func streamText(body string) string {
	var b strings.Builder
	lines := strings.Split(strings.TrimSpace(body), "\n\n")
	if lines[len(lines)-1] != "data: [DONE]" {
		return ""
	}
	for _, line := range lines[:len(lines)-1] {
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &chunk) != nil || len(chunk.Choices) != 1 {
			return ""
		}
		b.WriteString(chunk.Choices[0].Text)
	}
	return b.String()
}

func (j *journals) read(address string) error {
	resp, err := http.Get("http://" + address + "/admin/journal")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	var lines []journalLine
	if err := json.Unmarshal(data, &lines); err != nil {
		return err
	}
	for _, l := range lines {
		switch {
		case l.Event == "started":
			j.started[l.Prompt]++
		case l.Body != "":
			j.started[l.Body]++
		}
	}
	return nil
}
