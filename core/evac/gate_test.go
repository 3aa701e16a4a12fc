package evac

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// A new owner under a load of waiting tasks must not place any before it has read the requests, nor while the store is silent for so
// long that a request may be in force that it hasn't read.
func TestGateHoldsWhileTheSetIsOld(t *testing.T) {
	var g Gate
	check := func(name string, at time.Duration, want bool) {
		t.Helper()
		if got := g.Open(start.Add(at)); got != want {
			t.Errorf("%s: got open %v, want %v", name, got, want)
		}
	}
	check("before the first listing", 0, false)
	if g.Known() {
		t.Error("got a known set before the first listing, want none")
	}
	g.Update(start)
	check("after the listing", 0, true)
	check("at the greatest age", MaxAge, true)
	check("beyond the greatest age", MaxAge+1, false)
	// The store answers again, but as of a time that was long ago: the process was suspended while the answer waited.
	g.Update(start.Add(time.Second))
	check("after a late answer", MaxAge+time.Second+1, false)
	g.Update(start.Add(MaxAge))
	check("after a current answer", MaxAge+time.Second+1, true)
	if !g.Known() {
		t.Error("got no known set after the listing, want one")
	}
}

// The bound within which nothing may start any more leaves half a second for the start itself.
func TestGreatestAgeIsWithinTheBound(t *testing.T) {
	const bound, startTime = 5 * time.Second, 500 * time.Millisecond
	if MaxAge+startTime > bound {
		t.Errorf("got a greatest age of %v, want at most %v", MaxAge, bound-startTime)
	}
}

// Under any silence of the store, each hold must be told once, as must its end with its length: operators see from it why nothing
// was placed.
func TestTransitionsFollowTheGate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g Gate
		now, heldSince, held := start, time.Time{}, false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*MaxAge)).Draw(t, "pause")))
			if rapid.Bool().Draw(t, "answered") {
				g.Update(now.Add(-time.Duration(rapid.Int64Range(0, int64(2*MaxAge)).Draw(t, "age"))))
			}
			transition, length := g.Check(now)
			var want Transition
			var wantLength time.Duration
			switch open := g.Open(now); {
			case !open && !held:
				want, held, heldSince = Held, true, now
			case open && held:
				want, held, wantLength = Resumed, false, now.Sub(heldSince)
			}
			if transition != want || length != wantLength {
				t.Fatalf("got transition %d after %v, want %d after %v", transition, length, want, wantLength)
			}
		}
	})
}
