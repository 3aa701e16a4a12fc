package alloc

import (
	"fmt"
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

// start is an arbitrary time of the owner's clock and of the day.
var start = time.UnixMilli(1_000_000)

// bench is a scheduler with workers that do what they are told.
type bench struct {
	testing.TB
	scheduler Scheduler
	cache     batch.Cache
	now       time.Time
	workers   map[string]*fake
	// version counts the writes of the store.
	version uint64
}

// fake is a worker; it lists runs until they are ended.
type fake struct {
	batch.Worker
	running []batch.RunStatus
	ended   []batch.End
	number  uint64
	refused []batch.Refusal
	// acknowledged is the highest end that the owner acknowledged.
	acknowledged uint64
}

func newBench(t testing.TB, teams ...batch.Team) *bench {
	b := &bench{TB: t, now: start, workers: map[string]*fake{}}
	policy := batch.Policy{Queues: map[string]batch.Queue{}, Teams: map[model.Team]batch.Team{}}
	for priority := range 3 {
		name := fmt.Sprintf("p%d", priority)
		policy.Queues[name] = batch.Queue{
			Name: name, Service: "svc", Priority: priority, Attempts: 2, Stretch: 2, Target: time.Second,
		}
	}
	for _, team := range teams {
		policy.Teams[team.Name] = team
	}
	b.scheduler.StartTerm(b.now, b.now, &b.cache)
	b.scheduler.SetPolicy(policy)
	return b
}

// worker adds a worker with 8 accelerators on a rack and reports it.
func (b *bench) worker(node, rack string) *fake {
	w := &fake{Worker: batch.Worker{
		ID: batch.WorkerID(node, "w", 1), Node: node, Service: "svc", Labels: []string{"a", rack}, Born: 1,
		Capacity: batch.Amount{CPU: 128000, Memory: 1 << 18, GPU: 8},
	}}
	b.workers[w.ID] = w
	b.report(w)
	return w
}

func (b *bench) report(w *fake) {
	b.Helper()
	r := &batch.Report{Worker: w.Worker, Listed: true, Running: w.running, Refused: w.refused}
	for _, e := range w.ended {
		if e.Number > w.acknowledged {
			r.Ended = append(r.Ended, e)
		}
	}
	w.refused = nil
	b.scheduler.ApplyReport(b.now, b.now, r, 1)
}

// submit stores a job; the scheduler sees it at once.
func (b *bench) submit(queue string, team model.Team, steps ...batch.Step) model.JobID {
	b.version++
	id := model.JobID(fmt.Sprintf("%016x", b.version))
	job := batch.Job{ID: id, Queue: queue, Team: team, Steps: steps, Accepted: b.now.UnixMilli()}
	job.QueueConfig = b.scheduler.policy.Queues[queue]
	b.put(batch.JobKey(id), &job)
	return id
}

func (b *bench) put(key string, record any) {
	b.Helper()
	value, err := batch.Encode(record)
	if err != nil {
		b.Fatal(err)
	}
	b.version++
	id, err := b.cache.Apply(key, value, b.version)
	if err != nil {
		b.Fatal(err)
	}
	b.scheduler.UpdateJob(b.now, b.now, id, b.cache.Jobs[id])
}

func (b *bench) cancel(id model.JobID) { b.put(batch.CancelKey(id), struct{}{}) }

// save stores all progress.
func (b *bench) save() {
	for _, r := range b.scheduler.PendingUpdates(1000) {
		b.put(batch.ProgressKey(r.Job), &r.Progress)
		b.scheduler.ConfirmStored(r)
	}
}

// step plans, stores, and lets the workers carry out their orders.
func (b *bench) step() {
	b.scheduler.Plan(b.now, b.now)
	b.save()
	b.obey()
}

func (b *bench) obey() {
	for id, w := range b.workers {
		o, _ := b.scheduler.Orders(b.now, id)
		w.acknowledged = max(w.acknowledged, o.AcknowledgedEnds)
		for _, s := range o.Starts {
			w.running = append(w.running, batch.RunStatus{RunID: s.RunID})
		}
		for _, run := range o.Stops {
			w.end(run, batch.EndStopped)
		}
	}
	for _, w := range b.workers {
		b.report(w)
	}
}

func (w *fake) end(run batch.RunID, cause batch.Cause) bool {
	for i := range w.running {
		if w.running[i].RunID == run {
			w.running = append(w.running[:i:i], w.running[i+1:]...)
			w.number++
			w.ended = append(w.ended, batch.End{Number: w.number, RunID: run, Cause: cause})
			return true
		}
	}
	return false
}

// endAll ends all runs of a job with a cause, and reports them.
func (b *bench) endAll(id model.JobID, cause batch.Cause) {
	for _, w := range b.workers {
		for _, l := range append([]batch.RunStatus(nil), w.running...) {
			if l.Task.Job == id {
				w.end(l.RunID, cause)
			}
		}
		b.report(w)
	}
}

// runs returns how many runs of a job the workers list.
func (b *bench) runs(id model.JobID) int {
	n := 0
	for _, w := range b.workers {
		for _, l := range w.running {
			if l.Task.Job == id {
				n++
			}
		}
	}
	return n
}

func (b *bench) state(id model.JobID) batch.State { return b.cache.Jobs[id].State() }

func gpus(count int, gpu int64) batch.Step {
	return batch.Step{Count: count, Need: batch.Amount{CPU: 1000, Memory: 100, GPU: gpu}, Estimate: 2 * time.Second}
}

func gang(count int, gpu int64) batch.Step {
	s := gpus(count, gpu)
	s.Gang = true
	return s
}
