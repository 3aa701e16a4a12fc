package admin

import (
	"sync"
	"time"
)

// bucket admits calls at a rate, with bursts up to its size. The zero value is not usable.
type bucket struct {
	size, perSecond float64

	mu    sync.Mutex
	level float64
	last  time.Time
}

func newBucket(size, perSecond float64) *bucket {
	return &bucket{size: size, perSecond: perSecond, level: size}
}

// take reports whether a call may proceed at now.
func (b *bucket) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() && now.After(b.last) {
		b.level = min(b.size, b.level+now.Sub(b.last).Seconds()*b.perSecond)
	}
	b.last = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
