package clock

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
