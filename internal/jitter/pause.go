// Package jitter randomizes delays, so that many processes do not act at the same
// time.
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

// Pause waits for a random duration, uniformly distributed from d/2 to 3d/2, or
// until ctx is done. It panics unless d is positive.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d/2 + time.Duration(rand.Int64N(int64(d))))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
