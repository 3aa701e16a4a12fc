package sched_test

import (
	"testing"

	"wagtailhoist/core/assign"
	"wagtailhoist/core/model"
)

// Two processes must not group the same workers into different cells, each with an owner of its own: all use the layout that
// the first one stores, and a process that has not read it yet knows no cells.
func TestLayoutOfTheFirstHolds(t *testing.T) {
	r := newRig(t, "lausanne=2,fribourg=1")
	first := r.newSched("e1", assign.ByRegion)
	r.run(first)
	r.waitUntil("one cell for the region", func() bool {
		cells := first.Snapshot().Cells
		return len(cells) == 1 && cells[0].Cell == "ch-west" && len(cells[0].Workers) == 3
	})
	second := r.newSched("e2", assign.ByCentre)
	if _, err := second.SetCells(nil); err == nil {
		t.Error("cells of workers before the layout is read: got no error")
	}
	r.run(second)
	r.waitUntil("the same cell at the second process", func() bool {
		cells := second.Snapshot().Cells
		return len(cells) == 1 && cells[0].Cell == "ch-west"
	})
	got, err := second.SetCells([]model.Worker{{ID: "w", Region: "ch-east", Centre: "chur"}})
	if err != nil || got[0].Cell != "ch-east" {
		t.Errorf("cell of a worker: got %v, %v, want ch-east", got, err)
	}
}
