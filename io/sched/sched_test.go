package sched_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
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

// waitTimeout bounds the waits of the tests; it is not a time that the package promises.
const waitTimeout = 20 * time.Second

// rig runs controllers against a simulated platform.
type rig struct {
	*plat.Platform
	t   *testing.T
	url string
}

// newRig starts a platform with the given number of workers in each data centre, such as "lausanne=3,chur=3".
func newRig(t *testing.T, centres string) *rig {
	t.Helper()
	workers, err := tasks.ParseWorkers(centres, 128, 256, 8)
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

// testDeclaration has a team without guarantees and a team with a guarantee of three workers in a rack.
var testDeclaration = model.Declaration{Teams: []model.TeamSpec{
	{Name: "stock", Weight: 1},
	{Name: "plans", Weight: 2, Guarantees: []model.Guarantee{{
		Name: "night", Centre: "lausanne", Grace: 5 * time.Second,
		Shape: model.Shape{Tasks: 3, GPUs: 8, Adjacent: model.SameRack},
	}}},
}}

// start runs a Sched in the region ch-west; the returned function drains and ends it.
func (r *rig) start(name model.NodeID) (*sched.Sched, func()) { return r.startIn("ch-west", name) }

// startIn runs a Sched in a region; the returned function drains and ends it.
func (r *rig) startIn(region model.Region, name model.NodeID) (*sched.Sched, func()) {
	s := r.newSched(name, assign.ByCentre)
	s.Region = region
	return s, r.run(s)
}

// newSched returns a Sched that is not running yet.
func (r *rig) newSched(name model.NodeID, layout assign.Layout) *sched.Sched {
	client := &http.Client{Transport: &http.Transport{}}
	r.t.Cleanup(client.CloseIdleConnections)
	return &sched.Sched{
		Self: name, Region: "ch-west", Layout: layout,
		Store:       &store.Client{URL: r.url, HTTP: client},
		Works:       &works.Client{URL: r.url, HTTP: client},
		Declaration: func() (model.Declaration, bool) { return testDeclaration, true },
	}
}

// run runs a Sched; the returned function drains and ends it.
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

// waitUntil waits for a condition and ends the test if it isn't met within waitTimeout.
func (r *rig) waitUntil(condition string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("%s: not within %s; log %+v", condition, waitTimeout, r.Tasks.Log(0))
		}
	}
}

// runningTasks returns the number of running tasks of a job.
func (r *rig) runningTasks(job string) int {
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
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if _, err := s.Submit(ctx, spec); err != nil {
		r.t.Fatal(err)
	}
}

// ownsOnlyCell returns a condition that is met when there is one cell and s owns it.
func ownsOnlyCell(s *sched.Sched) func() bool {
	return func() bool {
		cells := s.Snapshot().Cells
		return len(cells) == 1 && cells[0].Owned
	}
}

// gangSpec returns a job without a guarantee, with n tasks that each take a whole worker.
func gangSpec(id model.JobID, n int) model.JobSpec {
	return model.JobSpec{
		ID: id, Team: "stock", Shape: model.Shape{Tasks: n, GPUs: 8}, Checkpoint: true, Grace: time.Second,
		Estimate: time.Hour,
	}
}

// A submitted gang must start as a whole, appear in the snapshot with its workers, and end; a second Submit must not add it
// again.
func TestJobRunsFromSubmissionToEnd(t *testing.T) {
	r := newRig(t, "lausanne=4")
	s, _ := r.start("e1")
	r.waitUntil("the process owns the cell", ownsOnlyCell(s))
	r.submit(s, gangSpec("j", 2))
	r.submit(s, gangSpec("j", 2))
	r.waitUntil("the gang runs", func() bool { return r.runningTasks("j") == 2 })
	r.waitUntil("the snapshot shows the gang", func() bool {
		runs := s.Snapshot().Cells[0].Running
		return len(runs) == 1 && runs[0].Phase == cell.Released && len(runs[0].Workers) == 2
	})
	r.Tasks.Finish("j", time.Now())
	r.waitUntil("the job ends", func() bool {
		c := s.Snapshot().Cells[0]
		return len(c.Running) == 0 && len(c.Ended) == 1 && c.Ended[0].Cause == cell.Finished
	})
	if got := len(r.Tasks.List("")); got != 2 {
		t.Errorf("tasks: got %d, want 2, the second Submit adds none", got)
	}
}

// A guaranteed gang must not wait behind jobs that borrow its capacity: these are checkpointed and stopped, and the snapshot
// shows the reason of their wait and the holds for the guarantee.
func TestGuaranteedGangStopsBorrower(t *testing.T) {
	r := newRig(t, "lausanne=3")
	s, _ := r.start("e1")
	r.waitUntil("the process owns the cell", ownsOnlyCell(s))
	r.submit(s, gangSpec("borrower", 3))
	r.waitUntil("the borrower runs", func() bool { return r.runningTasks("borrower") == 3 })
	night := gangSpec("night", 3)
	night.Team, night.Guarantee, night.Shape.Adjacent = "plans", "night", model.SameRack
	r.submit(s, night)
	r.waitUntil("the guaranteed gang runs", func() bool { return r.runningTasks("night") == 3 })
	for _, task := range r.Tasks.List("") {
		if task.Job == "borrower" && (task.Saved != 1 || task.State != tasks.Expired) {
			t.Errorf("borrower: got %+v, want one checkpoint and the state expired", task)
		}
	}
	r.waitUntil("the snapshot shows the reason and the holds", func() bool {
		c := s.Snapshot().Cells[0]
		return len(c.Waiting) == 1 && c.Waiting[0].Job == "borrower" && c.Waiting[0].Reason.Code != 0 &&
			slices.ContainsFunc(c.Holds, func(h sched.Hold) bool { return h.Guarantee == "night" && h.GPUs == 8 })
	})
}

// Draining the owner must not stop running gangs: the second process takes over the cell while the gang runs.
func TestDrainKeepsGangs(t *testing.T) {
	r := newRig(t, "lausanne=3")
	first, end := r.start("e1")
	r.waitUntil("the process owns the cell", ownsOnlyCell(first))
	second, _ := r.start("e2")
	r.waitUntil("the second process lists the cell", func() bool { return len(second.Snapshot().Cells) == 1 })
	r.submit(second, gangSpec("j", 2))
	r.waitUntil("the gang runs", func() bool { return r.runningTasks("j") == 2 })
	end()
	r.waitUntil("the second process owns the cell", ownsOnlyCell(second))
	time.Sleep(3 * time.Second)
	if got := r.runningTasks("j"); got != 2 {
		t.Errorf("running tasks: got %d, want 2", got)
	}
	for _, e := range r.Tasks.Log(0) {
		if !strings.HasPrefix(e.Task, "j.1.") {
			t.Errorf("got event %+v, want none of another placement", e)
		}
	}
}

// During an outage of the store, the owner must keep jobs running and start new ones, but must not acknowledge them as durable,
// and a process that is not the owner must refuse changes.
func TestOwnerSchedulesWhileStoreIsDown(t *testing.T) {
	r := newRig(t, "lausanne=3")
	s, _ := r.start("e1")
	r.waitUntil("the process owns the cell", ownsOnlyCell(s))
	other, _ := r.start("e2")
	r.submit(s, gangSpec("j", 2))
	r.waitUntil("the gang runs", func() bool { return r.runningTasks("j") == 2 })
	r.waitUntil("the other process knows the cell", func() bool { c := other.Snapshot().Cells; return len(c) == 1 && c[0].Epoch == 1 })
	r.Faults.Add(fault.Fault{Mode: fault.Down, Service: "store"})
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if stored, err := s.Submit(ctx, gangSpec("k", 1)); err != nil || stored {
		t.Errorf("submit during the outage: got stored %v, %v, want the job accepted and not stored", stored, err)
	}
	r.waitUntil("the job submitted during the outage runs", func() bool { return r.runningTasks("k") == 1 })
	var outage *sched.OutageError
	if _, err := other.Submit(ctx, gangSpec("l", 1)); !errors.As(err, &outage) || outage.Owner != "e1" {
		t.Errorf("submit at the other process: got %v, want a refusal that names e1", err)
	}
	if got := r.runningTasks("j"); got != 2 {
		t.Errorf("running tasks after 3 s: got %d, want 2", got)
	}
	r.Faults.Add(fault.Fault{Mode: fault.Clear})
	r.waitUntil("the owner is attached again", func() bool { c := s.Snapshot().Cells[0]; return c.Owned && !c.Detached })
	r.waitUntil("the other process shows both jobs", func() bool { return len(other.Snapshot().Cells[0].Running) == 2 })
	if got := s.Snapshot().Cells[0].Epoch; got != 1 {
		t.Errorf("epoch after the outage: got %d, want 1", got)
	}
	if _, err := s.Cancel(context.Background(), []model.JobID{"j", "k"}); err != nil {
		t.Error(err)
	}
	r.waitUntil("the cancelled jobs stop", func() bool { return r.runningTasks("j")+r.runningTasks("k") == 0 })
	var unknown *sched.UnknownJobsError
	if _, err := s.Cancel(context.Background(), []model.JobID{"j", "x"}); !errors.As(err, &unknown) || len(unknown.Jobs) != 1 {
		t.Errorf("cancel: got %v, want x unknown", err)
	}
}

// A job must not be placed on a lost worker again in every control interval until the next list of workers.
func TestLostWorkerIsAvoided(t *testing.T) {
	r := newRig(t, "chur=4")
	s, _ := r.start("e1")
	r.waitUntil("the process owns the cell", ownsOnlyCell(s))
	r.submit(s, gangSpec("j", 2))
	r.waitUntil("the gang runs", func() bool { return r.runningTasks("j") == 2 })
	// With this fault the list of workers stays as it is.
	r.Faults.Add(fault.Fault{Mode: fault.Down, Service: "works", Path: "/workers"})
	r.Faults.Add(fault.Fault{Mode: fault.LoseWorker, Worker: r.Tasks.Log(0)[0].Worker})
	r.waitUntil("the gang ends", func() bool { return r.runningTasks("j") == 0 })
	r.waitUntil("the gang runs again", func() bool { return r.runningTasks("j") == 2 })
	if got := s.Snapshot().Cells[0].Running[0].Placement; got > 3 {
		t.Errorf("placements: got %d, want at most one refused placement between the lost and the new one", got)
	}
}

// A worker that operators have taken out of use must get no jobs, also from the next owner.
func TestQuarantinedWorkerGetsNoWork(t *testing.T) {
	r := newRig(t, "chur=3")
	s, end := r.start("e1")
	r.waitUntil("the process owns the cell", ownsOnlyCell(s))
	if _, err := s.SetQuarantined(t.Context(), "chur-w1", true); err != nil {
		t.Fatal(err)
	}
	end()
	s, _ = r.start("e2")
	r.waitUntil("the process owns the cell", ownsOnlyCell(s))
	r.submit(s, gangSpec("j", 3))
	r.submit(s, gangSpec("k", 2))
	r.waitUntil("the smaller gang runs", func() bool { return r.runningTasks("k") == 2 })
	if got := r.runningTasks("j"); got != 0 {
		t.Errorf("tasks of the larger gang: got %d running, want none beside a worker out of use", got)
	}
	for _, e := range r.Tasks.Log(0) {
		if e.Worker == "chur-w1" {
			t.Errorf("got event %+v on a worker out of use", e)
		}
	}
	r.Tasks.Finish("k", time.Now())
	if _, err := s.SetQuarantined(t.Context(), "chur-w1", false); err != nil {
		t.Fatal(err)
	}
	r.waitUntil("the larger gang runs", func() bool { return r.runningTasks("j") == 3 })
	var unknown *sched.UnknownWorkerError
	if _, err := s.SetQuarantined(t.Context(), "none", true); !errors.As(err, &unknown) {
		t.Errorf("got %v, want an unknown worker", err)
	}
}

// A job that can never run must be shown with a permanent reason, and an invalid job must be refused.
func TestPermanentReasonIsShown(t *testing.T) {
	r := newRig(t, "lausanne=3")
	s, _ := r.start("e1")
	r.waitUntil("the process owns the cell", ownsOnlyCell(s))
	r.submit(s, gangSpec("big", 64))
	r.waitUntil("the job waits with a permanent reason", func() bool {
		w := s.Snapshot().Cells[0].Waiting
		return len(w) == 1 && w[0].Reason.Code == plan.TooLarge && w[0].Reason.Permanent()
	})
	var invalid *sched.InvalidError
	if _, err := s.Submit(t.Context(), model.JobSpec{ID: "x", Team: "stock"}); !errors.As(err, &invalid) {
		t.Errorf("submit: got %v, want invalid", err)
	}
}

// A new owner may not know of an evacuation, because it was paused or cut off. It must start nothing before the configuration
// has been read in its term.
func TestNewOwnerReadsTheConfigurationFirst(t *testing.T) {
	r := newRig(t, "lausanne=3")
	s := r.newSched("e1", assign.ByCentre)
	var read atomic.Bool
	var askedSince atomic.Int64
	began := time.Now()
	s.ConfigReadSince = func(at time.Time) bool {
		askedSince.Store(at.UnixNano())
		return read.Load()
	}
	r.run(s)
	r.waitUntil("the process owns the cell", ownsOnlyCell(s))
	r.submit(s, gangSpec("j", 2))
	r.waitUntil("the process asks for the configuration", func() bool { return askedSince.Load() > began.UnixNano() })
	time.Sleep(time.Second)
	if got := len(r.Tasks.List("")); got != 0 {
		t.Errorf("tasks before the configuration was read: got %d, want none", got)
	}
	read.Store(true)
	r.waitUntil("the gang runs", func() bool { return r.runningTasks("j") == 2 })
}

// Nothing new must start in an evacuated data centre, whether it shares its cell with others or has one of its own, and what
// runs there must go on.
func TestJobsStartOutsideTheEvacuatedCentre(t *testing.T) {
	for _, layout := range []assign.Layout{assign.ByRegion, assign.ByCentre} {
		t.Run(string(layout), func(t *testing.T) {
			r := newRig(t, "ch-west/lausanne=3,ch-west/fribourg=3")
			s := r.newSched("e1", layout)
			var evacuated atomic.Pointer[[]model.Centre]
			evacuated.Store(&[]model.Centre{"fribourg"})
			s.Declaration = func() (model.Declaration, bool) {
				d := testDeclaration
				d.Evacuate = *evacuated.Load()
				return d, true
			}
			r.run(s)
			r.waitUntil("the process owns all cells", func() bool {
				cells := s.Snapshot().Cells
				return len(cells) > 0 && !slices.ContainsFunc(cells, func(c sched.CellView) bool { return !c.Owned })
			})
			r.submit(s, gangSpec("first", 3))
			r.waitUntil("the first gang runs", func() bool { return r.runningTasks("first") == 3 })
			evacuated.Store(&[]model.Centre{"lausanne"})
			time.Sleep(time.Second) // several control intervals
			for _, id := range []model.JobID{"second", "third", "fourth"} {
				r.submit(s, gangSpec(id, 1))
			}
			for _, job := range []string{"second", "third", "fourth"} {
				r.waitUntil(job+" runs", func() bool { return r.runningTasks(job) == 1 })
			}
			for _, task := range r.Tasks.List("") {
				want := "fribourg"
				if task.Job == "first" {
					want = "lausanne"
				}
				if !strings.HasPrefix(task.Worker, want) || task.State != tasks.Running {
					t.Errorf("task: got %+v, want it running in %s", task, want)
				}
			}
		})
	}
}
