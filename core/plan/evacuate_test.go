package plan

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"wagtailhoist/core/model"
)

// evacuated reports whether the data centre of a worker is evacuated.
func (m *stateMachine) evacuated(id model.WorkerID) bool {
	centre := m.s.Workers[id].Worker.Centre
	return centre != "" && slices.Contains(m.declared.Evacuate, centre)
}

// anyEvacuated reports whether a slot is in an evacuated data centre.
func (m *stateMachine) anyEvacuated(slots []Slot) bool {
	return slices.ContainsFunc(slots, func(sl Slot) bool { return m.evacuated(sl.Worker) })
}

func (m *stateMachine) declare(d model.Declaration) {
	m.declared = d
	m.apply(Event{Kind: Declared, Declaration: &d})
}

// evacuate draws the evacuated data centres, which may include one twice and ones without workers.
func (m *stateMachine) evacuate(t *rapid.T) {
	d := m.declared
	d.Evacuate = rapid.SliceOfN(rapid.SampledFrom([]model.Centre{"c00", "c01", "c02", "c99", ""}), 1, 3).Draw(t, "evacuate")
	m.declare(d)
}

// withdraw returns all data centres to service.
func (m *stateMachine) withdraw(*rapid.T) {
	d := m.declared
	d.Evacuate = nil
	m.declare(d)
}

// start reports some of the jobs that are being started as running.
func (m *stateMachine) start(t *rapid.T) {
	m.apply(Event{Kind: Started, Jobs: m.drawJobs(t, 3, func(j *Job) bool { return j.Phase == Starting })})
}

// checkEvacuation checks the actions of a decision on a State: nothing is started, reserved, moved to or held in an evacuated
// data centre, and of the jobs there only those are stopped that are cancelled, use more memory than declared, or don't run yet.
func (m *stateMachine) checkEvacuation(t *rapid.T, s *State, actions []Action) {
	for _, a := range actions {
		if m.anyEvacuated(a.Slots) {
			t.Fatalf("action %s of job %s uses an evacuated data centre: %v of %v", a.Verb, a.Job, a.Slots, m.declared.Evacuate)
		}
		j := s.Jobs[a.Job]
		if j == nil || !m.anyEvacuated(j.Slots) || (a.Verb != Stop && a.Verb != Checkpoint && a.Verb != Move) {
			continue
		}
		unstarted := a.Reason.Code == StartEvacuated && j.Phase == Starting
		if !unstarted && !j.Cancelled && a.Reason.Code != MemoryExceeded {
			t.Fatalf("action %s stops job %s, which runs in an evacuated data centre: %+v", a.Verb, a.Job, a)
		}
	}
}

// checkUnstarted checks that a decision stops each job in an evacuated data centre that doesn't run yet.
func (m *stateMachine) checkUnstarted(t *rapid.T, actions []Action) {
	for id, j := range m.s.Jobs {
		stopped := slices.ContainsFunc(actions, func(a Action) bool { return a.Job == id && (a.Verb == Stop || a.Verb == Checkpoint) })
		if j.Phase == Starting && m.anyEvacuated(j.Slots) && !stopped {
			t.Fatalf("job %s is being started in an evacuated data centre: %v", id, j.Slots)
		}
	}
}

// checkEvacuatedAnchors checks that no guarantee is held in an evacuated data centre, and that a shortfall names evacuation
// only while the data centre is evacuated.
func (m *stateMachine) checkEvacuatedAnchors(t *rapid.T) {
	for _, a := range m.s.Anchors {
		if m.anyEvacuated(a.Slots) {
			t.Fatalf("guarantee %s/%s is held in an evacuated data centre: %v", a.Team, a.Guarantee.Name, a.Slots)
		}
		short := a.Shortfall
		if short == nil {
			continue
		}
		if named := short.Centre != "" && slices.Contains(m.declared.Evacuate, short.Centre); named != (short.Cause == CentreEvacuated) {
			t.Fatalf("guarantee %s/%s: shortfall %+v while %v are evacuated", a.Team, a.Guarantee.Name, short, m.declared.Evacuate)
		}
	}
}

// In any history of evacuations and withdrawals, nothing may be started, reserved or held in an evacuated data centre, and
// what runs there goes on. The histories of TestGuaranteeIsAlwaysReclaimable hold many other events, so that few of them have a
// job in the middle of its start when its data centre is evacuated.
func TestNothingStartsInEvacuatedCentres(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateMachine{now: epoch, workers: newWorkers(10, 3), cancelled: map[model.JobID]bool{}}
		for i := range m.workers {
			m.apply(Event{Kind: WorkerSeen, Worker: &m.workers[i]})
		}
		m.declare(drawDeclaration(t))
		for range rapid.IntRange(0, 10).Draw(t, "submitted") {
			m.submit(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit, "decide": m.decideAndAccept, "decide2": m.decideAndAccept, "evacuate": m.evacuate, "withdraw": m.withdraw,
			"start": m.start, "time": m.advance, "": m.checkInvariants,
		})
	})
}

// newCentresFixture returns a fixture with workers in several data centres: c00, c01 and so on.
func newCentresFixture(t *testing.T, workers, centres int, d model.Declaration) *fixture {
	r := &fixture{State: &State{}, t: t, now: epoch}
	for _, w := range newWorkers(workers, centres) {
		r.Apply(r.now, Event{Kind: WorkerSeen, Worker: &w})
	}
	r.Apply(r.now, Event{Kind: Declared, Declaration: &d})
	return r
}

// evacuate declares the teams again with other evacuated data centres.
func (r *fixture) evacuate(centres ...model.Centre) {
	d := model.Declaration{Policy: r.Policy, Teams: r.Teams, Evacuate: centres}
	r.Apply(r.now, Event{Kind: Declared, Declaration: &d})
}

// centreOf returns the data centre in which a job holds workers, or an empty string.
func (r *fixture) centreOf(id model.JobID) model.Centre {
	j := r.Jobs[id]
	if j == nil || len(j.Slots) == 0 {
		return ""
	}
	return r.Workers[j.Slots[0].Worker].Worker.Centre
}

// A job must be placed outside the evacuated data centres, and wait with that reason if only they have room. Names without
// workers must have no effect, and a return to service must have one at once.
func TestJobsArePlacedOutsideEvacuatedCentres(t *testing.T) {
	full := []model.JobSpec{rackJob("full0", 3), rackJob("full1", 3)}
	small := job("x", 1, 8)
	small.Checkpoint = true // other jobs would avoid the rack that is kept free
	for _, tc := range []struct {
		name      string
		evacuated []model.Centre
		running   []model.JobSpec
		job       model.JobSpec
		started   bool
		reason    Reason
	}{
		{"the other has room", []model.Centre{"c00"}, nil, rackJob("x", 3), true, Reason{}},
		{"listed twice", []model.Centre{"c00", "c00"}, nil, rackJob("x", 3), true, Reason{}},
		{"unknown and empty name", []model.Centre{"c99", ""}, full[:1], rackJob("x", 3), true, Reason{}},
		{"all evacuated", []model.Centre{"c00", "c01"}, nil, small, false, Reason{Code: NoRoom, Need: 8, Evacuated: "c00, c01"}},
		{"the other is full", []model.Centre{"c00"}, full[1:], small, false, Reason{Code: Reserving, Until: epoch.Add(time.Hour), Evacuated: "c00"}},
		{"both are full", []model.Centre{"c00"}, full, small, false, Reason{Code: Reserving, Until: epoch.Add(time.Hour)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newCentresFixture(t, 6, 2, teams(model.TeamSpec{Name: "a"}))
			if len(tc.running) == 1 {
				// The first job is to take c01.
				r.evacuate("c00")
			}
			r.submit(tc.running...)
			r.step()
			r.evacuate(tc.evacuated...)
			r.submit(tc.job)
			got := r.waitingReason("x")
			r.step()
			if started := r.Jobs["x"].placed(); started != tc.started || slices.Contains(tc.evacuated, r.centreOf("x")) {
				t.Fatalf("job: got %+v, want started %v and in none of %v", r.Jobs["x"], tc.started, tc.evacuated)
			}
			if !tc.started && got != tc.reason {
				t.Errorf("reason: got %v, want %v", got, tc.reason)
			}
			for _, j := range tc.running {
				if r.Jobs[j.ID].Phase != Running {
					t.Errorf("job %s, which ran before: got %v, want running", j.ID, r.Jobs[j.ID].Phase)
				}
			}
			r.evacuate()
			r.step()
			if hadRoom := len(tc.running) < 2; hadRoom && !r.Jobs["x"].placed() {
				t.Errorf("job after the return to service: got %+v, want it started", r.waitingReason("x"))
			}
		})
	}
}

// A job that fits only in the evacuated data centre must not count as one that can never run, and must say what it waits for,
// also while jobs still run there.
func TestJobThatFitsOnlyThereNamesEvacuation(t *testing.T) {
	r := newCentresFixture(t, 4, 2, teams(model.TeamSpec{Name: "a"}))
	large := model.Worker{ID: "large", Centre: "c01", Rack: "r9", Cores: 128, Memory: 256, GPUs: 16, Up: true}
	r.Apply(r.now, Event{Kind: WorkerSeen, Worker: &large})
	r.submit(job("running", 1, 16))
	r.step()
	r.evacuate("c01")
	r.submit(job("x", 1, 16))
	if got := r.waitingReason("x"); got.Evacuated != "c01" || got.Permanent() {
		t.Errorf("reason: got %v (final %v), want one that names c01", got, got.Permanent())
	}
}

// A placement whose tasks don't run yet must not be carried out, whether it is accepted or not, and the job must be placed
// elsewhere. A job that has begun meanwhile goes on.
func TestPlacementIsNotCarriedOutAfterEvacuation(t *testing.T) {
	for _, tc := range []struct {
		name, steps string
		want        Phase
	}{
		{"before it is accepted", "decide evacuate accept", Queued},
		{"after it is accepted", "decide accept evacuate decide accept", Stopping},
		{"once it runs", "decide accept run evacuate decide accept", Running},
		{"it begins to run while it is to be stopped", "decide accept evacuate decide run accept", Running},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newCentresFixture(t, 6, 2, teams(model.TeamSpec{Name: "a"}))
			spec := rackJob("x", 3)
			spec.Checkpoint = true
			r.submit(spec)
			var actions []Action
			var centre model.Centre
			for _, step := range strings.Fields(tc.steps) {
				switch step {
				case "decide":
					actions = Decide(r.now, r.State).Actions
				case "accept":
					r.Accept(r.now, actions)
				case "run":
					r.apply(Started, "x")
				case "evacuate":
					centre = r.Workers[actions[0].Slots[0].Worker].Worker.Centre
					r.evacuate(centre)
				}
			}
			if got := r.Jobs["x"].Phase; got != tc.want {
				t.Fatalf("phase: got %v, want %v", got, tc.want)
			}
			if tc.want == Running {
				return
			}
			if tc.want == Stopping && (r.Jobs["x"].LastStopReason != Reason{Code: StartEvacuated, Evacuated: string(centre)}) {
				t.Errorf("reason of the stop: got %v, want %s with the data centre", r.Jobs["x"].LastStopReason, StartEvacuated)
			}
			r.apply(Stopped, "x")
			r.step()
			if got := r.centreOf("x"); got == "" || got == centre {
				t.Errorf("job placed in %q, want the other data centre than %q", got, centre)
			}
		})
	}
}

// Preemption for urgent work, for the quota of a team and for the headroom must not stop jobs in an evacuated data centre: it
// would lose their work, and nothing could use the room.
func TestPreemptionSparesEvacuatedCentre(t *testing.T) {
	movable := func(id model.JobID, team model.Team) model.JobSpec {
		j := rackJob(id, 3)
		j.Team, j.Checkpoint, j.Grace = team, true, time.Second
		return j
	}
	slow := func(id model.JobID, tasks, gpus int) model.JobSpec {
		j := job(id, tasks, gpus)
		j.Team, j.Grace = "b", time.Hour
		return j
	}
	urgent := job("urgent", 1, 8)
	urgent.Urgent = true
	large := rackJob("large", 3)
	for _, tc := range []struct {
		name  string
		quota int
		// there runs in c00, here in c01.
		there, here, later []model.JobSpec
	}{
		{"urgent work", 0, []model.JobSpec{movable("there", "b")}, []model.JobSpec{slow("here", 3, 8)}, []model.JobSpec{urgent}},
		{"quota", 24, []model.JobSpec{movable("there", "a")}, nil, []model.JobSpec{urgent}},
		{"higher score", 0, []model.JobSpec{movable("there", "b")}, []model.JobSpec{slow("here", 3, 8)}, []model.JobSpec{large}},
		{"headroom", 0, []model.JobSpec{slow("there", 3, 8)}, []model.JobSpec{slow("here", 3, 8)}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newCentresFixture(t, 6, 2, teams(model.TeamSpec{Name: "a", Quota: tc.quota}, model.TeamSpec{Name: "b"}))
			r.evacuate("c01")
			r.submit(tc.there...)
			r.step()
			r.evacuate("c00")
			r.submit(tc.here...)
			r.step()
			for _, j := range append(tc.there, tc.here...) {
				if r.Jobs[j.ID].Phase != Running {
					t.Fatalf("job %s: got %+v, want running", j.ID, r.Jobs[j.ID])
				}
			}
			r.submit(tc.later...)
			for range 5 {
				r.now = r.now.Add(10 * time.Minute)
				r.Apply(r.now)
				r.step()
			}
			for _, j := range append(tc.there, tc.here...) {
				if got := r.Jobs[j.ID].Phase; got != Running {
					t.Errorf("job %s: got %v, want running", j.ID, got)
				}
			}
		})
	}
}

// A reservation must not count on room in an evacuated data centre, and one that does must be replaced.
func TestReservationLeavesEvacuatedCentre(t *testing.T) {
	r := newCentresFixture(t, 6, 2, teams(model.TeamSpec{Name: "a"}))
	short, long := rackJob("short", 3), rackJob("long", 3)
	short.Estimate, long.Estimate = time.Hour, 2*time.Hour
	r.submit(short, long)
	r.step()
	r.submit(rackJob("x", 3))
	r.step()
	reserved := func() model.Centre {
		slots := r.Jobs["x"].ReservedSlots
		if len(slots) == 0 {
			return ""
		}
		return r.Workers[slots[0].Worker].Worker.Centre
	}
	first, other := r.centreOf("short"), r.centreOf("long")
	if got := reserved(); got != first {
		t.Fatalf("reservation before the evacuation: got %q, want %q", got, first)
	}
	r.evacuate(first)
	r.step()
	if got := reserved(); got != other {
		t.Errorf("reservation after the evacuation: got %q, want %q", got, other)
	}
	r.evacuate(first, other)
	r.step()
	if got := reserved(); got != "" {
		t.Errorf("reservation with both evacuated: got one in %q, want none", got)
	}
	if got := r.waitingReason("x"); got.Evacuated != "c00, c01" {
		t.Errorf("reason with both evacuated: got %v, want both named", got)
	}
}

// A guarantee must leave an evacuated data centre. If it can't, its shortfall and its claims must name the evacuation. The job
// that runs under it goes on, and is protected again when the data centre returns to service.
func TestGuaranteeOfEvacuatedCentre(t *testing.T) {
	shape := model.Shape{Tasks: 3, GPUs: 8, Adjacent: model.SameRack}
	for _, tc := range []struct {
		name   string
		centre model.Centre
		cause  Cause
	}{
		{"fixed data centre", "c00", CentreEvacuated},
		{"any data centre", "", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := model.Guarantee{Name: "g", Shape: shape, Grace: time.Minute, Centre: tc.centre}
			r := newCentresFixture(t, 6, 2, teams(model.TeamSpec{Name: "a", Guarantees: []model.Guarantee{g}}))
			claim := func(id model.JobID) model.JobSpec {
				j := rackJob(id, 3)
				j.Guarantee, j.Grace = "g", time.Hour
				return j
			}
			r.submit(claim("first"))
			r.step()
			centre := r.centreOf("first")
			if !r.Jobs["first"].Anchored {
				t.Fatalf("first claim: got %+v, want it on its anchor", r.Jobs["first"])
			}
			r.evacuate(centre)
			r.submit(claim("second"))
			a := r.anchor("a", "g")
			if tc.cause != 0 {
				if a.Shortfall == nil || a.Shortfall.Cause != tc.cause || a.Shortfall.Centre != centre {
					t.Fatalf("shortfall: got %+v, want %s of %s", a.Shortfall, tc.cause, centre)
				}
				want := Reason{Code: GuaranteeShortfall, Guarantee: "g", Evacuated: string(centre)}
				if got := r.waitingReason("second"); got != want {
					t.Errorf("reason of the claim: got %v, want %v", got, want)
				}
			}
			r.step()
			if got := r.centreOf("second"); (got != "") != (tc.cause == 0) || got == centre {
				t.Errorf("second claim runs in %q", got)
			}
			r.evacuate()
			for range 3 {
				r.now = r.now.Add(time.Minute)
				r.Apply(r.now)
				r.step()
			}
			if j := r.Jobs["first"]; j.Phase != Running || j.Anchored != (tc.cause != 0) {
				t.Errorf("first claim after the return to service: got %v, anchored %v, want running, anchored if the guarantee stayed", j.Phase, j.Anchored)
			}
			if a := r.anchor("a", "g"); a.Shortfall != nil {
				t.Errorf("shortfall after the return to service: got %+v, want none", a.Shortfall)
			}
			if tc.cause != 0 && r.waitingReason("second").Code != GuaranteeInUse {
				t.Errorf("second claim after the return to service: got %v, want %s", r.waitingReason("second"), GuaranteeInUse)
			}
		})
	}
}

// A shortfall that the loss of a worker causes must not be blamed on an evacuation elsewhere, and the list of lost workers
// must not include evacuated ones.
func TestShortfallNamesItsOwnCause(t *testing.T) {
	g := model.Guarantee{Name: "g", Grace: time.Minute, Shape: model.Shape{Tasks: 3, GPUs: 8, Adjacent: model.SameRack}}
	r := newCentresFixture(t, 6, 2, teams(model.TeamSpec{Name: "a", Guarantees: []model.Guarantee{g}}))
	r.Apply(r.now, Event{Kind: WorkerLost, Workers: []model.WorkerID{"w00000", "w00003"}})
	r.evacuate("c00")
	short := r.anchor("a", "g").Shortfall
	if short == nil || short.Cause != WorkersLost || !slices.Equal(short.Workers, []model.WorkerID{"w00000", "w00003"}) {
		t.Errorf("shortfall: got %+v, want the two lost workers", short)
	}
}

// The next owner must know of the evacuation from the State that it reads, and an owner of an earlier version must be able to
// read that State.
func TestEvacuationSurvivesEncoding(t *testing.T) {
	r := newCentresFixture(t, 6, 2, teams(model.TeamSpec{Name: "a"}))
	r.evacuate("c00")
	r.submit(rackJob("x", 3), rackJob("y", 3))
	data, err := cbor.Marshal(r.State)
	if err != nil {
		t.Fatal(err)
	}
	var back State
	if err := cbor.Unmarshal(data, &back); err != nil {
		t.Fatal(err)
	}
	want, got := fmt.Sprintf("%+v", Decide(r.now, r.State)), fmt.Sprintf("%+v", Decide(r.now, &back))
	if got != want {
		t.Errorf("decision: got %s, want %s", got, want)
	}
	var earlier struct {
		Cell model.CellID         `cbor:"1,keyasint"`
		Jobs map[model.JobID]*Job `cbor:"6,keyasint"`
	}
	if err := cbor.Unmarshal(data, &earlier); err != nil || len(earlier.Jobs) != 2 {
		t.Errorf("read without the new key: got %d jobs, %v, want 2", len(earlier.Jobs), err)
	}
}
