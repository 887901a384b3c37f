package peer

import (
	"sync"
	"time"
)

// stillnessTick is how often a running process notes that it runs.
const stillnessTick = 250 * time.Millisecond

// stillness tells whether the process stood still for longer than
// SilenceTimeout, so that what it reads then may be old although an idle
// connection allows longer silence.
type stillness struct {
	mu       sync.Mutex
	lastTick time.Time
	lastEnd  time.Time // when the last stand-still was noticed
}

// tick notes that the process runs.
func (s *stillness) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastTick) > SilenceTimeout && !s.lastTick.IsZero() {
		s.lastEnd = now
	}
	s.lastTick = now
}

// since reports whether the process stood still at some time after from.
func (s *stillness) since(from, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastEnd.After(from) || now.Sub(s.lastTick) > SilenceTimeout
}

// processStillness is that of this process. It ticks from the first use on.
var processStillness = sync.OnceValue(func() *stillness {
	s := &stillness{}
	s.tick(time.Now())
	go func() {
		for now := range time.Tick(stillnessTick) {
			s.tick(now)
		}
	}()
	return s
})
