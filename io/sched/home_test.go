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

// Guards against a declaration that is accepted and then gives one cell more guarantees than it can hold. With homes
// chosen by a hash of their names nearly half of these declarations failed.
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
					in, _ := s.inputs(id)
					if err := plan.CheckFeasible(list, in.declaration); err != nil {
						t.Errorf("%s and %s, homes chosen at the write %v, cell %s: %v", a, b, chosen, id, err)
					}
				}
				if id, err := s.home(model.JobSpec{ID: "j", Team: a, Guarantee: "base"}); err != nil || len(s.parts[id].Teams[0].Guarantees) != 1 {
					t.Errorf("home of a claim of %s: got %s, %v, want the cell that holds its guarantee", a, id, err)
				}
			}
		}
	}
}

// Guards against a guarantee of a data centre that was lost before the entry started and that nobody moves.
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
		workers: map[model.CellID][]model.Worker{"chur": {{ID: "w1", Centre: "chur", Rack: "r", GPUs: 8, Up: true}}},
		met:     now,
	}
	s.Rehome = func(_ context.Context, homes func(map[string]model.CellID) (map[string]model.CellID, error)) error {
		var err error
		d.GuaranteeCells, err = homes(d.GuaranteeCells)
		return err
	}
	if id, err := s.home(model.JobSpec{ID: "j", Team: "plans", Guarantee: "night"}); err == nil {
		t.Errorf("cell of the claim: got %s, want an error while its cell is not listed", id)
	}
	for _, want := range []model.CellID{"gone", "chur"} {
		s.rehome(t.Context())
		s.wait.Wait()
		if got := d.GuaranteeCells["plans/night"]; got != want {
			t.Errorf("home after %v: got %s, want %s", now.Sub(s.met), got, want)
		}
		now = now.Add(rehomeAfter)
	}
}
