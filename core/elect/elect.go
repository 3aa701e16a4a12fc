package elect

import "time"

const (
	// roundTrips is how many round trips to the store an entry waits before it stands for election, so that entries near the
	// store come first.
	roundTrips = 6
	// maxDistanceDelay bounds the wait for the distance to the store.
	maxDistanceDelay = 400 * time.Millisecond
	// weakRatio is the processor share, relative to that of another entry, below which an entry is weak beside it.
	weakRatio = 0.6
	// weakDelay is how much longer a weak entry waits. It exceeds maxDistanceDelay and the time that a strong entry needs for
	// an election while the store is slow.
	weakDelay = 1500 * time.Millisecond
	// yieldDelay is how much longer an entry waits within yieldTime of having handed over.
	yieldDelay = 2 * time.Second
	yieldTime  = 10 * time.Second
	// minTerm is the age of a term from which its owner may hand over. It doubles with each hand-over of the same entry, up to
	// maxMinTerm, so that entries that are all slow don't hand over to each other again and again.
	minTerm    = 3 * time.Second
	maxMinTerm = 2 * time.Minute
	// lagLimit is the lag of decisions over which an owner is late, lagTime for how long it may be late without a break.
	lagLimit = 700 * time.Millisecond
	lagTime  = 2 * time.Second
)

// Entry is another entry that is registered in the store.
type Entry struct {
	// Share is the entry's share of processor time, in cores.
	Share float64
}

// Candidate is the election state of an entry. Its zero value is an entry with an unknown share.
type Candidate struct {
	// Share is the entry's own share of processor time, in cores; 0 means that it isn't known.
	Share float64

	// yieldedAt is when the entry last handed over, zero if it never did; yields counts the hand-overs.
	yieldedAt time.Time
	yields    int
	// termStart is when the present term began.
	termStart time.Time
	// lateSince is since when the owner has been late without a break, zero while it isn't; lastLag is when the lag was last
	// measured.
	lateSince, lastLag time.Time
}

// Delay returns how long the entry waits without an owner before it stands for election. others are the other entries,
// roundTrip is the duration of a call to the store.
func (c *Candidate) Delay(now time.Time, roundTrip time.Duration, others []Entry) time.Duration {
	delay := min(maxDistanceDelay, roundTrips*roundTrip)
	if c.weak(others) {
		delay += weakDelay
	}
	if len(others) > 0 && !c.yieldedAt.IsZero() && now.Sub(c.yieldedAt) < yieldTime {
		delay += yieldDelay
	}
	return delay
}

// weak reports whether another entry has a much larger share.
func (c *Candidate) weak(others []Entry) bool {
	if c.Share == 0 {
		return false
	}
	for _, other := range others {
		if c.Share < weakRatio*other.Share {
			return true
		}
	}
	return false
}

// BeginTerm starts the term of an elected entry.
func (c *Candidate) BeginTerm(now time.Time) {
	c.termStart, c.lateSince, c.lastLag = now, time.Time{}, now
}

// RecordLag records how long an event waited before the owner handled it.
func (c *Candidate) RecordLag(now time.Time, lag time.Duration) {
	// Without events, the owner isn't late.
	if lag < lagLimit || now.Sub(c.lastLag) > lagTime {
		c.lateSince = time.Time{}
	}
	if lag >= lagLimit && c.lateSince.IsZero() {
		c.lateSince = now
	}
	c.lastLag = now
}

// HandOver returns why the owner should end its term so that another entry is elected, or an empty string if it should go on.
func (c *Candidate) HandOver(now time.Time, others []Entry) string {
	if len(others) == 0 || now.Sub(c.termStart) < c.minTerm() {
		return ""
	}
	if c.weak(others) {
		return "another entry has a larger share of processor time"
	}
	if !c.lateSince.IsZero() && now.Sub(c.lateSince) >= lagTime && c.othersAsStrong(others) {
		return "decisions are late"
	}
	return ""
}

// minTerm returns the age of a term from which the entry may hand over.
func (c *Candidate) minTerm() time.Duration {
	return min(maxMinTerm, minTerm<<min(c.yields, 10))
}

// othersAsStrong reports whether the entry isn't much stronger than all others.
func (c *Candidate) othersAsStrong(others []Entry) bool {
	for _, other := range others {
		if other.Share >= weakRatio*c.Share {
			return true
		}
	}
	return false
}

// RecordHandOver records that the entry has handed over.
func (c *Candidate) RecordHandOver(now time.Time) {
	c.yieldedAt = now
	c.yields++
}
