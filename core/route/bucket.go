package route

import "time"

// bucket is a token bucket; it starts full and may go into debt for costs known only afterwards.
type bucket struct {
	level float64
	at    time.Time
}

// fill adds the tokens of the time since the last call.
func (b *bucket) fill(now time.Time, rate, size float64) {
	if b.at.IsZero() {
		b.level = size
	} else if gone := now.Sub(b.at).Seconds(); gone > 0 {
		b.level += gone * rate
	}
	b.level = min(b.level, size)
	if now.After(b.at) {
		b.at = now
	}
}

// take removes n tokens if the bucket holds them; a cost above size passes when the bucket is full.
func (b *bucket) take(n, size float64) bool {
	if b.level < min(n, size) {
		return false
	}
	b.level -= n
	return true
}
