package cell

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wagtailhoist/core/model"
)

// toStore reports whether an effect is a call to the store.
func toStore(e Effect) bool {
	switch e.(type) {
	case GrantLease, RenewLease, RevokeLease, WriteOwner, LoadPlan, WriteBase, WriteLog:
		return true
	}
	return false
}

// Guards against every interleaving of pauses, kills, overlapping owners, lost answers, lost workers, outages in which
// the owner goes on, and partitions of one process from the store while another takes over, in
// which a gang runs in part for longer than a grant ttl plus a control interval, a task starts twice, or two
// placements of a job run at a time; and against a cell that does not recover afterwards.
func TestGangsUnderFaults(t *testing.T) {
	detached := 0
	rapid.Check(t, func(t *rapid.T) { detached += drive(t, nil) })
	if detached == 0 {
		t.Error("no history had a detached owner")
	}
}

// drive draws a history and checks it; alter changes the effects of every process in trials. It returns how often an
// owner that was cut off went on.
func drive(t *rapid.T, alter func(Effect) Effect) (detached int) {
	draw := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
	seed := rapid.Uint64().Draw(t, "seed")
	w := newWorld(func(n int) int {
		// Delays and fates come from one drawn seed, so that a history stays short enough to be reduced.
		seed ^= seed << 13
		seed ^= seed >> 7
		seed ^= seed << 17
		return int(seed>>33) % n
	})
	rate, worksDown := 0, false
	w.fault = func(e Effect) fate {
		if !toStore(e) && worksDown {
			return before
		}
		if w.draw(100) < rate {
			return []fate{before, lost, twice}[w.draw(3)]
		}
		return fine
	}
	start := func() *proc {
		p := w.start()
		p.alter = alter
		return p
	}
	start()
	start()
	live := func() *proc {
		var ps []*proc
		for _, p := range w.procs {
			if !p.dead {
				ps = append(ps, p)
			}
		}
		return ps[draw("process", len(ps))]
	}
	var jobs []model.JobID
	var open []uint64
	steps := rapid.IntRange(5, 40).Draw(t, "steps")
	for range steps {
		switch draw("step", 15) {
		case 0, 1:
			id := model.JobID(fmt.Sprintf("j%d-%d", len(jobs), 1+draw("tasks", 4)))
			if p := live(); !p.paused && len(jobs) < 8 {
				jobs = append(jobs, id)
				open = append(open, w.submit(p, id))
			}
		case 2:
			if p := live(); !p.paused && len(jobs) > 0 {
				w.cancel(p, jobs[draw("job", len(jobs))])
			}
		case 3:
			if len(jobs) > 0 {
				w.finish(jobs[draw("job", len(jobs))])
			}
		case 4:
			live().paused = true
		case 5:
			w.resume(live())
		case 6:
			live().dead = true
			start()
		case 7:
			w.lose([][]string{nil, {"w1"}, {"w2", "w3"}}[draw("lost", 3)])
		case 8:
			w.down = draw("store", 2) == 1
		case 9:
			worksDown = draw("works", 2) == 1
		case 10:
			rate = draw("rate", 40)
		case 11:
			w.run(5 * time.Second)
		case 12:
			live().cut = draw("cut", 2) == 1
		case 13, 14:
			// The owner is cut off or the store fails, and the owner is paused for a while after it has gone on.
			p := w.owner()
			if p == nil || p.paused {
				break
			}
			if draw("all", 2) == 1 {
				w.down = true
			} else {
				p.cut = true
			}
			w.run(time.Duration(1500+draw("detached", 1500)) * time.Millisecond)
			if p.cell.Detached() {
				detached++
			}
			if draw("pause", 2) == 1 && !p.dead {
				p.paused = true
				w.run(time.Duration(draw("length", 3000)) * time.Millisecond)
				w.resume(p)
			}
		}
		w.run(time.Duration(draw("millis", 1500)) * time.Millisecond)
		if len(w.broken) > 0 {
			t.Fatalf("after %s: %s", w.now.Sub(time.Unix(1000, 0)), w.broken[0])
		}
	}
	rate, w.down, worksDown = 0, false, false
	w.lose(nil)
	for _, p := range w.procs {
		p.cut = false
		w.resume(p)
	}
	w.run(20 * time.Second)
	if len(w.broken) > 0 {
		t.Fatalf("while recovering: %s", w.broken[0])
	}
	settled(t, w, open)
	return detached
}

// owner returns a process that owns the cell, or nil.
func (w *world) owner() *proc {
	for _, p := range w.procs {
		if !p.dead && p.cell.Owns(w.now) {
			return p
		}
	}
	return nil
}

// settled checks that one process owns the cell, that every job that was acknowledged is running as a whole
// or has ended, and that the accelerators of the waiting ones are taken.
func settled(t *rapid.T, w *world, open []uint64) {
	var owners []*proc
	for _, p := range w.procs {
		if !p.dead && p.cell.Owns(w.now) {
			owners = append(owners, p)
		}
	}
	if len(owners) != 1 {
		t.Fatalf("owners after recovery: got %d, want 1", len(owners))
	}
	plan := owners[0].cell.Plan()
	for i, number := range open {
		if !w.stored(number) {
			continue
		}
		found := false
		for id := range plan.Jobs {
			found = found || id[:len(id)-2] == model.JobID(fmt.Sprintf("j%d", i))
		}
		for _, e := range plan.Ended {
			found = found || e.Job[:len(e.Job)-2] == model.JobID(fmt.Sprintf("j%d", i))
		}
		if !found {
			t.Fatalf("job %d was acknowledged and is gone", i)
		}
	}
	room := len(w.decide(plan))
	for id, j := range plan.Jobs {
		if j.Phase != Released && (j.Phase != Waiting || room > 0) {
			t.Fatalf("job %s after recovery: got %s, room for %d", id, j.Phase, room)
		}
		if j.Phase != Released {
			continue
		}
		for i := range j.Workers {
			if task := w.tasks[TaskID(id, j.Placement, i)]; task == nil || task.State != TaskRunning && task.State != TaskDone {
				t.Fatalf("task %d of released job %s: got %+v, want it running", i, id, task)
			}
		}
	}
}
