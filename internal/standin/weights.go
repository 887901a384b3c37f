package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// adapterLoadTime is what the transfer of one adapter takes while the store is
// not overloaded.
const adapterLoadTime = 250 * time.Millisecond

// weights is the stand-in of the rate-limited weight store. A transfer takes
// adapterLoadTime while at most fullSpeed are in flight and proportionally
// longer beyond; transfers start at the given rate at most.
type weights struct {
	mu        sync.Mutex
	interval  time.Duration // between two starts
	fullSpeed int
	nextStart time.Time
	inFlight  int
	peak      int
	loads     int
	faults    *faults
}

func newWeights(rate float64, fullSpeed int) *weights {
	return &weights{
		interval:  time.Duration(float64(time.Second) / rate),
		fullSpeed: fullSpeed,
		faults:    newFaults(),
	}
}

// register adds the weight store's routes to h.
func (s *weights) register(h *server.Hertz) {
	h.Use(s.faults.filter)
	h.GET("/v1/weights/*name", s.fetch)
	h.GET("/admin/stats", s.stats)
	h.POST("/admin/fault", s.faults.serveFault)
}

func (s *weights) fetch(ctx context.Context, rc *app.RequestContext) {
	start, duration := s.admit(time.Now())
	defer s.done()
	select {
	case <-time.After(time.Until(start) + duration):
		rc.String(200, "weights\n")
	case <-ctx.Done():
	}
}

// admit returns when a transfer may start and how long it takes.
func (s *weights) admit(now time.Time) (time.Time, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	start := s.nextStart
	if start.Before(now) {
		start = now
	}
	s.nextStart = start.Add(s.interval)
	s.inFlight++
	s.loads++
	s.peak = max(s.peak, s.inFlight)
	duration := adapterLoadTime
	if s.inFlight > s.fullSpeed {
		duration = duration * time.Duration(s.inFlight) / time.Duration(s.fullSpeed)
	}
	return start, duration
}

func (s *weights) done() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

type weightsStats struct {
	Loads    int `json:"loads"`
	InFlight int `json:"in_flight"`
	Peak     int `json:"peak"`
}

func (s *weights) stats(_ context.Context, rc *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rc.JSON(200, weightsStats{Loads: s.loads, InFlight: s.inFlight, Peak: s.peak})
}
