package sched

import (
	"context"
	"fmt"
	"testing"
	"time"

	"wagtailhoist/core/assign"
	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
)

// The guarantees of an accepted declaration must fit into the cells that they are assigned to. With cells chosen by a hash of
// the guarantees' names, nearly half of these declarations failed.
func TestAcceptedGuaranteesFitTheirCells(t *testing.T) {
	workers := map[model.CellID][]model.Worker{}
	var all []model.Worker
	for i, centre := range []model.Centre{"lausanne", "lausanne", "lausanne", "fribourg", "fribourg", "fribourg", "chur", "chur", "chur", "chur"} {
		w := model.Worker{ID: model.WorkerID(fmt.Sprint("w", i)), Centre: centre, Rack: fmt.Sprint(centre, i/3), GPUs: 8, Cores: 128, Memory: 256, Up: true}
		workers[assign.CellOf(w)] = append(workers[assign.CellOf(w)], w)
		all = append(all, w)
	}
	guarantee := func(tasks int) []model.Guarantee {
		return []model.Guarantee{{Name: "base", Grace: time.Minute, Shape: model.Shape{Tasks: tasks, GPUs: 8, Adjacent: model.SameRack}}}
	}
	teams := []model.Team{"routes", "orders", "prices", "study", "hotel", "depot", "rebuild", "booking", "clubs", "public"}
	for _, a := range teams {
		for _, b := range teams {
			if a == b {
				continue
			}
			d := model.Declaration{Teams: []model.TeamSpec{{Name: a, Guarantees: guarantee(3)}, {Name: b, Guarantees: guarantee(2)}}}
			if err := plan.CheckFeasible(all, d); err != nil {
				t.Fatal(err)
			}
			// As written by a process with a worker service, and by one without.
			for _, chosen := range []bool{true, false} {
				if d.GuaranteeCells = nil; chosen {
					d.GuaranteeCells, _ = assign.Guarantees(all, d)
				}
				s := &Sched{workers: workers, Declaration: func() (model.Declaration, bool) { return d, true }}
				for id, list := range workers {
					in, _ := s.cellInputs(id)
					if err := plan.CheckFeasible(list, in.declaration); err != nil {
						t.Errorf("%s and %s, cells assigned at the write %v, cell %s: %v", a, b, chosen, id, err)
					}
				}
				if id, err := s.cellForJob(model.JobSpec{ID: "j", Team: a, Guarantee: "base"}); err != nil || len(s.cellDeclarations[id].Teams[0].Guarantees) != 1 {
					t.Errorf("cell of a job under the guarantee of %s: got %s, %v, want the cell of the guarantee", a, id, err)
				}
			}
		}
	}
}

// A guarantee must also move if its data centre was lost before the process started, so that its workers were never listed.
func TestGuaranteeOfUnlistedCentreMoves(t *testing.T) {
	now := time.Now()
	d := model.Declaration{
		Teams: []model.TeamSpec{{Name: "plans", Guarantees: []model.Guarantee{{
			Name: "night", Grace: time.Minute, Shape: model.Shape{Tasks: 1, GPUs: 8, Adjacent: model.SameRack},
		}}}},
		GuaranteeCells: map[string]model.CellID{"plans/night": "gone"},
	}
	s := &Sched{
		Now: func() time.Time { return now }, Declaration: func() (model.Declaration, bool) { return d, true },
		workers:     map[model.CellID][]model.Worker{"chur": {{ID: "w1", Centre: "chur", Rack: "r", GPUs: 8, Up: true}}},
		firstListed: now,
	}
	s.StoreReassignment = func(_ context.Context, assignCells func(map[string]model.CellID) (map[string]model.CellID, error)) error {
		var err error
		d.GuaranteeCells, err = assignCells(d.GuaranteeCells)
		return err
	}
	if id, err := s.cellForJob(model.JobSpec{ID: "j", Team: "plans", Guarantee: "night"}); err == nil {
		t.Errorf("cell of the job: got %s, want an error while the cell of its guarantee is not listed", id)
	}
	for _, want := range []model.CellID{"gone", "chur"} {
		s.startReassignment(t.Context())
		s.goroutines.Wait()
		if got := d.GuaranteeCells["plans/night"]; got != want {
			t.Errorf("cell of the guarantee after %v: got %s, want %s", now.Sub(s.firstListed), got, want)
		}
		now = now.Add(reassignAfter)
	}
}
