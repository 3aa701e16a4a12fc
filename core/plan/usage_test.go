package plan

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wagtailhoist/core/model"
)

// reportUsage reports two measurements, a second apart, of some jobs. They include values larger than the worker,
// invalid ones, late ones and missing ones.
func (m *stateMachine) reportUsage(t *rapid.T) {
	ids := m.drawJobs(t, 6, func(j *Job) bool { return j.Phase == Starting || j.Phase == Running })
	m.now = m.now.Add(rapid.SampledFrom([]time.Duration{0, 0, 2 * UsageSettleTime}).Draw(t, "rest"))
	var list []Report
	for _, id := range ids {
		value := rapid.SampledFrom([]float64{0.1, 4, 40, 130, 300, math.NaN(), -1, 1e12}).Draw(t, "memory")
		cores := rapid.SampledFrom([]float64{0, 2, 70, 200, math.Inf(1)}).Draw(t, "cores")
		late := rapid.SampledFrom([]time.Duration{0, 0, time.Second, time.Minute, time.Hour}).Draw(t, "late")
		index := 0
		for _, sl := range m.s.Jobs[id].Slots {
			for range sl.Tasks {
				if rapid.IntRange(0, 19).Draw(t, "missing") > 0 {
					list = append(list, Report{Job: id, Worker: sl.Worker, Task: index, Cores: cores, Memory: value, Measured: m.now.Add(-late)})
				}
				index++
			}
		}
	}
	for range 2 {
		m.now = m.now.Add(time.Second)
		for i := range list {
			list[i].Measured = list[i].Measured.Add(time.Second)
		}
		m.apply(Event{Kind: Reported, Reports: list})
	}
}

// checkMemoryStops checks the stops for memory in a decision: only jobs beyond their declared memory are stopped, those
// with the largest excess first, and no more than necessary.
func (m *stateMachine) checkMemoryStops(t *rapid.T, d Decision) {
	stopped, stoppedForMemory := map[model.JobID]bool{}, map[model.JobID]bool{}
	for _, a := range d.Actions {
		if a.Verb == Checkpoint || a.Verb == Stop || a.Verb == Move {
			stopped[a.Job] = true
		}
		if a.Reason.Code == MemoryExceeded {
			stoppedForMemory[a.Job] = true
		}
		if a.Reason.Code == MemoryExceeded && m.s.Jobs[a.Job].MemoryExcess() <= 0 {
			t.Fatalf("job %s stayed within its declared memory and was stopped: %+v", a.Job, a)
		}
	}
	justified := map[model.JobID]bool{}
	for id, ws := range m.s.Workers {
		total, remaining, keptExcess := 0, 0, 0
		for _, j := range m.s.Jobs {
			memory := memoryOnWorker(j, id)
			if !j.placed() || j.Phase == Stopping || j.Cancelled || memory == 0 {
				continue
			}
			total += memory
			if !stopped[j.Spec.ID] {
				remaining += memory
				keptExcess = max(keptExcess, j.MemoryExcess())
			}
		}
		if remaining > ws.Worker.Memory && keptExcess > 0 {
			t.Fatalf("worker %s keeps jobs using %d GB, one of which exceeds its declared memory by %d GB", id, remaining, keptExcess)
		}
		for job := range stoppedForMemory {
			if total > ws.Worker.Memory && memoryOnWorker(m.s.Jobs[job], id) > 0 && m.s.Jobs[job].MemoryExcess() >= keptExcess {
				justified[job] = true
			}
		}
	}
	for job := range stoppedForMemory {
		if !justified[job] && !m.blocksGuarantee(job) {
			t.Fatalf("job %s was stopped for its memory, but its workers have enough or run a job with a larger excess", job)
		}
	}
}

// blocksGuarantee reports whether a job holds accelerators that a guarantee with a shortfall needs.
func (m *stateMachine) blocksGuarantee(job model.JobID) bool {
	for _, a := range m.s.Anchors {
		if a.Shortfall != nil && slices.Contains(a.Shortfall.Jobs, job) {
			return true
		}
	}
	return false
}

// newUsageFixture returns a fixture with one worker of 256 GB that runs the jobs.
func newUsageFixture(t *testing.T, jobs ...model.JobSpec) *fixture {
	r := newFixture(t, 1, teams(model.TeamSpec{Name: "a"}))
	r.submit(jobs...)
	r.step()
	return r
}

// use reports the memory of each task of the jobs in two measurements and returns the actions decided then.
func (r *fixture) use(memory map[model.JobID]float64) []Action {
	for range 2 {
		r.now = r.now.Add(time.Second)
		var list []Report
		for id, gb := range memory {
			for i := range r.Jobs[id].Spec.Shape.Tasks {
				list = append(list, Report{Job: id, Worker: "w00000", Task: i, Cores: 1, Memory: gb, Measured: r.now})
			}
		}
		r.Apply(r.now, Event{Kind: Reported, Reports: list})
	}
	return Decide(r.now, r.State).Actions
}

func jobWithMemory(id model.JobID, gpus, memory int) model.JobSpec {
	j := job(id, 1, gpus)
	j.Shape.Memory = memory
	return j
}

// If a worker is short of memory, the job with the largest excess is stopped, and never one within its declared memory,
// even if that is the largest. One stop is enough in each of these cases.
func TestLargestExcessIsStopped(t *testing.T) {
	// The excess of its two tasks adds up to 60 GB, more than the 35 GB of another job.
	gang := jobWithMemory("gang", 1, 10)
	gang.Shape.Tasks = 2
	for _, tc := range []struct {
		name string
		use  map[model.JobID]float64
		want string
	}{
		{"all fit", map[model.JobID]float64{"x": 40, "y": 40, "z": 100}, ""},
		{"largest excess", map[model.JobID]float64{"x": 50, "y": 120, "z": 100}, "y"},
		{"within declaration", map[model.JobID]float64{"x": 90, "y": 20, "z": 150}, "x"},
		{"nobody exceeds", map[model.JobID]float64{"x": 10, "y": 20, "z": 150}, ""},
		{"gang as a whole", map[model.JobID]float64{"gang": 40, "y": 55, "z": 150}, "gang"},
		{"wrong value", map[model.JobID]float64{"x": 1e9, "y": math.NaN(), "z": 100}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newUsageFixture(t, jobWithMemory("x", 2, 10), jobWithMemory("y", 2, 20), jobWithMemory("z", 2, 150), gang)
			got := ""
			for _, a := range r.use(tc.use) {
				if a.Reason.Code == MemoryExceeded {
					got += string(a.Job)
				}
			}
			if got != tc.want {
				t.Errorf("stopped for memory: got %q, want %q", got, tc.want)
			}
		})
	}
}

// A job that was stopped for its memory must not be placed again with too little memory, and later jobs of its class
// must not repeat this.
func TestStoppedJobIsSizedByObservation(t *testing.T) {
	r := newUsageFixture(t, jobWithMemory("x", 2, 10), jobWithMemory("y", 2, 150))
	r.Accept(r.now, r.use(map[model.JobID]float64{"x": 160, "y": 150}))
	r.apply(Stopped, "x")
	j := r.Jobs["x"]
	if got := j.Size(); got.Declared.Memory != 10 || got.Observed.Memory != 160 || got.Effective.Memory != 200 || j.LastStopReason.Code != MemoryExceeded {
		t.Errorf("sizes: got %+v, stopped for %v; want 10 GB declared, 160 observed, 200 effective", got, j.LastStopReason)
	}
	if got := Decide(r.now, r.State); len(got.Actions) != 0 || got.Waiting[0].Reason.Code == 0 || got.Waiting[0].Reason.Permanent() {
		t.Errorf("decision beside 150 GB: got %+v, want the job to wait for room", got)
	}
	r.apply(Finished, "y")
	for i := range minPeaks {
		r.submit(jobWithMemory(model.JobID(fmt.Sprint("z", i)), 1, 1))
	}
	r.Sizes["a/"] = UsageHistory{Peaks: make([]Amount, minPeaks), Each: Amount{Memory: 70}}
	r.submit(jobWithMemory("later", 1, 1))
	if got := r.Jobs["later"].Spec.Shape.Memory; got != 70 {
		t.Errorf("later job of the class: got %d GB, want 70", got)
	}
}

// Declarations that are too large must not keep a worker empty. Low usage counts only once it is settled, and no longer
// when reports have ceased.
func TestSettledUsageFreesMemory(t *testing.T) {
	r := newUsageFixture(t, jobWithMemory("x", 2, 250), jobWithMemory("y", 2, 250))
	start := r.now
	for _, tc := range []struct {
		after time.Duration
		use   map[model.JobID]float64
		want  int
	}{
		{time.Minute, map[model.JobID]float64{"x": 40}, 250},
		{UsageSettleTime, map[model.JobID]float64{"x": 40}, 50},
		{UsageSettleTime + time.Minute, map[model.JobID]float64{"x": 60}, 75},
		{UsageSettleTime + 2*UsageStaleAfter, nil, 250},
	} {
		r.now = start.Add(tc.after)
		r.use(tc.use)
		if got := r.ensureIndex(r.now).nodes[0].used.Memory; got != tc.want {
			t.Errorf("after %s: got %d GB used, want %d", tc.after, got, tc.want)
		}
	}
}

// Usage must not take away guarantees: a job with settled usage far below its declaration may grow back to it, and an
// anchored job may use more than its guarantee, but the other guarantee on the worker must still hold.
func TestUsageTakesNothingFromGuarantees(t *testing.T) {
	g := func(name string, memory int) model.Guarantee {
		return model.Guarantee{Name: name, Grace: 5 * time.Second, Shape: model.Shape{Tasks: 1, GPUs: 4, Cores: 8, Memory: memory}}
	}
	own := jobWithMemory("x", 4, 100)
	own.Guarantee = "g"
	slow := jobWithMemory("x", 4, 200)
	slow.Grace = time.Hour
	for _, tc := range []struct {
		name          string
		job           model.JobSpec
		others        int
		after         time.Duration
		cores, memory float64
		// short is set if the other guarantee has a shortfall.
		stoppedForMemory, short bool
	}{
		{"settled slow work", slow, 100, UsageSettleTime, 1, 4, false, true},
		{"settled anchored job", own, 156, UsageSettleTime, 1, 4, false, false},
		{"cores beyond the guarantee", own, 156, 0, 128, 90, false, false},
		{"memory beyond the guarantee", own, 156, 0, 1, 200, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newFixture(t, 1, teams(model.TeamSpec{Name: "a", Guarantees: []model.Guarantee{g("g", 100)}}))
			if tc.job.Guarantee == "" {
				r = newFixture(t, 1, teams(model.TeamSpec{Name: "a"}))
			}
			r.submit(tc.job)
			r.step()
			r.now = r.now.Add(tc.after)
			for range 2 {
				r.now = r.now.Add(time.Second)
				r.Apply(r.now, Event{Kind: Reported, Reports: []Report{{Job: "x", Worker: "w00000", Cores: tc.cores, Memory: tc.memory, Measured: r.now}}})
			}
			d := teams(model.TeamSpec{Name: "a"}, model.TeamSpec{Name: "b", Guarantees: []model.Guarantee{g("other", tc.others)}})
			if tc.job.Guarantee != "" {
				d.Teams[0].Guarantees = []model.Guarantee{g("g", 100)}
			}
			r.Apply(r.now, Event{Kind: Declared, Declaration: &d})
			if got := r.anchor("b", "other").Shortfall != nil; got != tc.short {
				t.Errorf("shortfall: got %v, want %v", got, tc.short)
			}
			stoppedForMemory := false
			for _, a := range Decide(r.now, r.State).Actions {
				stoppedForMemory = stoppedForMemory || a.Reason.Code == MemoryExceeded
			}
			if stoppedForMemory != tc.stoppedForMemory {
				t.Errorf("stopped for memory: got %v, want %v", stoppedForMemory, tc.stoppedForMemory)
			}
			if kept := r.Jobs["x"].Anchored; tc.job.Guarantee != "" && !tc.stoppedForMemory && !kept {
				t.Error("the job no longer runs on its anchor")
			}
			late, loan := jobWithMemory("late", 4, 150), jobWithMemory("loan", 4, 170)
			late.Grace = time.Hour
			r.submit(late, loan)
			r.step()
			for _, id := range []model.JobID{"late", "loan"} {
				if tc.job.Guarantee != "" && r.Jobs[id].placed() {
					t.Errorf("job %s took room that guarantees in use need: %+v", id, r.Jobs[id].Slots)
				}
			}
		})
	}
}

// A job must not be stopped for memory that it no longer uses. Its peak is still charged, but only current usage counts
// when a worker is short of memory.
func TestFormerPeakDoesNotStopJob(t *testing.T) {
	r := newUsageFixture(t, jobWithMemory("x", 2, 10))
	r.use(map[model.JobID]float64{"x": 100})
	r.use(map[model.JobID]float64{"x": 5})
	r.submit(jobWithMemory("y", 2, 150))
	r.step()
	if got := r.use(map[model.JobID]float64{"x": 5, "y": 200}); len(got) != 0 {
		t.Errorf("205 GB on a worker of 256: got %+v, want no stop", got)
	}
}
