// Package jitter spreads in time what many processes would do at once.
//
// # Usage
//
//	jitter.Pause(ctx, 500*time.Millisecond)
package jitter

import (
	"context"
	"math/rand/v2"
	"time"
)

// Pause waits for a random time from half of d up to one and a half of d, or
// until ctx is done. It panics unless d is positive.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d/2 + time.Duration(rand.Int64N(int64(d))))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
