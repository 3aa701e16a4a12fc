package sched_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/io/sched"
)

// Jobs must not wait in their cell while another cell has capacity, and a job that is handed over must not run in both cells.
// Each process is in the region of one cell, and every job is submitted again at the other process during its handover.
func TestWaitingJobsFillOtherCells(t *testing.T) {
	const jobs = 6
	r := newRig(t, "lausanne=3,chur=3")
	west, _ := r.startIn("ch-west", "e1")
	east, _ := r.startIn("ch-east", "e2")
	r.waitUntil("both cells have owners", func() bool {
		a, b := west.Snapshot().Cells, east.Snapshot().Cells
		return len(a) == 2 && len(b) == 2 && (a[0].Owned || b[0].Owned) && (a[1].Owned || b[1].Owned)
	})
	names := make([]model.JobID, jobs)
	for i := range names {
		names[i] = model.JobID(fmt.Sprint("j", i))
		r.submit(west, gangSpec(names[i], 1))
	}
	total := func() int {
		n := 0
		for _, id := range names {
			n += r.runningTasks(string(id))
		}
		return n
	}
	r.waitUntil("every worker has a job", func() bool {
		for _, id := range names {
			r.submit(east, gangSpec(id, 1))
		}
		return total() == jobs
	})
	time.Sleep(time.Second)
	started := map[string]int{}
	for _, e := range r.Tasks.Log(0) {
		if e.Event == "running" {
			started[e.Task]++
		}
	}
	if len(started) != jobs || total() != jobs {
		t.Errorf("tasks started: got %v, want one of each of %d jobs", started, jobs)
	}
	known := 0
	for _, c := range east.Snapshot().Cells {
		known += len(c.Running) + len(c.Waiting)
	}
	if known != jobs {
		t.Errorf("jobs in both plans: got %d, want %d", known, jobs)
	}
}

// A job must not wait for ever in a cell whose guarantees never leave capacity for a job with a long grace, while another cell
// could run it once some of its jobs have ended.
func TestJobThatOnlyFitsElsewhereMoves(t *testing.T) {
	r := newRig(t, "lausanne=3,chur=3")
	s, _ := r.start("e1")
	r.waitUntil("the process owns both cells", func() bool {
		cells := s.Snapshot().Cells
		return len(cells) == 2 && cells[0].Owned && cells[1].Owned
	})
	slow := gangSpec("slow", 3)
	slow.Checkpoint, slow.Grace, slow.Shape.Adjacent = false, 10*time.Minute, model.SameRack
	// Only chur can hold the job: the guarantee "night" is anchored to all of lausanne.
	waitingIn := func(id model.JobID) model.CellID {
		for _, c := range s.Snapshot().Cells {
			if slices.ContainsFunc(c.Waiting, func(w sched.Wait) bool { return w.Job == id }) {
				return c.Cell
			}
		}
		return ""
	}
	r.submit(s, gangSpec("here", 3))
	r.waitUntil("the first gang runs", func() bool { return r.runningTasks("here") == 3 })
	r.submit(s, gangSpec("there", 3))
	r.waitUntil("both racks are in use", func() bool { return r.runningTasks("there") == 3 })
	for n := range 20 {
		slow.ID = model.JobID(fmt.Sprint("slow", n))
		r.submit(s, slow)
		if waitingIn(slow.ID) == "lausanne" {
			break
		}
		if _, err := s.Cancel(t.Context(), []model.JobID{slow.ID}); err != nil {
			t.Fatal(err)
		}
	}
	r.waitUntil("the job waits in the cell that can hold it", func() bool { return waitingIn(slow.ID) == "chur" })
}
