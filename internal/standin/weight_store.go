package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// adapterLoadTime is the duration of one adapter's transfer while the weight
// store is not overloaded.
const adapterLoadTime = 250 * time.Millisecond

// weightStore simulates the rate-limited weight store. Transfers start at a
// limited rate. A transfer takes adapterLoadTime while at most maxFullSpeed
// transfers are in flight, and proportionally longer above that.
type weightStore struct {
	mu            sync.Mutex
	startInterval time.Duration // between two starts
	maxFullSpeed  int           // number of transfers in flight above which each slows down
	nextStart     time.Time     // earliest start of the next transfer
	inFlight      int
	peakInFlight  int
	transfers     int // started so far
	faults        *faultInjector
}

func newWeightStore(rate float64, maxFullSpeed int) *weightStore {
	return &weightStore{
		startInterval: time.Duration(float64(time.Second) / rate),
		maxFullSpeed:  maxFullSpeed,
		faults:        newFaultInjector(),
	}
}

// register adds the weight store's routes to h.
func (s *weightStore) register(h *server.Hertz) {
	h.Use(s.faults.middleware)
	h.GET("/v1/weights/*name", s.fetch)
	h.GET("/admin/stats", s.stats)
	h.POST("/admin/fault", s.faults.serveFault)
}

// fetch handles GET /v1/weights/*name. It responds at the end of the transfer.
func (s *weightStore) fetch(ctx context.Context, rc *app.RequestContext) {
	start, duration := s.admit(time.Now())
	defer s.release()
	select {
	case <-time.After(time.Until(start) + duration):
		rc.String(200, "weights\n")
	case <-ctx.Done():
	}
}

// admit registers a transfer and returns its start time and duration.
func (s *weightStore) admit(now time.Time) (time.Time, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	start := s.nextStart
	if start.Before(now) {
		start = now
	}
	s.nextStart = start.Add(s.startInterval)
	s.inFlight++
	s.transfers++
	s.peakInFlight = max(s.peakInFlight, s.inFlight)
	duration := adapterLoadTime
	if s.inFlight > s.maxFullSpeed {
		duration = duration * time.Duration(s.inFlight) / time.Duration(s.maxFullSpeed)
	}
	return start, duration
}

func (s *weightStore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

type weightStoreStats struct {
	Loads    int `json:"loads"`
	InFlight int `json:"in_flight"`
	Peak     int `json:"peak"`
}

// stats handles GET /admin/stats.
func (s *weightStore) stats(_ context.Context, rc *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rc.JSON(200, weightStoreStats{Loads: s.transfers, InFlight: s.inFlight, Peak: s.peakInFlight})
}
