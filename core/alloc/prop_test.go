package alloc

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

// world is an owner, a store and workers whose links lose, delay and cut messages. It checks each start against
// what the workers and callers have seen.
type world struct {
	*rapid.T
	scheduler Scheduler
	cache     batch.Cache
	now       time.Time
	// store holds what was written; version counts the writes.
	version uint64
	session uint64
	workers []*machine
	jobs    []model.JobID
	// done says which tasks have ended well somewhere; noted, at which event they did so by an end that was acknowledged.
	done  map[batch.TaskID]bool
	noted map[batch.TaskID]int
	// failures counts the acknowledged failures, starts holds the event of the last start.
	failures, starts map[batch.TaskID]int
	events           int
	calls            []delayed
}

// machine is a worker with a lease and a fence.
type machine struct {
	batch.Worker
	node    string
	linked  bool
	lease   time.Time
	running map[batch.RunID]bool
	// barred holds the highest run of each task that was stopped or ended here.
	barred map[batch.TaskID]int
	ended  []batch.End
	// at holds the event of each end, lapsed the event at which the lease last ran out.
	at     []int
	lapsed int
	number uint64
	seen   uint64
	// refused are the stops that were carried out before their run began, to be reported.
	refused []batch.Refusal
	// restarted says that the agent has no lists yet.
	restarted bool
}

// delayed is an order that is carried out later.
type delayed struct {
	worker string
	start  *batch.StartOrder
}

func (w *world) machine(id string) *machine {
	for _, m := range w.workers {
		if m.ID == id {
			return m
		}
	}
	return nil
}

// begin carries out a start as the platform's contract says, and checks the rules.
func (w *world) begin(m *machine, s *batch.StartOrder) {
	task := s.Task
	if m.running[s.RunID] {
		return
	}
	if s.Run <= m.barred[task] {
		m.refused = append(m.refused, batch.Refusal{RunID: s.RunID, Reason: batch.RefusedStaleRun})
		return
	}
	job := w.cache.Jobs[task.Job].Job
	if s.Spec != job.Spec {
		w.Fatalf("UNASKED: %v on %s with spec %q, want %q", s.RunID, m.ID, s.Spec, job.Spec)
	}
	step := &job.Steps[task.Step]
	for _, other := range w.workers {
		for run := range other.running {
			if run.Task == task {
				w.Fatalf("TWICE: %v on %s while %v runs on %s", s.RunID, m.ID, run, other.ID)
			}
		}
	}
	if _, noted := w.noted[task]; noted {
		w.Fatalf("TWICE: %v on %s after an acknowledged run was done", s.RunID, m.ID)
	}
	if w.failures[task] >= job.QueueConfig.Attempts {
		w.Fatalf("BUDGET: %v on %s after %d failures", s.RunID, m.ID, w.failures[task])
	}
	w.events++
	w.starts[task] = w.events
	for _, before := range step.After {
		for i := range job.Steps[before].Count {
			if !w.done[batch.TaskID{Job: task.Job, Step: before, Index: i}] {
				w.Fatalf("ORDER: %v on %s before step %d was done", s.RunID, m.ID, before)
			}
		}
	}
	m.running[s.RunID] = true
	used := batch.Amount{}
	for run := range m.running {
		used = used.Add(w.cache.Jobs[run.Task.Job].Job.Steps[run.Task.Step].Allocation())
	}
	if !m.Capacity.Contains(used) {
		w.Fatalf("LIMIT: %v on %s: %v used of %v", s.RunID, m.ID, used, m.Capacity)
	}
}

// list adds an end to a machine's list.
func (w *world) list(m *machine, run batch.RunID, cause batch.Cause) {
	delete(m.running, run)
	m.barred[run.Task] = max(m.barred[run.Task], run.Run)
	m.number++
	w.events++
	m.ended = append(m.ended, batch.End{Number: m.number, RunID: run, Cause: cause})
	m.at = append(m.at, w.events)
	if cause == batch.EndDone {
		w.done[run.Task] = true
	}
}

// finish ends a run, and with it the other members of its gang.
func (w *world) finish(m *machine, run batch.RunID, cause batch.Cause) {
	w.list(m, run, cause)
	step := &w.cache.Jobs[run.Task.Job].Job.Steps[run.Task.Step]
	if !step.Gang {
		return
	}
	others := batch.EndGangMemberEnded
	if cause == batch.EndDone {
		others = batch.EndDone
	}
	for _, other := range w.workers {
		for _, r := range other.runs() {
			if r.Run == run.Run && r.Task.Job == run.Task.Job && r.Task.Step == run.Task.Step {
				w.list(other, r, others)
			}
		}
	}
	if cause == batch.EndDone {
		for i := range step.Count {
			w.done[batch.TaskID{Job: run.Task.Job, Step: run.Task.Step, Index: i}] = true
		}
	}
}

// note takes the owner's acknowledgement of ends; those before a lapse of the lease don't count.
func (w *world) note(m *machine, seen uint64) {
	for i, e := range m.ended {
		if e.Number <= m.seen || e.Number > seen || m.at[i] < m.lapsed {
			continue
		}
		for _, task := range w.sharing(e.Task) {
			switch e.Cause {
			case batch.EndDone:
				if w.starts[task] > m.at[i] {
					w.Fatalf("TWICE: %v was started after the run %v was done, and that end is acknowledged", task, e.RunID)
				}
				w.noted[task] = m.at[i]
			case batch.EndFailed:
				w.failures[task]++
			}
		}
	}
	m.seen = max(m.seen, seen)
}

// sharing returns the tasks that end with a task: itself, or all of its gang.
func (w *world) sharing(task batch.TaskID) []batch.TaskID {
	step := &w.cache.Jobs[task.Job].Job.Steps[task.Step]
	if !step.Gang {
		return []batch.TaskID{task}
	}
	var all []batch.TaskID
	for i := range step.Count {
		all = append(all, batch.TaskID{Job: task.Job, Step: task.Step, Index: i})
	}
	return all
}

// whole reports whether all members of a gang are present; only then they work.
func (w *world) whole(run batch.RunID) bool {
	step := &w.cache.Jobs[run.Task.Job].Job.Steps[run.Task.Step]
	present := 0
	for _, m := range w.workers {
		for r := range m.running {
			if r.Run == run.Run && r.Task.Job == run.Task.Job && r.Task.Step == run.Task.Step {
				present++
			}
		}
	}
	return !step.Gang || present == step.Count
}

// runs returns the machine's runs in a fixed order.
func (m *machine) runs() []batch.RunID {
	var list []batch.RunID
	for r := range m.running {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Task.String() < list[j].Task.String() })
	return list
}

// report sends a machine's lists; the owner's answer extends the lease from now.
func (w *world) report(m *machine) {
	if !m.linked {
		return
	}
	r := &batch.Report{Worker: m.Worker, Listed: true, Refused: m.refused}
	m.refused = nil
	for _, run := range m.runs() {
		r.Running = append(r.Running, batch.RunStatus{RunID: run})
	}
	for _, e := range m.ended {
		if e.Number > m.seen {
			r.Ended = append(r.Ended, e)
		}
	}
	m.restarted = false
	if w.scheduler.ApplyReport(w.now, w.now, r, w.session) {
		m.lease = w.now.Add(w.scheduler.LeaseDuration())
	}
}

// restart lets a machine's agent start again: its first report has no lists, and is answered without a lease.
func (w *world) restart(m *machine) {
	if !m.linked {
		return
	}
	m.refused, m.restarted = nil, true
	w.session++
	w.scheduler.ApplyReport(w.now, w.now, &batch.Report{Worker: m.Worker}, w.session)
}

// obey delivers the owner's orders to a machine; late orders are kept back, and carried out later.
func (w *world) obey(m *machine, late bool) {
	if !m.linked {
		return
	}
	o, _ := w.scheduler.Orders(w.now, m.ID)
	w.note(m, o.AcknowledgedEnds)
	if m.restarted && len(o.Starts) > 0 {
		w.Fatalf("start of %v on %s, whose agent has no lists and no lease", o.Starts[0].RunID, m.ID)
	}
	for i := range o.Starts {
		if w.cache.Jobs[o.Starts[i].Task.Job].Cancel {
			w.Fatalf("UNASKED: %v on %s after its job was cancelled", o.Starts[i].RunID, m.ID)
		}
		if late {
			w.calls = append(w.calls, delayed{m.ID, &o.Starts[i]})
			continue
		}
		w.begin(m, &o.Starts[i])
	}
	for _, run := range o.Stops {
		if m.running[run] {
			w.finish(m, run, batch.EndStopped)
			continue
		}
		m.barred[run.Task] = max(m.barred[run.Task], run.Run)
		m.refused = append(m.refused, batch.Refusal{RunID: run, Reason: batch.RefusedStopped})
	}
}

// save stores what is dirty.
func (w *world) save() {
	for _, r := range w.scheduler.PendingUpdates(1000) {
		w.write(batch.ProgressKey(r.Job), &r.Progress)
		w.scheduler.ConfirmStored(r)
	}
}

func (w *world) write(key string, record any) {
	value, err := batch.Encode(record)
	if err != nil {
		w.Fatal(err)
	}
	w.version++
	id, err := w.cache.Apply(key, value, w.version)
	if err != nil {
		w.Fatal(err)
	}
	w.scheduler.UpdateJob(w.now, w.now, id, w.cache.Jobs[id])
}

func (w *world) pick(label string) *machine {
	return w.workers[rapid.IntRange(0, len(w.workers)-1).Draw(w.T, label)]
}

func newWorld(t *rapid.T) *world {
	w := &world{T: t, now: start, session: 1, done: map[batch.TaskID]bool{}}
	w.noted, w.failures, w.starts = map[batch.TaskID]int{}, map[batch.TaskID]int{}, map[batch.TaskID]int{}
	for i := range 3 {
		w.workers = append(w.workers, newMachine(fmt.Sprintf("n%d", i), 1, w.now))
	}
	w.adopt()
	return w
}

func newMachine(node string, born int64, now time.Time) *machine {
	return &machine{
		Worker: batch.Worker{
			ID: batch.WorkerID(node, "w", born), Node: node, Service: "svc", Labels: []string{"a", "r-" + node}, Born: born,
			Capacity: batch.Amount{CPU: 8000, Memory: 8000, GPU: 8},
		},
		node: node, linked: true, lease: now, running: map[batch.RunID]bool{}, barred: map[batch.TaskID]int{},
	}
}

// adopt lets a new owner take over from the store; what wasn't stored is lost.
func (w *world) adopt() {
	w.scheduler = Scheduler{}
	w.scheduler.StartTerm(w.now, w.now, &w.cache)
	w.scheduler.SetPolicy(batch.Policy{Teams: map[model.Team]batch.Team{"a": {Name: "a", Guarantee: 8}}})
	w.session++
	// The new fence keeps orders of the last owner from being carried out.
	w.calls = nil
}

func (w *world) submit() {
	if len(w.jobs) >= 8 {
		return
	}
	steps := make([]batch.Step, rapid.IntRange(1, 2).Draw(w.T, "steps"))
	for i := range steps {
		steps[i] = batch.Step{
			Count: rapid.IntRange(1, 4).Draw(w.T, "count"), Gang: rapid.Bool().Draw(w.T, "gang"), Estimate: time.Second,
			Need: batch.Amount{CPU: 100, Memory: 100, GPU: int64(rapid.IntRange(1, 8).Draw(w.T, "gpu"))},
		}
		if i > 0 {
			steps[i].After = []int{0}
		}
	}
	id := model.JobID(fmt.Sprintf("%016x", len(w.jobs)+1))
	policy := batch.Queue{Name: "q", Service: "svc", Attempts: 2, Stretch: 2, Priority: rapid.IntRange(0, 2).Draw(w.T, "priority")}
	w.jobs = append(w.jobs, id)
	w.write(batch.JobKey(id), &batch.Job{ID: id, Queue: "q", Team: "a", Steps: steps, Accepted: w.now.UnixMilli(), QueueConfig: policy, Spec: "spec of " + string(id)})
}

// advance lets time pass; leases that run out kill what runs.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, m := range w.workers {
		if w.now.After(m.lease) {
			w.events++
			m.lapsed = w.events
			for _, run := range m.runs() {
				w.finish(m, run, batch.EndLeaseExpired)
			}
		}
	}
	w.scheduler.ExpireLeases(w.now, w.now)
	w.scheduler.PreemptStalled(w.now)
}

// Guards against two runs of a task, starts out of order, over capacity, beyond the attempts, of cancelled jobs or to agents
// without lists, in any order of lost, late and repeated messages, owners that fail before they store, agents that restart,
// and workers that are cut off or replaced; and against jobs that don't end once the faults are over.
func TestRulesHoldUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) { w.submit() },
			"cancel": func(t *rapid.T) {
				if len(w.jobs) > 0 {
					w.write(batch.CancelKey(w.jobs[rapid.IntRange(0, len(w.jobs)-1).Draw(t, "job")]), struct{}{})
				}
			},
			"round": func(*rapid.T) {
				w.scheduler.Plan(w.now, w.now)
				w.save()
				for _, m := range w.workers {
					w.obey(m, false)
					w.report(m)
				}
			},
			"plan":   func(*rapid.T) { w.scheduler.Plan(w.now, w.now) },
			"save":   func(*rapid.T) { w.save() },
			"report": func(*rapid.T) { w.report(w.pick("machine")) },
			"obey":   func(t *rapid.T) { w.obey(w.pick("machine"), rapid.IntRange(0, 4).Draw(t, "late") == 0) },
			"late": func(*rapid.T) {
				for _, call := range w.calls {
					if m := w.machine(call.worker); m != nil {
						w.begin(m, call.start)
					}
				}
				w.calls = nil
			},
			"end": func(t *rapid.T) {
				m := w.pick("machine")
				if runs := m.runs(); len(runs) > 0 {
					cause := rapid.SampledFrom([]batch.Cause{batch.EndDone, batch.EndDone, batch.EndFailed}).Draw(t, "cause")
					if !w.whole(runs[0]) {
						cause = batch.EndGangIncomplete
					}
					w.finish(m, runs[0], cause)
				}
			},
			"pass":    func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
			"cut":     func(*rapid.T) { w.pick("machine").linked = false },
			"heal":    func(*rapid.T) { w.pick("machine").linked = true },
			"restart": func(*rapid.T) { w.restart(w.pick("machine")) },
			"relink":  func(*rapid.T) { w.session++ },
			"replace": func(t *rapid.T) { w.replace(rapid.IntRange(0, len(w.workers)-1).Draw(t, "machine")) },
			"owner":   func(*rapid.T) { w.adopt() },
		})
		w.calm()
	})
}

const (
	// calmTime is the time without faults in which all jobs end: a lease, and the runs of 16 steps one after the other.
	calmTime = 60 * time.Second
	// calmStep is the interval of the rounds, calmRun how long a run takes.
	calmStep, calmRun = 100 * time.Millisecond, time.Second
	// gangWait is how long a member of a gang waits for the others.
	gangWait = 3 * time.Second
)

// calm lets time pass without faults. No member of a gang that was started meanwhile may wait for the others until it
// gives up, and all jobs that fit the workers have to end.
func (w *world) calm() {
	w.calls = nil
	w.session++
	for _, m := range w.workers {
		m.linked = true
	}
	seen := map[batch.RunID]time.Time{}
	settled := w.now.Add(w.scheduler.grace())
	for end := w.now.Add(calmTime); w.now.Before(end); {
		w.advance(calmStep)
		for _, m := range w.workers {
			w.report(m)
		}
		w.scheduler.Plan(w.now, w.now)
		w.save()
		for _, m := range w.workers {
			w.obey(m, false)
		}
		for _, m := range w.workers {
			for _, run := range m.runs() {
				if !m.running[run] {
					continue
				}
				if seen[run].IsZero() {
					seen[run] = w.now
				}
				age := w.now.Sub(seen[run])
				switch whole := w.whole(run); {
				case whole && age >= calmRun:
					w.finish(m, run, batch.EndDone)
				case !whole && age >= gangWait && seen[run].After(settled):
					w.Fatalf("GANG: %v on %s waits alone", run, m.ID)
				case !whole && age >= gangWait:
					w.finish(m, run, batch.EndGangIncomplete)
				}
			}
		}
	}
	for _, id := range w.jobs {
		e := w.cache.Jobs[id]
		if w.fits(e.Job) && (e.Progress == nil || e.Progress.Outcome == "") {
			w.Fatalf("LOST: job %s has not ended after %v without faults: %+v", id, calmTime, e.Progress)
		}
	}
}

// fits reports whether idle workers hold each gang of a job.
func (w *world) fits(j *batch.Job) bool {
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Gang && s.Count > len(w.workers)*int(8/s.Need.GPU) {
			return false
		}
	}
	return true
}

// replace lets a worker crash and start again as a later incarnation.
func (w *world) replace(i int) {
	old := w.workers[i]
	w.workers[i] = newMachine(old.node, old.Born+1, w.now)
}
