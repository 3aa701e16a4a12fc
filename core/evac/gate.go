package evac

import "time"

// MaxAge bounds the age of the set by which an owner places and starts tasks. Together with the way of a start to the
// worker it is within the 5 s from which nothing may start in an evacuated data centre.
const MaxAge = 4500 * time.Millisecond

// Gate decides whether an owner may place and start tasks: only while its set of evacuated data centres was that of the store at most
// MaxAge ago. In the zero value, nothing is known, and placements are held.
type Gate struct {
	known bool
	// asOf is a time at which the set was that of the store.
	asOf time.Time
	// heldSince is when Check found that placements are held, zero while they aren't.
	heldSince time.Time
}

// Update notes that the set in use was that of the store at a time.
func (g *Gate) Update(asOf time.Time) { g.known, g.asOf = true, asOf }

// Known reports whether the set has been read at all.
func (g *Gate) Known() bool { return g.known }

// Open reports whether tasks may be placed and started at a time.
func (g *Gate) Open(now time.Time) bool { return g.known && now.Sub(g.asOf) <= MaxAge }

// Transition says whether placements have just been held or resumed.
type Transition int

// Transitions of a Gate.
const (
	NoTransition Transition = iota
	Held
	Resumed
)

// Check reports whether the gate was closed or opened since the last call. For Resumed, it also returns how long placements were held.
func (g *Gate) Check(now time.Time) (Transition, time.Duration) {
	open := g.Open(now)
	switch {
	case !open && g.heldSince.IsZero():
		g.heldSince = now
		return Held, 0
	case open && !g.heldSince.IsZero():
		held := now.Sub(g.heldSince)
		g.heldSince = time.Time{}
		return Resumed, held
	}
	return NoTransition, 0
}
