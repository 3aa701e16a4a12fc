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

// TestGangsUnderFaults generates histories of pauses, kills, overlapping owners, lost answers, lost workers, outages with a
// detached owner, and partitions of one process from the store while another takes over. In none of them may a gang run
// only partly for longer than a grant TTL plus a control interval, a task start twice, or two placements of a job run at
// the same time. Once the faults are over, the cell has to recover.
func TestGangsUnderFaults(t *testing.T) {
	detached := 0
	rapid.Check(t, func(t *rapid.T) { detached += checkHistory(t, nil) })
	if detached == 0 {
		t.Error("no history had a detached owner")
	}
}

// checkHistory draws a history and checks it. If alterEffect isn't nil, it replaces the effects of every process. It
// returns how often an owner became detached.
func checkHistory(t *rapid.T, alterEffect func(Effect) Effect) (detached int) {
	draw := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
	seed := rapid.Uint64().Draw(t, "seed")
	sim := newSimulation(func(n int) int {
		// Delays and call outcomes come from one drawn seed, so that rapid has few values to shrink.
		seed ^= seed << 13
		seed ^= seed >> 7
		seed ^= seed << 17
		return int(seed>>33) % n
	})
	faultPercent, serviceDown := 0, false
	sim.fault = func(e Effect) callOutcome {
		if !toStore(e) && serviceDown {
			return requestLost
		}
		if sim.draw(100) < faultPercent {
			return []callOutcome{requestLost, answerLost, duplicated}[sim.draw(3)]
		}
		return delivered
	}
	startProcess := func() *process {
		p := sim.startProcess()
		p.alterEffect = alterEffect
		return p
	}
	startProcess()
	startProcess()
	drawLiveProcess := func() *process {
		var ps []*process
		for _, p := range sim.procs {
			if !p.dead {
				ps = append(ps, p)
			}
		}
		return ps[draw("process", len(ps))]
	}
	var jobs []model.JobID
	var requests []uint64
	steps := rapid.IntRange(5, 40).Draw(t, "steps")
	for range steps {
		switch draw("step", 15) {
		case 0, 1:
			id := model.JobID(fmt.Sprintf("j%d-%d", len(jobs), 1+draw("tasks", 4)))
			if p := drawLiveProcess(); !p.paused && len(jobs) < 8 {
				jobs = append(jobs, id)
				requests = append(requests, sim.submitJob(p, id))
			}
		case 2:
			if p := drawLiveProcess(); !p.paused && len(jobs) > 0 {
				sim.cancelJob(p, jobs[draw("job", len(jobs))])
			}
		case 3:
			if len(jobs) > 0 {
				sim.finishTasks(jobs[draw("job", len(jobs))])
			}
		case 4:
			drawLiveProcess().paused = true
		case 5:
			sim.resume(drawLiveProcess())
		case 6:
			drawLiveProcess().dead = true
			startProcess()
		case 7:
			sim.loseWorkers([][]string{nil, {"w1"}, {"w2", "w3"}}[draw("lost", 3)])
		case 8:
			sim.storeDown = draw("store", 2) == 1
		case 9:
			serviceDown = draw("works", 2) == 1
		case 10:
			faultPercent = draw("rate", 40)
		case 11:
			sim.runFor(5 * time.Second)
		case 12:
			drawLiveProcess().storeUnreachable = draw("cut", 2) == 1
		case 13, 14:
			// The owner loses the store, alone or with all processes, and may be paused after it became detached.
			p := sim.owningProcess()
			if p == nil || p.paused {
				break
			}
			if draw("all", 2) == 1 {
				sim.storeDown = true
			} else {
				p.storeUnreachable = true
			}
			sim.runFor(time.Duration(1500+draw("detached", 1500)) * time.Millisecond)
			if p.cell.Detached() {
				detached++
			}
			if draw("pause", 2) == 1 && !p.dead {
				p.paused = true
				sim.runFor(time.Duration(draw("length", 3000)) * time.Millisecond)
				sim.resume(p)
			}
		}
		sim.runFor(time.Duration(draw("millis", 1500)) * time.Millisecond)
		if len(sim.violations) > 0 {
			t.Fatalf("after %s: %s", sim.now.Sub(time.Unix(1000, 0)), sim.violations[0])
		}
	}
	faultPercent, sim.storeDown, serviceDown = 0, false, false
	sim.loseWorkers(nil)
	for _, p := range sim.procs {
		p.storeUnreachable = false
		sim.resume(p)
	}
	sim.runFor(20 * time.Second)
	if len(sim.violations) > 0 {
		t.Fatalf("while recovering: %s", sim.violations[0])
	}
	checkRecovered(t, sim, requests)
	return detached
}

// owningProcess returns a process that owns the cell, or nil.
func (sim *simulation) owningProcess() *process {
	for _, p := range sim.procs {
		if !p.dead && p.cell.Owns(sim.now) {
			return p
		}
	}
	return nil
}

// checkRecovered checks that one process owns the cell, that no acknowledged job is missing from the plan, that all tasks
// of released jobs are running or done, and that other jobs wait only for lack of GPUs.
func checkRecovered(t *rapid.T, sim *simulation, requests []uint64) {
	var owners []*process
	for _, p := range sim.procs {
		if !p.dead && p.cell.Owns(sim.now) {
			owners = append(owners, p)
		}
	}
	if len(owners) != 1 {
		t.Fatalf("owners after recovery: got %d, want 1", len(owners))
	}
	plan := owners[0].cell.Plan()
	for i, number := range requests {
		if !sim.isDurable(number) {
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
	room := len(sim.firstFit(plan))
	for id, j := range plan.Jobs {
		if j.Phase != Released && (j.Phase != Waiting || room > 0) {
			t.Fatalf("job %s after recovery: got %s, room for %d", id, j.Phase, room)
		}
		if j.Phase != Released {
			continue
		}
		for i := range j.Workers {
			if task := sim.tasks[TaskID(id, j.Placement, i)]; task == nil || task.State != TaskRunning && task.State != TaskDone {
				t.Fatalf("task %d of released job %s: got %+v, want it running", i, id, task)
			}
		}
	}
}
