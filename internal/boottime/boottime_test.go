package boottime

import (
	"testing"
	"time"
)

// TestNow guards against a clock that stands still or has another unit.
func TestNow(t *testing.T) {
	before := Now()
	time.Sleep(20 * time.Millisecond)
	if passed := Now() - before; before <= 0 || passed < 20*time.Millisecond || passed > 10*time.Second {
		t.Errorf("%s passed after %s", passed, before)
	}
}
