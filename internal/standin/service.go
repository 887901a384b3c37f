package standin

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// plainService simulates a plain service, one without adapters. It records each
// request in a journal and echoes it in the response.
type plainService struct {
	mu      sync.Mutex
	journal []receivedRequest
	faults  *faultInjector
}

// receivedRequest is a journal entry and the body of the response.
type receivedRequest struct {
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body"`
}

// register adds the service's routes to h.
func (s *plainService) register(h *server.Hertz) {
	h.Use(s.faults.middleware)
	h.GET("/admin/journal", s.serveJournal)
	h.POST("/admin/fault", s.faults.serveFault)
	h.Any("/*path", s.serveRequest)
}

// serveRequest handles any request. The query parameter sleep, a duration, delays
// the response.
func (s *plainService) serveRequest(_ context.Context, rc *app.RequestContext) {
	r := receivedRequest{
		RequestID: string(rc.GetHeader("X-Request-Id")),
		Method:    string(rc.Method()),
		Path:      string(rc.Request.URI().RequestURI()),
		Body:      string(rc.Request.Body()),
	}
	s.mu.Lock()
	s.journal = append(s.journal, r)
	s.mu.Unlock()
	if d, err := time.ParseDuration(rc.Query("sleep")); err == nil {
		time.Sleep(d)
	}
	rc.JSON(200, r)
}

// serveJournal handles GET /admin/journal.
func (s *plainService) serveJournal(_ context.Context, rc *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, err := json.Marshal(s.journal)
	if err != nil {
		rc.String(500, err.Error())
		return
	}
	rc.Data(200, "application/json", b)
}
