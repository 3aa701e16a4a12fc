package sched_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wagtailhoist/core/assign"
	"wagtailhoist/core/cell"
	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
	"wagtailhoist/io/sched"
	"wagtailhoist/io/store"
	"wagtailhoist/io/works"
	"wagtailhoist/stand/fault"
	"wagtailhoist/stand/plat"
	"wagtailhoist/stand/tasks"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// patience bounds the waits for something that has to happen; it is no bound of the system.
const patience = 20 * time.Second

type rig struct {
	*plat.Platform
	t   *testing.T
	url string
}

func newRig(t *testing.T, centres string) *rig {
	t.Helper()
	workers, err := tasks.Seed(centres, 128, 256, 8)
	if err != nil {
		t.Fatal(err)
	}
	p := plat.New(workers, 0)
	server := httptest.NewServer(p.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); p.Advance(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		server.CloseClientConnections()
		server.Close()
	})
	return &rig{p, t, server.URL}
}

// declared has a team that borrows and a team with a guarantee of three workers in a rack.
var declared = model.Declaration{Teams: []model.TeamSpec{
	{Name: "stock", Weight: 1},
	{Name: "plans", Weight: 2, Guarantees: []model.Guarantee{{
		Name: "night", Centre: "lausanne", Grace: 5 * time.Second,
		Shape: model.Shape{Tasks: 3, GPUs: 8, Adjacent: model.SameRack},
	}}},
}}

// start runs a controller; the returned function drains and ends it.
func (r *rig) start(name model.NodeID) (*sched.Sched, func()) { return r.startIn("ch-west", name) }

// startIn is start in a region.
func (r *rig) startIn(region model.Region, name model.NodeID) (*sched.Sched, func()) {
	s := r.make(name, assign.ByCentre)
	s.Region = region
	return s, r.run(s)
}

// make returns a controller that is not running yet.
func (r *rig) make(name model.NodeID, layout assign.Layout) *sched.Sched {
	client := &http.Client{Transport: &http.Transport{}}
	r.t.Cleanup(client.CloseIdleConnections)
	return &sched.Sched{
		Self: name, Region: "ch-west", Layout: layout,
		Store:       &store.Client{URL: r.url, HTTP: client},
		Works:       &works.Client{URL: r.url, HTTP: client},
		Declaration: func() (model.Declaration, bool) { return declared, true },
	}
}

// run runs a controller; the returned function drains and ends it.
func (r *rig) run(s *sched.Sched) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	ended := false
	end := func() {
		if !ended {
			ended = true
			s.Drain(ctx)
			cancel()
			<-done
		}
	}
	r.t.Cleanup(end)
	return end
}

func (r *rig) until(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("%s: not within %s; log %+v", what, patience, r.Tasks.Log(0))
		}
	}
}

func (r *rig) running(job string) int {
	n := 0
	for _, task := range r.Tasks.List("") {
		if task.Job == job && task.State == tasks.Running {
			n++
		}
	}
	return n
}

func (r *rig) submit(s *sched.Sched, spec model.JobSpec) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if _, err := s.Submit(ctx, spec); err != nil {
		r.t.Fatal(err)
	}
}

func owns(s *sched.Sched) func() bool {
	return func() bool {
		cells := s.Snapshot().Cells
		return len(cells) == 1 && cells[0].Owned
	}
}

func gang(id model.JobID, n int) model.JobSpec {
	return model.JobSpec{
		ID: id, Team: "stock", Shape: model.Shape{Tasks: n, GPUs: 8}, Checkpoint: true, Grace: time.Second,
		Estimate: time.Hour,
	}
}

// Guards against a controller that does not carry a job through: submitted, running as a whole, shown where it
// runs, and ended.
func TestJobLife(t *testing.T) {
	r := newRig(t, "lausanne=4")
	s, _ := r.start("e1")
	r.until("ownership", owns(s))
	r.submit(s, gang("j", 2))
	r.submit(s, gang("j", 2))
	r.until("the gang runs", func() bool { return r.running("j") == 2 })
	r.until("the snapshot shows it", func() bool {
		runs := s.Snapshot().Cells[0].Running
		return len(runs) == 1 && runs[0].Phase == cell.Released && len(runs[0].Workers) == 2
	})
	r.Tasks.Finish("j", time.Now())
	r.until("the job ends", func() bool {
		c := s.Snapshot().Cells[0]
		return len(c.Running) == 0 && len(c.Ended) == 1 && c.Ended[0].Cause == cell.Finished
	})
	if got := len(r.Tasks.List("")); got != 2 {
		t.Errorf("tasks: got %d, want 2, the second Submit adds none", got)
	}
}

// Guards against a claim that waits behind borrowers: they are checkpointed and stopped for the guaranteed gang,
// and the reason of the wait and what is held are shown.
func TestGuaranteedGangStopsBorrower(t *testing.T) {
	r := newRig(t, "lausanne=3")
	s, _ := r.start("e1")
	r.until("ownership", owns(s))
	r.submit(s, gang("borrower", 3))
	r.until("the borrower runs", func() bool { return r.running("borrower") == 3 })
	night := gang("night", 3)
	night.Team, night.Guarantee, night.Shape.Adjacent = "plans", "night", model.SameRack
	r.submit(s, night)
	r.until("the guaranteed gang runs", func() bool { return r.running("night") == 3 })
	for _, task := range r.Tasks.List("") {
		if task.Job == "borrower" && (task.Saved != 1 || task.State != tasks.Expired) {
			t.Errorf("borrower: got %+v, want it checkpointed and gone", task)
		}
	}
	r.until("the reason is shown", func() bool {
		c := s.Snapshot().Cells[0]
		return len(c.Waiting) == 1 && c.Waiting[0].Job == "borrower" && c.Waiting[0].Reason.Code != 0 &&
			slices.ContainsFunc(c.Held, func(h sched.Hold) bool { return h.Guarantee == "night" && h.GPUs == 8 })
	})
}

// Guards against a planned stop that stops work: the second process takes the cell over with the gang running.
func TestDrainKeepsGangs(t *testing.T) {
	r := newRig(t, "lausanne=3")
	first, end := r.start("e1")
	r.until("ownership", owns(first))
	second, _ := r.start("e2")
	r.until("the second lists the cell", func() bool { return len(second.Snapshot().Cells) == 1 })
	r.submit(second, gang("j", 2))
	r.until("the gang runs", func() bool { return r.running("j") == 2 })
	end()
	r.until("second owner", owns(second))
	time.Sleep(3 * time.Second)
	if got := r.running("j"); got != 2 {
		t.Errorf("running tasks: got %d, want 2", got)
	}
	for _, e := range r.Tasks.Log(0) {
		if !strings.HasPrefix(e.Task, "j.1.") {
			t.Errorf("got event %+v, want none of another placement", e)
		}
	}
}

// Guards against an acknowledgement as durable of what is not, against work that ends with the store or waits for it,
// and against a process that accepts what only the owner can.
func TestStoreDown(t *testing.T) {
	r := newRig(t, "lausanne=3")
	s, _ := r.start("e1")
	r.until("ownership", owns(s))
	other, _ := r.start("e2")
	r.submit(s, gang("j", 2))
	r.until("the gang runs", func() bool { return r.running("j") == 2 })
	r.until("the other process knows the cell", func() bool { c := other.Snapshot().Cells; return len(c) == 1 && c[0].Epoch == 1 })
	r.Faults.Add(fault.Fault{Mode: fault.Down, Of: "store"})
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if stored, err := s.Submit(ctx, gang("k", 1)); err != nil || stored {
		t.Errorf("submit: got stored %v, %v, want it accepted only", stored, err)
	}
	r.until("the later job runs", func() bool { return r.running("k") == 1 })
	var outage *sched.OutageError
	if _, err := other.Submit(ctx, gang("l", 1)); !errors.As(err, &outage) || outage.Owner != "e1" {
		t.Errorf("submit elsewhere: got %v, want a refusal that names e1", err)
	}
	if got := r.running("j"); got != 2 {
		t.Errorf("running tasks after 3 s: got %d, want 2", got)
	}
	r.Faults.Add(fault.Fault{Mode: fault.Clear})
	r.until("the owner is attached again", func() bool { c := s.Snapshot().Cells[0]; return c.Owned && !c.Detached })
	r.until("the other process knows the job", func() bool { return len(other.Snapshot().Cells[0].Running) == 2 })
	if got := s.Snapshot().Cells[0].Epoch; got != 1 {
		t.Errorf("epoch after the outage: got %d, want 1", got)
	}
	if _, err := s.Cancel(context.Background(), []model.JobID{"j", "k"}); err != nil {
		t.Error(err)
	}
	r.until("the cancelled jobs stop", func() bool { return r.running("j")+r.running("k") == 0 })
	var unknown *sched.UnknownJobsError
	if _, err := s.Cancel(context.Background(), []model.JobID{"j", "x"}); !errors.As(err, &unknown) || len(unknown.Jobs) != 1 {
		t.Errorf("cancel: got %v, want x unknown", err)
	}
}

// Guards against a job that is placed on a lost worker in every control interval until the next list of workers.
func TestLostWorkerIsAvoided(t *testing.T) {
	r := newRig(t, "chur=4")
	s, _ := r.start("e1")
	r.until("ownership", owns(s))
	r.submit(s, gang("j", 2))
	r.until("the gang runs", func() bool { return r.running("j") == 2 })
	// The list of workers stays as old as it is.
	r.Faults.Add(fault.Fault{Mode: fault.Down, Of: "works", Path: "/workers"})
	r.Faults.Add(fault.Fault{Mode: fault.Lose, Worker: r.Tasks.Log(0)[0].Worker})
	r.until("the gang ends", func() bool { return r.running("j") == 0 })
	r.until("the gang runs again", func() bool { return r.running("j") == 2 })
	if got := s.Snapshot().Cells[0].Running[0].Placement; got > 3 {
		t.Errorf("placements: got %d, want at most one that is refused between the lost and the new one", got)
	}
}

// Guards against a worker that operators took out of use and that gets work all the same, also from the next owner.
func TestAside(t *testing.T) {
	r := newRig(t, "chur=3")
	s, end := r.start("e1")
	r.until("ownership", owns(s))
	if _, err := s.Aside(t.Context(), "chur-w1", true); err != nil {
		t.Fatal(err)
	}
	end()
	s, _ = r.start("e2")
	r.until("ownership", owns(s))
	r.submit(s, gang("j", 3))
	r.submit(s, gang("k", 2))
	r.until("the smaller gang runs", func() bool { return r.running("k") == 2 })
	if got := r.running("j"); got != 0 {
		t.Errorf("tasks of the larger gang: got %d running, want none beside a worker out of use", got)
	}
	for _, e := range r.Tasks.Log(0) {
		if e.Worker == "chur-w1" {
			t.Errorf("got event %+v on a worker out of use", e)
		}
	}
	r.Tasks.Finish("k", time.Now())
	if _, err := s.Aside(t.Context(), "chur-w1", false); err != nil {
		t.Fatal(err)
	}
	r.until("the larger gang runs", func() bool { return r.running("j") == 3 })
	var unknown *sched.UnknownWorkerError
	if _, err := s.Aside(t.Context(), "none", true); !errors.As(err, &unknown) {
		t.Errorf("got %v, want an unknown worker", err)
	}
}

// Guards against jobs that can never run and that no one is told of.
func TestFinalReasons(t *testing.T) {
	r := newRig(t, "lausanne=3")
	s, _ := r.start("e1")
	r.until("ownership", owns(s))
	r.submit(s, gang("big", 64))
	r.until("the reason is final", func() bool {
		w := s.Snapshot().Cells[0].Waiting
		return len(w) == 1 && w[0].Reason.Code == plan.TooLarge && w[0].Reason.Final()
	})
	var invalid *sched.InvalidError
	if _, err := s.Submit(t.Context(), model.JobSpec{ID: "x", Team: "stock"}); !errors.As(err, &invalid) {
		t.Errorf("submit: got %v, want invalid", err)
	}
}
