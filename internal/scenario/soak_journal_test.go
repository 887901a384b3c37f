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
	c := executionCounts{started: map[string]int{}}
	for _, address := range append(engines, service) {
		ts.Check(c.addJournal(address))
	}
	count := map[string]int{}
	outcomes := map[string][]string{} // of the calls of each request, in order
	for _, r := range records {
		count[r.outcome+r.code()]++
		outcomes[r.prompt] = append(outcomes[r.prompt], r.outcome)
		if r.outcome == "answered" {
			checkAnswer(ts, r)
		}
	}
	violations := 0
	for _, r := range records {
		if violation := c.violation(r, outcomes[r.prompt]); violation != "" {
			violations++
			ts.Logf("soak: %s: %s (outcomes %v, executions %d)", violation, r, outcomes[r.prompt], c.started[r.prompt])
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
func (r callRecord) code() string {
	var response errorResponse
	if r.outcome == "answered" || json.Unmarshal([]byte(r.body), &response) != nil {
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
func (c *executionCounts) violation(r callRecord, outcomes []string) string {
	ran := c.started[r.prompt]
	switch {
	case allNotRun(outcomes) && ran > 0:
		return "a request with outcome not_run was executed"
	case r.kind == idempotentPlainService && ran > 1:
		return "a request with an idempotency key was executed more than once"
	case r.outcome == "answered" && ran == 0:
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
func checkAnswer(ts *testscript.TestScript, r callRecord) {
	want := "[tessaro/" + r.adapter + "]" + strings.Repeat(" "+r.prompt, soakTokens-1)
	text := r.body
	switch r.kind {
	case streamedCompletion:
		text = streamText(r.body)
	case plainService, idempotentPlainService:
		want = fmt.Sprintf(`"body":%q`, r.prompt)
	}
	if !strings.Contains(text, want) {
		ts.Fatalf("soak: wrong or partial response: %s", r)
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

func (c *executionCounts) addJournal(address string) error {
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
			c.started[l.Prompt]++
		case l.Body != "":
			c.started[l.Body]++
		}
	}
	return nil
}
