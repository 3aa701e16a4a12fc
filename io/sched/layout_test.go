package sched_test

import (
	"testing"

	"wagtailhoist/core/assign"
	"wagtailhoist/core/model"
)

// Guards against two processes that group the same workers into different cells, each with an owner of its own: the
// layout of the first one holds for all, and one that reads nothing controls nothing.
func TestLayoutOfTheFirstHolds(t *testing.T) {
	r := newRig(t, "lausanne=2,fribourg=1")
	first := r.make("e1", assign.ByRegion)
	r.run(first)
	r.until("one cell for the region", func() bool {
		cells := first.Snapshot().Cells
		return len(cells) == 1 && cells[0].Cell == "ch-west" && len(cells[0].Workers) == 3
	})
	second := r.make("e2", assign.ByCentre)
	if _, err := second.Mark(nil); err == nil {
		t.Error("cells of workers before the layout is read: got no error")
	}
	r.run(second)
	r.until("the same cell at the second", func() bool {
		cells := second.Snapshot().Cells
		return len(cells) == 1 && cells[0].Cell == "ch-west"
	})
	got, err := second.Mark([]model.Worker{{ID: "w", Region: "ch-east", Centre: "chur"}})
	if err != nil || got[0].Cell != "ch-east" {
		t.Errorf("cell of a worker: got %v, %v, want ch-east", got, err)
	}
}
