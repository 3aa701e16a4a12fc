package admin

import (
	"sync"
	"time"
)

// tokenBucket limits the rate of calls, with bursts up to its capacity. The zero value is not usable.
type tokenBucket struct {
	capacity, perSecond float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// newTokenBucket returns a full bucket.
func newTokenBucket(capacity, perSecond float64) *tokenBucket {
	return &tokenBucket{capacity: capacity, perSecond: perSecond, tokens: capacity}
}

// allow takes a token for a call at now, and reports whether there was one.
func (b *tokenBucket) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() && now.After(b.last) {
		b.tokens = min(b.capacity, b.tokens+now.Sub(b.last).Seconds()*b.perSecond)
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
