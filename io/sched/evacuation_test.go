package sched

import (
	"bytes"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"wagtailhoist/core/cell"
	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
)

// centreWorkers returns three workers in each data centre.
func centreWorkers(centres ...model.Centre) []model.Worker {
	var out []model.Worker
	for _, centre := range centres {
		for i := range 3 {
			out = append(out, model.Worker{
				ID: model.WorkerID(fmt.Sprint(centre, "-", i)), Centre: centre, Rack: "r", GPUs: 8, Cores: 128, Memory: 256, Up: true, Cell: "west",
			})
		}
	}
	return out
}

// The log must report once when a data centre is evacuated, with what runs there, when its last run has ended and when it is
// returned to service, and which guarantee lost its capacity.
func TestCourseOfAnEvacuationIsLogged(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey || a.Key == slog.LevelKey {
			return slog.Attr{}
		}
		return a
	}}))
	var l evacuationLog
	now := time.Unix(1_700_000_000, 0)
	runs := &cell.Plan{Jobs: map[model.JobID]*cell.Job{
		"j": {Workers: []model.WorkerID{"a-0", "a-1"}}, "k": {Workers: []model.WorkerID{"a-2"}}, "b": {Workers: []model.WorkerID{"b-0"}}, "w": {},
	}}
	short := []plan.Shortfall{{Team: "t", Guarantee: "g", Cause: plan.CentreEvacuated, Centre: "a"}, {Team: "t", Guarantee: "h", Cause: plan.WorkersLost}}
	for _, step := range []struct {
		evacuate   []model.Centre
		plan       *cell.Plan
		shortfalls []plan.Shortfall
		want       string
	}{
		{nil, runs, nil, ""},
		{[]model.Centre{"a", "a", "elsewhere"}, runs, short, `msg="data centre evacuated: nothing more is started there" centre=a runs=2
msg="guarantee in shortfall" guarantee=t/g cause="data centre evacuated: a"
`},
		{[]model.Centre{"a"}, runs, short, ""},
		{[]model.Centre{"a"}, &cell.Plan{}, short, "msg=\"evacuated data centre runs nothing any more\" centre=a after=2s\n"},
		{[]model.Centre{"a"}, &cell.Plan{}, nil, ""},
		{nil, &cell.Plan{}, nil, "msg=\"data centre returned to service\" centre=a after=4s\n"},
		{[]model.Centre{"b"}, &cell.Plan{}, nil, `msg="data centre evacuated: nothing more is started there" centre=b runs=0
msg="evacuated data centre runs nothing any more" centre=b after=0s
`},
	} {
		out.Reset()
		l.update(log, now, Input{Plan: step.plan, Workers: centreWorkers("a", "b"), Declaration: model.Declaration{Evacuate: step.evacuate}}, step.shortfalls)
		if got := out.String(); got != step.want {
			t.Errorf("with %v evacuated: got\n%swant\n%s", step.evacuate, got, step.want)
		}
		now = now.Add(time.Second)
	}
}

// An evacuated data centre without workers must be logged once, not with every list of the workers.
func TestUnknownEvacuatedCentreIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	d := model.Declaration{Evacuate: []model.Centre{"nowhere", "a"}}
	s := &Sched{
		Log: slog.New(slog.NewTextHandler(&out, nil)), workers: map[model.CellID][]model.Worker{"west": centreWorkers("a")},
		Declaration: func() (model.Declaration, bool) { return d, true },
	}
	for range 3 {
		s.logUnknownEvacuated()
	}
	d.Evacuate = nil
	s.logUnknownEvacuated()
	if got := strings.Count(out.String(), "centre="); got != 1 || !strings.Contains(out.String(), "centre=nowhere") {
		t.Errorf("log: got\n%swant one line about nowhere", out.String())
	}
}

// A list that is in force between two lists of the workers only must be logged by the decisions that follow it.
func TestUnknownEvacuatedCentreIsLoggedByDecisions(t *testing.T) {
	var out bytes.Buffer
	d := model.Declaration{Evacuate: []model.Centre{"nowhere", "a"}}
	s := &Sched{
		Log: slog.New(slog.NewTextHandler(&out, nil)), workers: map[model.CellID][]model.Worker{"west": centreWorkers("a")},
		Declaration: func() (model.Declaration, bool) { return d, true },
	}
	for range 3 {
		s.cellInputs("west")
	}
	if got := strings.Count(out.String(), "centre="); got != 1 || !strings.Contains(out.String(), "centre=nowhere") {
		t.Errorf("log: got\n%swant one line about nowhere", out.String())
	}
}

// The decisions of a cell must follow the list of the declaration: a placement that is not released is stopped with its own
// cause, a released one goes on, and a waiting job is placed elsewhere.
func TestDeciderFollowsTheEvacuation(t *testing.T) {
	spec := func(id model.JobID) model.JobSpec {
		return model.JobSpec{ID: id, Team: "t", Shape: model.Shape{Tasks: 2, GPUs: 8, Adjacent: model.SameRack}, Checkpoint: true, Estimate: time.Hour}
	}
	in := func(id model.JobID) []model.WorkerID {
		return []model.WorkerID{model.WorkerID(id + "-0"), model.WorkerID(id + "-1")}
	}
	p := &cell.Plan{Epoch: 1, Jobs: map[model.JobID]*cell.Job{
		"placed":   {Spec: spec("placed"), Sequence: 1, Phase: cell.Placed, Placement: 1, Workers: in("a")},
		"released": {Spec: spec("released"), Sequence: 2, Phase: cell.Released, Placement: 1, Workers: in("b")},
		"waiting":  {Spec: spec("waiting"), Sequence: 3},
	}}
	d := model.Declaration{Teams: []model.TeamSpec{{Name: "t", Weight: 1}}, Evacuate: []model.Centre{"a", "b"}}
	s := &Sched{workers: map[model.CellID][]model.Worker{"west": centreWorkers("a", "b", "c")}, Declaration: func() (model.Declaration, bool) { return d, true }}
	input, ok := s.cellInputs("west")
	if !ok {
		t.Fatal("the inputs of the cell are unknown")
	}
	out := (&planDecider{}).Decide(time.Now(), Input{Cell: "west", Plan: p, Workers: input.workers, Declaration: input.declaration})
	got := map[model.JobID]cell.Action{}
	for _, a := range out.Actions {
		got[a.Job] = a
	}
	if a := got["placed"]; a.Cause != cell.Evacuated || a.WithCheckpoint || a.Workers != nil {
		t.Errorf("placed job: got %+v, want a stop without a checkpoint for %s", a, cell.Evacuated)
	}
	if a, stopped := got["released"]; stopped {
		t.Errorf("released job: got %+v, want none", a)
	}
	if a := got["waiting"]; len(a.Workers) != 2 || slices.ContainsFunc(a.Workers, func(w model.WorkerID) bool { return !strings.HasPrefix(string(w), "c-") }) {
		t.Errorf("waiting job: got %+v, want it placed in c", a)
	}
}
