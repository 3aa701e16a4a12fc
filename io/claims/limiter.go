package claims

import (
	"sync"
	"time"
)

// writeBurst is the number of writes that need not wait after an idle period.
const writeBurst = 20

// rateLimiter spaces writes at a rate after a burst; it is safe for concurrent use.
type rateLimiter struct {
	mu sync.Mutex
	// nextDue is when the next write is due if all earlier ones were made at the rate.
	nextDue time.Time
}

// reserve reserves the next write and returns how long to wait before it.
func (b *rateLimiter) reserve(now time.Time, perSecond float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	step := time.Duration(float64(time.Second) / perSecond)
	if earliest := now.Add(-writeBurst * step); b.nextDue.Before(earliest) {
		b.nextDue = earliest
	}
	b.nextDue = b.nextDue.Add(step)
	return max(0, b.nextDue.Sub(now))
}
