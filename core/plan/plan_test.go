package plan

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wagtailhoist/core/model"
)

// fixture is a State with a clock and helpers for events.
type fixture struct {
	*State
	t   *testing.T
	now time.Time
}

func newFixture(t *testing.T, workers int, d model.Declaration) *fixture {
	r := &fixture{State: &State{}, t: t, now: epoch}
	for _, w := range newWorkers(workers, 1) {
		r.Apply(r.now, Event{Kind: WorkerSeen, Worker: &w})
	}
	r.Apply(r.now, Event{Kind: Declared, Declaration: &d})
	return r
}

func teams(specs ...model.TeamSpec) model.Declaration { return model.Declaration{Teams: specs} }

func (r *fixture) submit(specs ...model.JobSpec) {
	for _, s := range specs {
		if s.Team == "" {
			s.Team = "a"
		}
		r.Apply(r.now, Event{Kind: Submitted, Job: &s})
	}
}

// step decides, accepts the actions, and reports the started jobs as released.
func (r *fixture) step() []Action {
	acts := r.Accept(r.now, Decide(r.now, r.State).Actions)
	for _, a := range acts {
		if a.Verb == Start {
			r.Apply(r.now, Event{Kind: Started, Jobs: []model.JobID{a.Job}})
		}
	}
	return acts
}

func (r *fixture) apply(k Kind, jobs ...model.JobID) { r.Apply(r.now, Event{Kind: k, Jobs: jobs}) }

func (r *fixture) failJob(job model.JobID) {
	r.t.Helper()
	if len(r.Jobs[job].Slots) == 0 {
		r.t.Fatalf("job %s doesn't run: %+v", job, r.Jobs[job])
	}
	r.Apply(r.now, Event{Kind: Failed, Jobs: []model.JobID{job}, Workers: []model.WorkerID{r.Jobs[job].Slots[0].Worker}})
}

func (r *fixture) waitingReason(job model.JobID) Reason {
	for _, w := range Decide(r.now, r.State).Waiting {
		if w.Job == job {
			return w.Reason
		}
	}
	return Reason{}
}

func job(id model.JobID, tasks, gpus int) model.JobSpec {
	return model.JobSpec{ID: id, Shape: model.Shape{Tasks: tasks, GPUs: gpus}, Estimate: time.Hour}
}

// Operators compare FreeCapacity with the figures of the replays, so both must use the same definition.
func TestFreeCapacityCountsReclaimable(t *testing.T) {
	movable := func(id model.JobID, tasks int, grace time.Duration) model.JobSpec {
		j := job(id, tasks, 8)
		j.Checkpoint, j.Grace = true, grace
		return j
	}
	for _, tc := range []struct {
		name string
		jobs []model.JobSpec
		lost bool
		want FreeCapacity
		frag float64
	}{
		{"empty", nil, false, FreeCapacity{48, 24}, 0},
		{"full", []model.JobSpec{job("j", 6, 8)}, false, FreeCapacity{0, 0}, 0},
		{"borrowers that leave within a minute", []model.JobSpec{movable("j", 6, time.Minute-ReactionTime)}, false, FreeCapacity{48, 24}, 0},
		{"borrowers that leave later", []model.JobSpec{movable("j", 6, time.Minute)}, false, FreeCapacity{0, 0}, 0},
		{"one worker free of each rack", []model.JobSpec{rackJob("j", 2), rackJob("k", 2)}, false, FreeCapacity{16, 8}, 0.5},
		{"lost worker", nil, true, FreeCapacity{40, 24}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newFixture(t, 6, teams(model.TeamSpec{Name: "a"}))
			if tc.lost {
				w := newWorkers(6, 1)[0]
				w.Up = false
				r.Apply(r.now, Event{Kind: WorkerSeen, Worker: &w})
			}
			for _, j := range tc.jobs {
				r.submit(j)
				r.now = r.now.Add(minKeepFreeWait) // until then, jobs avoid the rack that is kept free
				r.step()
			}
			if got := r.FreeCapacity(r.now); got != tc.want || got.Fragmentation() != tc.frag {
				t.Errorf("got %+v, %v; want %+v, %v", got, got.Fragmentation(), tc.want, tc.frag)
			}
		})
	}
}

func rackJob(id model.JobID, tasks int) model.JobSpec {
	j := job(id, tasks, 8)
	j.Shape.Adjacent = model.SameRack
	return j
}

// A job that can never run must be reported with a final reason instead of waiting without one.
func TestReasonsOfWaitingJobs(t *testing.T) {
	rack := func(tasks int) model.Shape { return model.Shape{Tasks: tasks, GPUs: 8, Adjacent: model.SameRack} }
	d := teams(model.TeamSpec{Name: "a", Quota: 40, Guarantees: []model.Guarantee{{Name: "g", Shape: rack(2), Grace: time.Minute}}}, model.TeamSpec{Name: "b"})
	for _, tc := range []struct {
		name string
		spec model.JobSpec
		want Code
	}{
		{"too large for a worker", job("x", 1, 9), TooLarge},
		{"too large for a rack", model.JobSpec{ID: "x", Team: "b", Shape: rack(4)}, TooLarge},
		{"above the quota", job("x", 6, 8), LargerThanQuota},
		{"no tasks", job("x", 0, 1), InvalidShape},
		{"unknown team", model.JobSpec{ID: "x", Team: "z", Shape: rack(1)}, UnknownTeam},
		{"unknown guarantee", model.JobSpec{ID: "x", Shape: rack(1), Guarantee: "h"}, UnknownGuarantee},
		{"larger than its guarantee", model.JobSpec{ID: "x", Shape: rack(3), Guarantee: "g"}, ExceedsGuarantee},
		{"quota in use", job("x", 1, 8), Quota},
		{"reserved", model.JobSpec{ID: "x", Team: "b", Shape: rack(3)}, Reserving},
		{"scattered", model.JobSpec{ID: "x", Team: "b", Shape: model.Shape{Tasks: 1, GPUs: 7}}, Scattered},
		{"only the rack kept free has room", model.JobSpec{ID: "x", Team: "b", Shape: model.Shape{Tasks: 4, GPUs: 2}}, RackKeptFree},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newFixture(t, 6, d)
			for i := range 6 {
				r.submit(model.JobSpec{ID: model.JobID(fmt.Sprint("r", i)), Shape: model.Shape{Tasks: 1, GPUs: 6}, Estimate: time.Hour, Checkpoint: true})
			}
			r.step()
			r.submit(tc.spec)
			got := r.waitingReason("x")
			if got.Code != tc.want || got.Permanent() != (tc.want >= TooLarge) {
				t.Errorf("reason: got %v, want %v", got, tc.want)
			}
		})
	}
}

// The error must name exactly the guarantees that can't be met together.
func TestCheckFeasibleNamesConflict(t *testing.T) {
	g := func(name string, tasks int, adj model.Adjacency) model.Guarantee {
		return model.Guarantee{Name: name, Grace: time.Minute, Shape: model.Shape{Tasks: tasks, GPUs: 8, Adjacent: adj}}
	}
	team := func(name model.Team, quota int, gs ...model.Guarantee) model.TeamSpec {
		return model.TeamSpec{Name: name, Quota: quota, Guarantees: gs}
	}
	for _, tc := range []struct {
		name  string
		d     model.Declaration
		cause Cause
		refs  []Ref
	}{
		{"fits", teams(team("a", 0, g("x", 3, model.SameRack)), team("b", 0, g("x", 3, model.SameRack))), 0, nil},
		{"two racks for three", teams(team("a", 0, g("x", 3, model.SameRack)), team("b", 0, g("x", 3, model.SameRack)), team("c", 0, g("x", 1, ""))), TooFewAccelerators, []Ref{{"a", "x"}, {"b", "x"}, {"c", "x"}}},
		{"small one not involved", teams(team("a", 0, g("x", 2, model.SameRack)), team("b", 0, g("x", 2, model.SameRack)), team("c", 0, g("x", 2, model.SameRack)), team("d", 0, model.Guarantee{Name: "x", Shape: model.Shape{Tasks: 1, GPUs: 1}})), NoAdjacentBlock, []Ref{{"a", "x"}, {"b", "x"}, {"c", "x"}}},
		{"alone too large", teams(team("a", 0, g("x", 4, model.SameRack))), NoAdjacentBlock, []Ref{{"a", "x"}}},
		{"above quota", teams(team("a", 8, g("x", 2, ""))), AboveQuota, []Ref{{"a", "x"}}},
		{"same name twice", teams(team("a", 0, g("x", 1, ""), g("x", 1, ""))), InvalidGuarantee, []Ref{{"a", "x"}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := CheckFeasible(newWorkers(6, 1), tc.d)
			var c *ConflictError
			if !errors.As(err, &c) {
				if err != nil || tc.cause != 0 {
					t.Fatalf("error: got %v, want cause %v", err, tc.cause)
				}
				return
			}
			refs := append(slices.Clone(c.With), c.Ref)
			slices.SortFunc(refs, func(a, b Ref) int { return int(a.Team[0]) - int(b.Team[0]) })
			if c.Cause != tc.cause || !slices.Equal(refs, tc.refs) {
				t.Errorf("conflict: got %v %v, want %v %v", c.Cause, refs, tc.cause, tc.refs)
			}
		})
	}
}

// A worker that fails every job must be quarantined, without consequences for its jobs, and used again afterwards. A
// job that always fails must not cause the quarantine of workers.
func TestFailuresAreAttributedToWorkerOrJob(t *testing.T) {
	r := newFixture(t, 3, teams(model.TeamSpec{Name: "a"}))
	failingWorker := model.WorkerID("w00000")
	for i := range 3 {
		id := model.JobID(fmt.Sprint("j", i))
		r.submit(job(id, 3, 8))
		r.step()
		r.Apply(r.now, Event{Kind: Failed, Jobs: []model.JobID{id}, Workers: []model.WorkerID{failingWorker}})
		r.apply(Cancelled, id)
	}
	if ws := r.Workers[failingWorker]; ws.Usable(r.now) || ws.Quarantines != 1 {
		t.Fatalf("worker that failed three jobs: got %+v, want it quarantined", ws)
	}
	d := Decide(r.now, r.State)
	if want := r.now.Add(firstQuarantine); !d.NextDecision.Equal(want) {
		t.Errorf("next decision: got %v, want %v", d.NextDecision, want)
	}
	r.now = r.now.Add(firstQuarantine)
	r.Apply(r.now)
	r.submit(job("good", 3, 8))
	r.step()
	r.apply(Finished, "good")
	if ws := r.Workers[failingWorker]; !ws.Usable(r.now) || ws.Quarantines != 0 {
		t.Errorf("worker after a success: got %+v", ws)
	}
	r.submit(job("failing", 1, 8))
	for range maxFailedWorkers {
		r.step()
		r.failJob("failing")
	}
	if got := r.waitingReason("failing"); got.Code != FailsEverywhere {
		t.Errorf("reason: got %v, want %v", got, FailsEverywhere)
	}
	for id, ws := range r.Workers {
		if !ws.Usable(r.now) || len(ws.Failed) > 0 {
			t.Errorf("worker %s after a job that fails everywhere: got %+v", id, ws)
		}
	}
}

// Jobs that always failed caused the quarantine of one worker after another and were never refused.
func TestAlwaysFailingJobsAreRefusedDespiteQuarantines(t *testing.T) {
	r := newFixture(t, 4, teams(model.TeamSpec{Name: "a"}))
	for id, ws := range r.Workers {
		ws.Quarantines = 1
		r.Workers[id] = ws
	}
	for i := range 4 {
		r.submit(job(model.JobID(fmt.Sprint("j", i)), 1, 8))
	}
	for range 200 {
		for _, a := range r.step() {
			if a.Verb == Start {
				r.failJob(a.Job)
			}
		}
		r.now = r.now.Add(10 * time.Minute)
		r.Apply(r.now)
	}
	for id, j := range r.Jobs {
		if j.Phase != Refused {
			t.Errorf("job %s: got %v after %d failures, want refused", id, j.Phase, j.Failures)
		}
	}
}

// A job that is cancelled, or whose worker is lost, between Decide and Accept must not be started.
func TestAcceptDropsActionsOutdatedByEvents(t *testing.T) {
	r := newFixture(t, 3, teams(model.TeamSpec{Name: "a"}))
	r.submit(job("gone", 1, 8), job("lost", 1, 8), job("kept", 1, 8))
	d := Decide(r.now, r.State)
	worker := func(id model.JobID) model.WorkerID {
		k := slices.IndexFunc(d.Actions, func(a Action) bool { return a.Job == id })
		return d.Actions[k].Slots[0].Worker
	}
	r.apply(Cancelled, "gone", "never-seen")
	r.Apply(r.now, Event{Kind: WorkerLost, Workers: []model.WorkerID{worker("lost")}})
	r.submit(job("never-seen", 1, 1), job("gone", 1, 8))
	got := r.Accept(r.now, d.Actions)
	if len(got) != 1 || got[0].Job != "kept" {
		t.Errorf("accepted: got %+v, want only job kept", got)
	}
	if again := r.Accept(r.now, d.Actions); len(again) != 0 {
		t.Errorf("accepted twice: got %+v", again)
	}
	for _, id := range []model.JobID{"never-seen", "gone"} {
		if r.Jobs[id] != nil {
			t.Errorf("job %s, cancelled before it was submitted: got %+v", id, r.Jobs[id])
		}
	}
}

// A start must not overcommit a worker whose reported usage has risen between Decide and Accept.
func TestAcceptChecksRoom(t *testing.T) {
	r := newFixture(t, 1, teams(model.TeamSpec{Name: "a"}))
	r.submit(job("x", 1, 4))
	r.step()
	late := job("late", 1, 4)
	late.Shape.Cores = 1
	r.submit(late)
	d := Decide(r.now, r.State)
	if len(d.Actions) != 1 || d.Actions[0].Verb != Start {
		t.Fatalf("actions: got %+v, want one start", d.Actions)
	}
	r.Apply(r.now, Event{Kind: Observed, Jobs: []model.JobID{"x"}, Usage: []Usage{{Worker: "w00000", Amount: Amount{Cores: 128}}}})
	if got := r.Accept(r.now, d.Actions); len(got) != 0 {
		t.Errorf("accepted: got %+v, want none", got)
	}
}

// A start must not block accelerators that a declaration has guaranteed between Decide and Accept.
func TestAcceptChecksNewGuarantees(t *testing.T) {
	r := newFixture(t, 1, teams(model.TeamSpec{Name: "a"}))
	slow := job("slow", 1, 4)
	slow.Grace = time.Hour
	r.submit(slow)
	d := Decide(r.now, r.State)
	shape := model.Shape{Tasks: 1, GPUs: 8}
	next := teams(model.TeamSpec{Name: "a", Guarantees: []model.Guarantee{{Name: "g", Grace: time.Minute, Shape: shape}}})
	r.Apply(r.now, Event{Kind: Declared, Declaration: &next})
	if got := r.Accept(r.now, d.Actions); len(d.Actions) != 1 || len(got) != 0 {
		t.Errorf("accepted: got %+v of %+v, want none of one start", got, d.Actions)
	}
}

// Usage above the declared amount is charged at once, usage below it only when it is settled.
func TestUsageIsTheLargerUntilSettled(t *testing.T) {
	declared := Amount{GPUs: 2}
	for _, tc := range []struct {
		name  string
		usage Usage
		want  Amount
	}{
		{"none yet", Usage{}, declared},
		{"higher", Usage{Amount: Amount{GPUs: 4, Memory: 9}}, Amount{GPUs: 4, Memory: 9}},
		{"lower", Usage{Amount: Amount{GPUs: 1}}, declared},
		{"lower and settled", Usage{Amount: Amount{GPUs: 1}, Settled: true}, Amount{GPUs: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newFixture(t, 1, teams(model.TeamSpec{Name: "a"}))
			r.submit(job("x", 1, 2))
			r.step()
			if tc.usage != (Usage{}) {
				tc.usage.Worker = "w00000"
				r.Apply(r.now, Event{Kind: Observed, Jobs: []model.JobID{"x"}, Usage: []Usage{tc.usage}})
			}
			if got := r.idx.nodes[0].used; got != tc.want || r.idx.used["a"] != tc.want.GPUs {
				t.Errorf("used: got %+v and %d for the team, want %+v", got, r.idx.used["a"], tc.want)
			}
		})
	}
}

// A claim counted a cancelled job with a longer grace as stopped in time, and started late.
func TestClaimCountsOnlyWorkThatLeavesInTime(t *testing.T) {
	r := newFixture(t, 1, teams(model.TeamSpec{Name: "a", Guarantees: []model.Guarantee{{Name: "g", Grace: 5 * time.Second, Shape: model.Shape{Tasks: 1, GPUs: 4}}}}, model.TeamSpec{Name: "b"}))
	slow, quick := job("slow", 1, 4), job("quick", 1, 4)
	slow.Team, slow.Grace, quick.Team = "b", 8*time.Second, "b"
	r.submit(slow, quick)
	r.step()
	r.apply(Cancelled, "slow")
	claim := job("claim", 1, 4)
	claim.Guarantee = "g"
	r.submit(claim)
	for _, a := range r.step() {
		if a.Job == "quick" && a.Verb == Stop && a.ForJob == "claim" && !a.Deadline.After(r.now.Add(5*time.Second)) {
			return
		}
	}
	t.Errorf("job quick was not stopped for the claim by its grace: %+v", r.Jobs["quick"])
}

// A backfilled job that exceeded its estimate delayed the large job with the reservation.
func TestOverdueBackfillIsPreemptedFirst(t *testing.T) {
	r := newFixture(t, 3, teams(model.TeamSpec{Name: "a"}))
	block := job("block", 1, 8)
	block.Estimate = 4 * time.Hour
	r.submit(block)
	r.step()
	r.submit(job("large", 3, 8))
	r.step()
	if r.Jobs["large"].ReservedStart.IsZero() {
		t.Fatalf("the large job has no reservation: %+v", r.Jobs["large"])
	}
	r.submit(job("filler", 1, 8))
	r.step()
	if got := r.Jobs["filler"].BackfillAheadOf; got != "large" {
		t.Fatalf("filler runs ahead of %q, want large", got)
	}
	r.now = r.now.Add(61 * time.Minute)
	acts := r.step()
	if !slices.ContainsFunc(acts, func(a Action) bool { return a.Job == "filler" && a.Verb == Stop && a.ForJob == "large" }) {
		t.Errorf("actions after the estimate: got %+v, want the filler stopped", acts)
	}
}

// A large job starts at once if moving checkpointable jobs frees a rack for it.
func TestMovesMakeRoomForLargeJob(t *testing.T) {
	r := newFixture(t, 6, teams(model.TeamSpec{Name: "a"}))
	for i := range 2 {
		s := job(model.JobID(fmt.Sprint("m", i)), 3, 4)
		s.Shape.Adjacent, s.Checkpoint, s.Estimate = model.SameRack, true, 9*time.Hour
		r.submit(s)
		r.step()
		pad := job(model.JobID(fmt.Sprint("pad", i)), 3, 4)
		pad.Checkpoint = true
		r.submit(pad)
		r.step()
	}
	r.apply(Finished, "pad0", "pad1")
	r.now = r.now.Add(time.Hour)
	large := job("large", 3, 8)
	large.Shape.Adjacent = model.SameRack
	r.submit(large)
	acts := r.step()
	k := slices.IndexFunc(acts, func(a Action) bool { return a.Verb == Move })
	if k < 0 {
		t.Fatalf("actions: got %+v, want a move", acts)
	}
	r.Apply(r.now, Event{Kind: Stopped, Jobs: []model.JobID{acts[k].Job}, Saved: true})
	r.step()
	for _, id := range []model.JobID{"large", "m0", "m1"} {
		if r.Jobs[id].Phase != Running {
			t.Errorf("job %s: got %v, want running", id, r.Jobs[id].Phase)
		}
	}
}

// An owner that reads back the State of its predecessor must decide the same.
func TestStateSurvivesEncoding(t *testing.T) {
	r := newFixture(t, 6, teams(model.TeamSpec{Name: "a", Guarantees: rackGuarantee(2)}))
	for i := range 9 {
		r.submit(job(model.JobID(fmt.Sprint("j", i)), 1+i%3, 4))
	}
	r.step()
	r.apply(Finished, "j0")
	data, err := cbor.Marshal(r.State)
	if err != nil {
		t.Fatal(err)
	}
	var back State
	if err := cbor.Unmarshal(data, &back); err != nil {
		t.Fatal(err)
	}
	want, got := Decide(r.now, r.State), Decide(r.now, &back)
	if !reflect.DeepEqual(fmt.Sprintf("%+v", got), fmt.Sprintf("%+v", want)) {
		t.Errorf("decision: got %+v, want %+v", got, want)
	}
	if c := Decide(r.now, r.Clone()); !reflect.DeepEqual(c, want) {
		t.Errorf("decision of a clone: got %+v, want %+v", c, want)
	}
}
