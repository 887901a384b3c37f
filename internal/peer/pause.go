package peer

import (
	"sync"
	"time"
)

// pauseCheckInterval is the time between two ticks of a pauseDetector.
const pauseCheckInterval = 250 * time.Millisecond

// pauseDetector detects that the process was paused for longer than
// SilenceTimeout. Messages read after such a pause may be stale, even on an
// idle connection, which allows a longer silence.
type pauseDetector struct {
	mu            sync.Mutex
	lastTick      time.Time
	lastPauseSeen time.Time // when tick last detected a pause
}

// tick records that the process is running.
func (d *pauseDetector) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.lastTick) > SilenceTimeout && !d.lastTick.IsZero() {
		d.lastPauseSeen = now
	}
	d.lastTick = now
}

// pausedSince reports whether the process was paused at some time after from.
func (d *pauseDetector) pausedSince(from, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastPauseSeen.After(from) || now.Sub(d.lastTick) > SilenceTimeout
}

// processPauses returns the detector of this process, which starts to tick at
// the first call.
var processPauses = sync.OnceValue(func() *pauseDetector {
	d := &pauseDetector{}
	d.tick(time.Now())
	go func() {
		for now := range time.Tick(pauseCheckInterval) {
			d.tick(now)
		}
	}()
	return d
})
