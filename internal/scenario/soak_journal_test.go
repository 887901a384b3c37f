package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// executionCounts holds how often the engines and the plain service executed each
// request, by their journals.
type executionCounts struct {
	started map[string]int // by prompt or body
}

// journalEntry is an entry of the journal of an engine or of the plain service.
type journalEntry struct {
	Prompt string `json:"prompt"`
	Event  string `json:"event"`
	Body   string `json:"body"`
}

// checkJournals fails the script unless the responses that the callers received
// agree with the requests that the engines and the plain service executed.
func checkJournals(ts *testscript.TestScript, records []callRecord, engines []string, service string) {
	j := executionCounts{started: map[string]int{}}
	for _, address := range append(engines, service) {
		ts.Check(j.addJournal(address))
	}
	count := map[string]int{}
	outcomes := map[string][]string{} // of the calls of each request, in order
	for _, s := range records {
		count[s.outcome+s.code()]++
		outcomes[s.prompt] = append(outcomes[s.prompt], s.outcome)
		if s.outcome == "answered" {
			checkAnswer(ts, s)
		}
	}
	violations := 0
	for _, s := range records {
		if violation := j.violation(s, outcomes[s.prompt]); violation != "" {
			violations++
			ts.Logf("soak: %s: %s (outcomes %v, executions %d)", violation, s, outcomes[s.prompt], j.started[s.prompt])
		}
	}
	ts.Logf("soak: %d calls: %v", len(records), count)
	if violations > 0 {
		ts.Fatalf("soak: %d calls violate an invariant", violations)
	}
	if count["answered"] == 0 {
		ts.Fatalf("soak: no call was answered")
	}
}

// code returns a space and the code of an error response, empty for other
// responses.
func (s callRecord) code() string {
	var response errorResponse
	if s.outcome == "answered" || json.Unmarshal([]byte(s.body), &response) != nil {
		return ""
	}
	return " " + response.Error.Code
}

// errorResponse is the part of an error response that a soak counts.
type errorResponse struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// violation returns the invariant that a call violates, given the outcomes of all
// calls of its request, and an empty string if there is none.
func (j *executionCounts) violation(s callRecord, outcomes []string) string {
	ran := j.started[s.prompt]
	switch {
	case allNotRun(outcomes) && ran > 0:
		return "a request with outcome not_run was executed"
	case s.kind == idempotentPlainService && ran > 1:
		return "a request with an idempotency key was executed more than once"
	case s.outcome == "answered" && ran == 0:
		return "an answered request was never executed"
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

// checkAnswer fails the script unless the response is complete, belongs to its
// request and comes from the adapter that the request names.
func checkAnswer(ts *testscript.TestScript, s callRecord) {
	want := "[tessaro/" + s.adapter + "]" + strings.Repeat(" "+s.prompt, soakTokens-1)
	text := s.body
	switch s.kind {
	case streamedCompletion:
		text = streamText(s.body)
	case plainService, idempotentPlainService:
		want = fmt.Sprintf(`"body":%q`, s.prompt)
	}
	if !strings.Contains(text, want) {
		ts.Fatalf("soak: wrong or partial response: %s", s)
	}
}

// streamText returns the text of a complete event stream, and an empty string for
// a partial one.
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

func (j *executionCounts) addJournal(address string) error {
	resp, err := http.Get("http://" + address + "/admin/journal")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	var lines []journalEntry
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
