package route

import "time"

// bucket is a token bucket. It starts full, and its tokens may become negative for costs that are known only afterwards.
type bucket struct {
	tokens   float64
	filledAt time.Time
}

// refill adds the tokens for the time since the last call, at rate tokens a second up to capacity.
func (b *bucket) refill(now time.Time, rate, capacity float64) {
	if b.filledAt.IsZero() {
		b.tokens = capacity
	} else if elapsed := now.Sub(b.filledAt).Seconds(); elapsed > 0 {
		b.tokens += elapsed * rate
	}
	b.tokens = min(b.tokens, capacity)
	if now.After(b.filledAt) {
		b.filledAt = now
	}
}

// spend removes n tokens if the bucket holds them, and reports whether it did. A cost above the capacity is allowed when the
// bucket is full.
func (b *bucket) spend(n, capacity float64) bool {
	if b.tokens < min(n, capacity) {
		return false
	}
	b.tokens -= n
	return true
}
