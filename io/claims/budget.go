package claims

import (
	"sync"
	"time"
)

// burst is the number of writes that need not wait after a quiet time.
const burst = 20

// budget spaces writes at a rate; it is safe for concurrent use.
type budget struct {
	mu sync.Mutex
	// next is when the next write is due if all earlier ones are made at the rate.
	next time.Time
}

// reserve takes the next write and returns the time to wait for it.
func (b *budget) reserve(now time.Time, perSecond float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	step := time.Duration(float64(time.Second) / perSecond)
	if earliest := now.Add(-burst * step); b.next.Before(earliest) {
		b.next = earliest
	}
	b.next = b.next.Add(step)
	return max(0, b.next.Sub(now))
}
