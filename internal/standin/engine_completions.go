package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

// completionBody is the part of a completion request that the engine reads.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (b *completionBody) prompt() string {
	parts := []string{}
	if b.Prompt != "" {
		parts = append(parts, b.Prompt)
	}
	for _, m := range b.Messages {
		parts = append(parts, m.Content)
	}
	return strings.Join(parts, " ")
}

// token returns the i-th token of the response: the name of the adapter for
// i = 0, then the words of the prompt, repeated cyclically.
func (b *completionBody) token(i int) string {
	if i == 0 {
		return "[" + b.Model + "]"
	}
	words := strings.Fields(b.prompt())
	if len(words) == 0 {
		return " -"
	}
	return " " + words[(i-1)%len(words)]
}

// complete handles POST /v1/completions and /v1/chat/completions. The status is 400
// for an invalid body, or that of start.
func (e *engine) complete(ctx context.Context, rc *app.RequestContext) {
	var body completionBody
	if err := json.Unmarshal(rc.Request.Body(), &body); err != nil {
		rc.String(400, err.Error())
		return
	}
	if body.MaxTokens <= 0 {
		body.MaxTokens = e.opts.defaultTokens
	}
	id := string(rc.GetHeader("X-Request-Id"))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run, status := e.start(id, &body, cancel)
	if status != 200 {
		rc.String(status, "cannot run %s\n", body.Model)
		return
	}
	defer e.finish(id, run)
	select {
	case e.batchSlots <- struct{}{}:
		defer func() { <-e.batchSlots }()
	case <-ctx.Done():
		e.abortConnection(rc)
		return
	}
	if body.Stream {
		e.stream(ctx, rc, &body)
		return
	}
	e.respondBuffered(ctx, rc, &body)
}

// start registers a request and returns status 200, 503 while the engine restarts,
// or 409 if the adapter is not loaded. The journal has the request as started even
// if it then waits for a batch slot.
func (e *engine) start(id string, body *completionBody, cancel context.CancelFunc) (*engineRun, int) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isUp(now) {
		return nil, 503
	}
	if !e.loaded[body.Model] {
		return nil, 409
	}
	e.appendJournal(id, body.Model, body.prompt(), "started")
	run := &engineRun{cancel: cancel}
	e.runs[id] = run
	if e.opts.crashWord != "" && strings.Contains(body.prompt(), e.opts.crashWord) {
		e.restart(now)
	}
	return run, 200
}

// finish ends a request that start registered. A request that a restart aborted is
// already in the journal as crashed.
func (e *engine) finish(id string, run *engineRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[id] == run {
		delete(e.runs, id)
	}
	if !run.crashed {
		e.appendJournal(id, "", "", "finished")
	}
}

// stream sends the tokens as server-sent events and ends with [DONE]. It ends early,
// without [DONE], if truncateAfter is set.
func (e *engine) stream(ctx context.Context, rc *app.RequestContext, body *completionBody) {
	rc.SetContentType("text/event-stream")
	rc.Response.HijackWriter(resp.NewChunkedBodyWriter(&rc.Response, rc.GetWriter()))
	e.mu.Lock()
	truncateAfter := e.truncateAfter
	e.mu.Unlock()
	for i := 0; i < body.MaxTokens; i++ {
		if truncateAfter > 0 && i == truncateAfter {
			return
		}
		if !e.waitToken(ctx) {
			e.abortConnection(rc)
			return
		}
		chunk, err := json.Marshal(streamChunk{Index: i, Choices: []completionChoice{{Text: body.token(i)}}})
		if err != nil {
			panic("standin: cannot encode a chunk: " + err.Error())
		}
		if _, err := fmt.Fprintf(rc, "data: %s\n\n", chunk); err != nil {
			return
		}
		if err := rc.Flush(); err != nil {
			return
		}
	}
	_, _ = io.WriteString(rc, "data: [DONE]\n\n") // the connection may be closed
	_ = rc.Flush()
}

// respondBuffered sends all tokens in one JSON response.
func (e *engine) respondBuffered(ctx context.Context, rc *app.RequestContext, body *completionBody) {
	var text strings.Builder
	for i := 0; i < body.MaxTokens; i++ {
		if !e.waitToken(ctx) {
			e.abortConnection(rc)
			return
		}
		text.WriteString(body.token(i))
	}
	rc.JSON(200, completionResponse{Model: body.Model, Choices: []completionChoice{{Text: text.String()}}})
}

// waitToken waits for the time between two tokens. It reports false if ctx is
// canceled before.
func (e *engine) waitToken(ctx context.Context) bool {
	timer := time.NewTimer(e.opts.tokenInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// abortConnection closes the caller's connection before the response is complete.
func (e *engine) abortConnection(rc *app.RequestContext) {
	_ = rc.GetConn().Close() // the caller detects the failure by the closed connection
}

// cancelRequest handles DELETE /v1/requests/:id. The status is 404 if the request is
// not queued or running.
func (e *engine) cancelRequest(_ context.Context, rc *app.RequestContext) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := rc.Param("id")
	run := e.runs[id]
	if run == nil {
		rc.AbortWithStatus(404)
		return
	}
	e.appendJournal(id, "", "", "cancelled")
	run.cancel()
	rc.SetStatusCode(200)
}

type completionChoice struct {
	Text string `json:"text"`
}

type streamChunk struct {
	Index   int                `json:"index"`
	Choices []completionChoice `json:"choices"`
}

type completionResponse struct {
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
}
