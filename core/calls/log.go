package calls

import "time"

// MaxDelay is how long after its last attempt a call without an answer may still be carried out: the platform names 12 s, and the rest
// covers clocks that differ by 2 %.
const MaxDelay = 12500 * time.Millisecond

// Log records the attempts at calls, by key, as long as one that had no answer may still be carried out. The zero value is empty. It must
// not be used by several goroutines at the same time.
type Log[K comparable] struct {
	entries map[K]entry
}

// entry is what is recorded of the attempts at a call.
type entry struct {
	underWay int
	// unansweredAt is when the last attempt ended without an answer, zero if all of them were answered.
	unansweredAt time.Time
}

// Begin records the beginning of an attempt.
func (l *Log[K]) Begin(key K) {
	if l.entries == nil {
		l.entries = map[K]entry{}
	}
	e := l.entries[key]
	e.underWay++
	l.entries[key] = e
}

// End records the end of an attempt. An attempt that certainly wasn't received counts as answered.
func (l *Log[K]) End(now time.Time, key K, answered bool) {
	e := l.entries[key]
	e.underWay--
	if !answered {
		e.unansweredAt = now
	}
	if e.underWay <= 0 && e.unansweredAt.IsZero() {
		delete(l.entries, key)
		return
	}
	l.entries[key] = e
}

// Unanswered returns for each call that may still be carried out how long ago its last attempt without an answer ended, 0 for one that
// is under way.
func (l *Log[K]) Unanswered(now time.Time) map[K]time.Duration {
	unanswered := make(map[K]time.Duration, len(l.entries))
	for key, e := range l.entries {
		switch age := now.Sub(e.unansweredAt); {
		case e.underWay > 0:
			unanswered[key] = 0
		case age > MaxDelay:
			delete(l.entries, key)
		default:
			unanswered[key] = max(0, age)
		}
	}
	return unanswered
}
