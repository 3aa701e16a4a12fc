package plan

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wagtailhoist/core/model"
)

var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// newWorkers returns workers with 8 accelerators, three to a rack, spread over the data centres.
func newWorkers(n, centres int) []model.Worker {
	out := make([]model.Worker, n)
	for i := range out {
		c := i * centres / n
		out[i] = model.Worker{
			ID: model.WorkerID(fmt.Sprintf("w%05d", i)), Centre: model.Centre(fmt.Sprintf("c%02d", c)),
			Rack: fmt.Sprintf("r%05d", (i-(c*n+centres-1)/centres)/3), Cores: 128, Memory: 256, GPUs: 8, Up: true,
		}
	}
	return out
}

// stateMachine drives a State with generated events and checks it after each step.
type stateMachine struct {
	s         State
	now       time.Time
	next      int
	workers   []model.Worker
	cancelled map[model.JobID]bool
	// declared is the declaration in force, with the evacuated data centres.
	declared model.Declaration
}

func (m *stateMachine) apply(e ...Event) { m.s.Apply(m.now, e...) }

func drawShape(t *rapid.T) model.Shape {
	return rapid.SampledFrom([]model.Shape{
		{Tasks: 1, GPUs: 1, Cores: 4},
		{Tasks: 1, GPUs: 4},
		{Tasks: 2, GPUs: 4, Adjacent: model.SameWorker},
		{Tasks: 2, GPUs: 8, Adjacent: model.SameRack},
		{Tasks: 3, GPUs: 8, Adjacent: model.SameRack},
		{Tasks: 4, GPUs: 3},
		{Tasks: 64, GPUs: 1},
		{Tasks: 1, GPUs: 9},
		{Tasks: 1, GPUs: 2, Cores: 32, Memory: 64},
		{Tasks: 2, GPUs: 4, Cores: 64, Memory: 128, Adjacent: model.SameRack},
	}).Draw(t, "shape")
}

func drawDeclaration(t *rapid.T) model.Declaration {
	d := model.Declaration{Policy: model.Policy{Compact: rapid.SampledFrom([]float64{0, 1}).Draw(t, "compact")}}
	for i := range 3 {
		ts := model.TeamSpec{Name: model.Team(fmt.Sprint("t", i)), Weight: 1 + i, Quota: rapid.SampledFrom([]int{0, 40}).Draw(t, "quota")}
		for k := range rapid.IntRange(0, 2).Draw(t, "guarantees") {
			ts.Guarantees = append(ts.Guarantees, model.Guarantee{
				Name: fmt.Sprint("g", k), Shape: drawShape(t), Grace: rapid.SampledFrom([]time.Duration{5, 30, 60}).Draw(t, "grace") * time.Second,
				Centre: rapid.SampledFrom([]model.Centre{"", "c00"}).Draw(t, "centre"),
			})
		}
		d.Teams = append(d.Teams, ts)
	}
	return d
}

func (m *stateMachine) submit(t *rapid.T) {
	m.next++
	spec := model.JobSpec{
		ID: model.JobID(fmt.Sprintf("j%03d", m.next)), Team: model.Team(fmt.Sprint("t", rapid.IntRange(0, 2).Draw(t, "team"))),
		Shape: drawShape(t), Estimate: time.Duration(rapid.IntRange(1, 100).Draw(t, "estimate")) * time.Minute,
		Checkpoint: rapid.Bool().Draw(t, "checkpoint"), Grace: rapid.SampledFrom([]time.Duration{0, 8, 25, 300}).Draw(t, "jobgrace") * time.Second,
		Urgent: rapid.IntRange(0, 9).Draw(t, "urgent") == 0, Guarantee: rapid.SampledFrom([]string{"", "", "g0", "g1"}).Draw(t, "guarantee"),
	}
	m.apply(Event{Kind: Submitted, Job: &spec})
}

// drawJobs draws up to most of the jobs that accept selects.
func (m *stateMachine) drawJobs(t *rapid.T, most int, accept func(*Job) bool) []model.JobID {
	var ids []model.JobID
	for id, j := range m.s.Jobs {
		if accept(j) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	if len(ids) == 0 {
		return nil
	}
	ids = rapid.Permutation(ids).Draw(t, "jobs")
	return ids[:min(len(ids), most)]
}

func (m *stateMachine) decideAndAccept(t *rapid.T) {
	d := Decide(m.now, &m.s)
	m.checkInvariants(t)
	m.checkMemoryStops(t, d)
	m.checkEvacuation(t, &m.s, d.Actions)
	m.checkUnstarted(t, d.Actions)
	overtaken := m.drawJobs(t, rapid.IntRange(0, 2).Draw(t, "overtaking"), func(j *Job) bool { return true })
	m.cancel(overtaken)
	for _, a := range m.s.Accept(m.now, d.Actions) {
		if a.Verb == Start && m.cancelled[a.Job] {
			t.Fatalf("cancelled job %s was started", a.Job)
		}
	}
}

func (m *stateMachine) cancel(ids []model.JobID) {
	m.apply(Event{Kind: Cancelled, Jobs: ids})
	for _, id := range ids {
		m.cancelled[id] = true
	}
}

// checkInvariants checks the slots of all jobs and the anchors of all guarantees.
func (m *stateMachine) checkInvariants(t *rapid.T) {
	used, reported := map[model.WorkerID]Amount{}, map[model.WorkerID]bool{}
	for _, j := range m.s.Jobs {
		if !j.placed() {
			continue
		}
		tasks := 0
		racks, workers := map[string]bool{}, map[model.WorkerID]bool{}
		for _, sl := range j.Slots {
			tasks += sl.Tasks
			used[sl.Worker] = used[sl.Worker].Plus(PerTask(j.Spec.Shape).Times(sl.Tasks))
			reported[sl.Worker] = reported[sl.Worker] || len(j.Observed) > 0
			ws := m.s.Workers[sl.Worker]
			racks[string(ws.Worker.Centre)+"/"+ws.Worker.Rack], workers[sl.Worker] = true, true
			if !ws.Worker.Up {
				t.Fatalf("job %s still has tasks on lost worker %s", j.Spec.ID, sl.Worker)
			}
		}
		adj := j.Spec.Shape.Adjacent
		if tasks != j.Spec.Shape.Tasks || (adj == model.SameRack && len(racks) > 1) || (adj == model.SameWorker && len(workers) > 1) {
			t.Fatalf("job %s has slots %v for shape %+v", j.Spec.ID, j.Slots, j.Spec.Shape)
		}
	}
	for id, u := range used {
		if reported[id] {
			// Observed usage replaces declared cores and memory and may exceed the worker; checkMemoryStops checks
			// that.
			u = Amount{GPUs: u.GPUs}
		}
		if !u.FitsIn(Capacity(m.s.Workers[id].Worker)) {
			t.Fatalf("worker %s is overcommitted: %+v", id, u)
		}
	}
	for _, a := range m.s.Anchors {
		if (len(a.Slots) == 0) != (a.Shortfall != nil) {
			t.Fatalf("guarantee %s/%s has slots %v and shortfall %v", a.Team, a.Guarantee.Name, a.Slots, a.Shortfall)
		}
		if a.Shortfall != nil && validShape(a.Guarantee.Shape) && m.guaranteeFits(a) {
			t.Fatalf("guarantee %s/%s has room but a shortfall %+v", a.Team, a.Guarantee.Name, a.Shortfall)
		}
	}
	m.checkEvacuatedAnchors(t)
	m.claimAll(t)
}

// guaranteeFits reports whether a guarantee has room beside the other anchors and the jobs that can't be stopped in
// time.
func (m *stateMachine) guaranteeFits(a Anchor) bool {
	room, grace := map[model.WorkerID]Amount{}, map[model.WorkerID]time.Duration{}
	for id, ws := range m.s.Workers {
		room[id], grace[id] = Capacity(ws.Worker), a.Guarantee.Grace
	}
	for _, o := range m.s.Anchors {
		for _, sl := range o.Slots {
			room[sl.Worker] = room[sl.Worker].Minus(PerTask(o.Guarantee.Shape).Times(sl.Tasks))
			grace[sl.Worker] = min(grace[sl.Worker], o.Guarantee.Grace)
		}
	}
	for _, j := range m.s.Jobs {
		for _, sl := range j.Slots {
			if !j.Anchored && j.Spec.Grace >= grace[sl.Worker] {
				room[sl.Worker] = room[sl.Worker].Minus(PerTask(j.Spec.Shape).Times(sl.Tasks))
			}
			for _, o := range j.Observed {
				room[sl.Worker] = room[sl.Worker].Minus(o.Amount)
			}
		}
	}
	blocks := map[string]int{}
	for id, ws := range m.s.Workers {
		key := string(ws.Worker.Centre)
		if a.Guarantee.Shape.Adjacent != model.SameCentre {
			key += ws.Worker.Rack
		}
		if a.Guarantee.Shape.Adjacent == model.SameWorker {
			key = string(id)
		}
		if ws.Usable(m.now) && !m.evacuated(id) && (a.Guarantee.Centre == "" || a.Guarantee.Centre == ws.Worker.Centre) {
			blocks[key] += tasksThatFit(room[id], PerTask(a.Guarantee.Shape), MaxTasks)
		}
	}
	for _, n := range blocks {
		if n >= a.Guarantee.Shape.Tasks {
			return true
		}
	}
	return false
}

// claimAll claims every unused guarantee on a copy of the State. It fails if a claim starts later than its grace, or if
// a job under a guarantee is stopped for one.
func (m *stateMachine) claimAll(t *rapid.T) {
	c := m.s.Clone()
	busy := map[Ref]bool{}
	for _, j := range c.Jobs {
		busy[Ref{j.Spec.Team, j.Spec.Guarantee}] = true
	}
	due := map[model.JobID]Anchor{}
	for i, a := range c.Anchors {
		if a.Shortfall == nil && !busy[Ref{a.Team, a.Guarantee.Name}] {
			id := model.JobID(fmt.Sprint("claim", i))
			due[id] = a
			c.Apply(m.now, Event{Kind: Submitted, Job: &model.JobSpec{ID: id, Team: a.Team, Guarantee: a.Guarantee.Name, Shape: a.Guarantee.Shape}})
		}
	}
	for at := time.Duration(0); at <= time.Minute && len(due) > 0; at += time.Second {
		now := m.now.Add(at)
		for _, j := range c.Jobs {
			if j.Phase == Stopping && !now.Before(j.StopBy) {
				c.Apply(now, Event{Kind: Stopped, Jobs: []model.JobID{j.Spec.ID}})
			}
		}
		decision := Decide(now, c)
		m.checkEvacuation(t, c, decision.Actions)
		for _, act := range c.Accept(now, decision.Actions) {
			if j := c.Jobs[act.Job]; j != nil && act.Verb != Start && act.Verb != Reserve && j.Anchored && !j.Cancelled && j.MemoryExcess() == 0 {
				t.Fatalf("job %s runs under a guarantee, but got action %s for a claim", act.Job, act.Verb)
			}
			delete(due, act.Job)
		}
		for id, a := range due {
			if at >= a.Guarantee.Grace {
				t.Fatalf("guarantee %s/%s on %v was not started within %s (job %s, %+v)", a.Team, a.Guarantee.Name, a.Slots, a.Guarantee.Grace, id, c.Jobs[id])
			}
		}
	}
}

// advance lets time pass and reports the jobs as stopped that must have ended by then.
func (m *stateMachine) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 10, 600}).Draw(t, "seconds")) * time.Second)
	var gone []model.JobID
	for _, id := range slices.Sorted(maps.Keys(m.s.Jobs)) {
		if j := m.s.Jobs[id]; j.Phase == Stopping && !m.now.Before(j.StopBy) {
			gone = append(gone, id)
		}
	}
	m.apply(Event{Kind: Stopped, Jobs: gone, Saved: true})
}

func (m *stateMachine) loseWorkers(ids ...model.WorkerID) {
	m.apply(Event{Kind: WorkerLost, Workers: ids})
}

// Property P1: every guarantee without a shortfall can be had within its grace by stopping only borrowers.
func TestGuaranteeIsAlwaysReclaimable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateMachine{now: epoch, workers: newWorkers(10, 3), cancelled: map[model.JobID]bool{}}
		for i := range m.workers {
			m.apply(Event{Kind: WorkerSeen, Worker: &m.workers[i]})
		}
		m.declared = drawDeclaration(t)
		m.apply(Event{Kind: Declared, Declaration: &m.declared})
		placed := func(j *Job) bool { return j.placed() }
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit, "submit2": m.submit, "submit3": m.submit, "decide": m.decideAndAccept, "decide2": m.decideAndAccept,
			"cancel": func(t *rapid.T) { m.cancel(m.drawJobs(t, 4, func(*Job) bool { return true })) },
			"finish": func(t *rapid.T) { m.apply(Event{Kind: Finished, Jobs: m.drawJobs(t, 3, placed)}) },
			"declare": func(t *rapid.T) {
				d := drawDeclaration(t)
				d.Evacuate = m.declared.Evacuate
				m.declare(d)
			},
			"evacuate": m.evacuate,
			"withdraw": m.withdraw, "start": m.start,
			"fail": func(t *rapid.T) {
				for _, id := range m.drawJobs(t, 1, placed) {
					m.apply(Event{Kind: Failed, Jobs: []model.JobID{id}, Workers: []model.WorkerID{m.s.Jobs[id].Slots[0].Worker}})
				}
			},
			"lose": func(t *rapid.T) { m.loseWorkers(rapid.SampledFrom(m.workers).Draw(t, "worker").ID) },
			"rack": func(t *rapid.T) {
				w := rapid.SampledFrom(m.workers).Draw(t, "worker")
				for _, o := range m.workers {
					if o.Rack == w.Rack && o.Centre == w.Centre {
						m.loseWorkers(o.ID)
					}
				}
			},
			"return": func(t *rapid.T) {
				w := rapid.SampledFrom(m.workers).Draw(t, "worker")
				m.apply(Event{Kind: WorkerSeen, Worker: &w})
			},
			"observe": func(t *rapid.T) {
				for _, id := range m.drawJobs(t, 1, placed) {
					sl := m.s.Jobs[id].Slots[0]
					m.apply(Event{Kind: Observed, Jobs: []model.JobID{id}, Usage: []Usage{{Worker: sl.Worker, Amount: Amount{Cores: 64}}}})
				}
			},
			"report": m.reportUsage, "report2": m.reportUsage,
			"time": m.advance,
			"":     m.checkInvariants,
		})
	})
}
