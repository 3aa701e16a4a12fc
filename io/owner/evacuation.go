package owner

import (
	"time"

	"wagtailhoist/core/evac"
)

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
		if !t.evacuations.Known() || revision != t.evacuationRevision {
			t.scheduler.SetEvacuated(now, set.Centres())
		}
		t.evacuationRevision = revision
		t.evacuations.Update(asOf)
	}
	switch transition, held := t.evacuations.Check(now); transition {
	case evac.Held:
		t.owner.Log.Warn("placements held: the evacuated data centres aren't known", "listed", t.evacuations.Known(), "fence", t.fence)
	case evac.Resumed:
		t.owner.Log.Info("placements resumed: the evacuated data centres are known", "held", held.Milliseconds(), "fence", t.fence)
	}
}

// mayPlace reports whether the evacuated data centres are known well enough to place and start tasks.
func (t *term) mayPlace(now time.Time) bool {
	return t.owner.Evacuations == nil || t.evacuations.Open(now)
}
