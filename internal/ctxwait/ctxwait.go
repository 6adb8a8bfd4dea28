// Package ctxwait waits for a time or for the end of a context.
package ctxwait

import (
	"context"
	"time"
)

// For waits for d, and reports false if ctx ends before or has ended. It returns at once
// if d is not positive.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
