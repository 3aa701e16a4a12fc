package owner

import "time"

// evacuationMaxAge bounds the age of the evacuated data centres by which tasks are placed and started. Together with the way
// of a start to the worker it is within the 5 s from which nothing may start in an evacuated data centre.
const evacuationMaxAge = 4500 * time.Millisecond

// applyEvacuations passes the evacuated data centres to the scheduler if they may have changed.
func (t *term) applyEvacuations(now time.Time) {
	e := t.owner.Evacuations
	if e == nil {
		return
	}
	// The time is read first, since a later set may be read with it but not an earlier one.
	asOf := e.AsOf()
	if e.Synced() {
		set, revision := e.Snapshot()
		if !t.evacuationsKnown || revision != t.evacuationRevision {
			t.scheduler.SetEvacuated(now, set.Centres())
		}
		t.evacuationsKnown, t.evacuationRevision, t.evacuatedAsOf = true, revision, asOf
	}
	switch held := !t.mayPlace(now); {
	case held && t.heldAt.IsZero():
		t.heldAt = now
		t.owner.Log.Warn("placements held: the evacuated data centres aren't known", "listed", t.evacuationsKnown, "fence", t.fence)
	case !held && !t.heldAt.IsZero():
		t.owner.Log.Info("placements resumed: the evacuated data centres are known", "held", now.Sub(t.heldAt).Milliseconds(), "fence", t.fence)
		t.heldAt = time.Time{}
	}
}

// mayPlace reports whether the evacuated data centres are known well enough to place and start tasks.
func (t *term) mayPlace(now time.Time) bool {
	return t.owner.Evacuations == nil || t.evacuationsKnown && now.Sub(t.evacuatedAsOf) <= evacuationMaxAge
}
