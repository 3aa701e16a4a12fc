package plan

import (
	"slices"
	"testing"
	"time"

	"wagtailhoist/core/model"
)

// StartableJobs must not change the State, count the same room twice, or pass over jobs that already wait. The State is
// a clone without an index, as after a change of the owner.
func TestStartableJobsLeavesStateUnchanged(t *testing.T) {
	s := &State{}
	workers := newWorkers(3, 1)
	for i := range workers {
		s.Apply(epoch, Event{Kind: WorkerSeen, Worker: &workers[i]})
	}
	s.Apply(epoch, Event{Kind: Declared, Declaration: &model.Declaration{Teams: []model.TeamSpec{{Name: "t", Weight: 1}}}})
	spec := func(id model.JobID, tasks int) model.JobSpec {
		return model.JobSpec{ID: id, Team: "t", Shape: model.Shape{Tasks: tasks, GPUs: 8}, Estimate: time.Hour, Checkpoint: true, Grace: time.Second}
	}
	submit := func(j model.JobSpec) { s.Apply(epoch, Event{Kind: Submitted, Job: &j}) }
	submit(spec("first", 1))
	s = s.Clone()
	urgent := func(id model.JobID) model.JobSpec {
		j := spec(id, 1)
		j.Urgent = true
		return j
	}
	jobs := []model.JobSpec{urgent("a"), spec("b", 1), spec("c", 1), spec("wide", 4)}
	got := StartableJobs(epoch.Add(time.Minute), s, jobs)
	if want := []model.JobID{"a", "b"}; !slices.Equal(got, want) {
		t.Errorf("startable jobs beside one that waits: got %v, want %v", got, want)
	}
	if len(s.Jobs) != 1 || s.Jobs["first"].Phase != Queued {
		t.Errorf("jobs after StartableJobs: got %v, want only the first one, queued", s.Jobs)
	}
	claimed := model.Declaration{Teams: []model.TeamSpec{{Name: "t", Weight: 1, Guarantees: []model.Guarantee{{
		Name: "g", Grace: time.Minute, Shape: model.Shape{Tasks: 2, GPUs: 8, Adjacent: model.SameRack},
	}}}}}
	guarded := s.Clone()
	guarded.Apply(epoch, Event{Kind: Declared, Declaration: &claimed})
	slow := spec("slow", 3)
	slow.Checkpoint, slow.Grace = false, 10*time.Minute
	if got, want := FeasibleJobs(epoch, guarded, []model.JobSpec{spec("a", 3), slow, spec("wide", 4)}), []model.JobID{"a"}; !slices.Equal(got, want) {
		t.Errorf("feasible jobs beside a guarantee: got %v, want %v", got, want)
	}
	submit(urgent("second"))
	starts := 0
	for _, a := range Decide(epoch.Add(time.Minute), s).Actions {
		if a.Verb == Start {
			starts++
		}
	}
	if starts != 2 {
		t.Errorf("starts after a submission to a clone: got %d, want 2", starts)
	}
}
