package tasks

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// States of a task. The last five are final: commands leave a task in one of them unchanged.
const (
	Prepared = "prepared"
	Running  = "running"
	Paused   = "paused"
	Done     = "done"
	Stopped  = "stopped"
	Failed   = "failed"
	Lost     = "lost"
	Expired  = "expired"
)

// Worker is a machine that runs tasks.
type Worker struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Centre string `json:"centre"`
	Rack   string `json:"rack"`
	Cores  int    `json:"cores"`
	Memory int    `json:"memory"`
	GPUs   int    `json:"gpus"`
	Up     bool   `json:"up"`
}

// Command holds the fields that every changing request carries: the cell and epoch of its sender, for fencing, and the plan.
type Command struct {
	Cell  string `json:"cell"`
	Epoch uint64 `json:"epoch"`
	Plan  uint64 `json:"plan"`
}

// Task is a task on one worker, with its lease and state.
type Task struct {
	Command
	ID     string `json:"id"`
	Worker string `json:"worker"`
	GPUs   int    `json:"gpus"`
	Job    string `json:"job"`
	Lease  uint64 `json:"lease"`
	// Share is the part of its accelerators that the task may use, 0 to 1.
	Share float64 `json:"share"`
	State string  `json:"state"`
	// Saved counts the checkpoints.
	Saved int `json:"saved,omitempty"`

	started time.Time
}

func (t *Task) final() bool {
	switch t.State {
	case Prepared, Running, Paused:
		return false
	}
	return true
}

// Event is one line of the task log.
type Event struct {
	// Time is in microseconds since the start of the service.
	Time  int64  `json:"time"`
	Task  string `json:"task"`
	Job   string `json:"job"`
	Event string `json:"event"`
	Epoch uint64 `json:"epoch"`
	Plan  uint64 `json:"plan"`
	// Share is the share after the event.
	Share  float64 `json:"share"`
	Worker string  `json:"worker"`
}

// Refusal reports why a command was not carried out.
type Refusal struct {
	Status int    `json:"-"`
	Reason string `json:"reason"`
	// Have is the highest epoch seen of the cell; set if Reason is "fenced".
	Have uint64 `json:"have,omitempty"`
}

func (r *Refusal) Error() string { return fmt.Sprintf("%s (%d)", r.Reason, r.Have) }

type grant struct {
	ttl  time.Duration
	end  time.Time
	cell string
}

// Tasks is the in-memory worker service.
type Tasks struct {
	// RunTime is how long a task runs before it is done; 0 means until POST /finish.
	RunTime time.Duration
	// FailsOnStart reports whether a task that starts on the worker fails at once; nil means never.
	FailsOnStart func(worker string) bool

	mu          sync.Mutex
	startTime   time.Time
	workers     map[string]*Worker
	workerOrder []string
	tasks       map[string]*Task
	grants      map[uint64]*grant
	lastGrantID uint64
	epochs      map[string]uint64
	log         []Event
	counts      map[string]int
	// useByJob holds the cores and memory reported for each task of a job; other jobs report 0.
	useByJob map[string]JobUsage
}

// New returns a service with the given workers, whose event times count from now.
func New(workers []Worker, now time.Time) *Tasks {
	t := &Tasks{
		startTime: now, workers: map[string]*Worker{}, tasks: map[string]*Task{},
		grants: map[uint64]*grant{}, epochs: map[string]uint64{}, counts: map[string]int{}, useByJob: map[string]JobUsage{},
	}
	for _, w := range workers {
		t.workers[w.ID] = &w
		t.workerOrder = append(t.workerOrder, w.ID)
	}
	return t
}

// Workers returns the workers in the order in which they were given to New.
func (t *Tasks) Workers() []Worker {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Worker, 0, len(t.workerOrder))
	for _, id := range t.workerOrder {
		out = append(out, *t.workers[id])
	}
	return out
}

// SetUp marks the workers in down as unavailable and all others as available, and ends the tasks on the former as lost.
func (t *Tasks) SetUp(down map[string]bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireGrants(now)
	for id, w := range t.workers {
		w.Up = !down[id]
	}
	for _, task := range t.tasks {
		if !task.final() && down[task.Worker] {
			t.end(task, Lost, now)
		}
	}
}

// fence refuses a command whose epoch is below the highest one seen of its cell, and records a higher epoch.
func (t *Tasks) fence(c Command) *Refusal {
	have := t.epochs[c.Cell]
	if c.Epoch < have {
		t.counts["fenced"]++
		return &Refusal{Status: 412, Reason: "fenced", Have: have}
	}
	t.epochs[c.Cell] = c.Epoch
	return nil
}

func (t *Tasks) logEvent(task *Task, event string, now time.Time) {
	t.log = append(t.log, Event{
		Time: now.Sub(t.startTime).Microseconds(), Task: task.ID, Job: task.Job, Event: event,
		Epoch: task.Epoch, Plan: task.Plan, Share: task.Share, Worker: task.Worker,
	})
}

func (t *Tasks) end(task *Task, state string, now time.Time) {
	task.State, task.Share = state, 0
	t.logEvent(task, state, now)
}

// Prepare creates a task. Repeating the call for a task that has not ended, with the same content, returns that task.
func (t *Tasks) Prepare(task Task, now time.Time) (Task, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.fence(task.Command); r != nil {
		return Task{}, r
	}
	if g := t.grants[task.Lease]; g == nil || !now.Before(g.end) {
		return Task{}, &Refusal{Status: 410, Reason: "grant"}
	}
	if existing := t.tasks[task.ID]; existing != nil {
		if existing.final() || existing.Job != task.Job || existing.Worker != task.Worker || existing.GPUs != task.GPUs {
			return *existing, &Refusal{Status: 409, Reason: "exists"}
		}
		return *existing, nil
	}
	if r := t.checkCapacity(task); r != nil {
		return Task{}, r
	}
	share := task.Share
	task.Share, task.State, task.Saved = 0, Prepared, 0
	t.tasks[task.ID] = &task
	t.logEvent(&task, Prepared, now)
	if share > 0 {
		t.share(&task, share, now)
	}
	return task, nil
}

func (t *Tasks) checkCapacity(candidate Task) *Refusal {
	w := t.workers[candidate.Worker]
	if w == nil || !w.Up {
		return &Refusal{Status: 409, Reason: "worker"}
	}
	used := candidate.GPUs
	for _, task := range t.tasks {
		if task.Worker == candidate.Worker && !task.final() {
			used += task.GPUs
		}
	}
	if used > w.GPUs {
		t.counts["full"]++
		return &Refusal{Status: 409, Reason: "full"}
	}
	return nil
}

func (t *Tasks) share(task *Task, share float64, now time.Time) {
	task.Share = share
	switch {
	case share > 0 && task.State != Running:
		task.State = Running
		if task.started.IsZero() {
			task.started = now
		}
		t.logEvent(task, Running, now)
		if t.FailsOnStart != nil && t.FailsOnStart(task.Worker) {
			t.end(task, Failed, now)
		}
	case share == 0 && task.State == Running:
		task.State = Paused
		t.logEvent(task, Paused, now)
	}
}

// applyCommand checks the epoch and that the task exists, and calls fn unless the task has ended.
func (t *Tasks) applyCommand(id string, c Command, now time.Time, fn func(*Task)) (Task, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireGrants(now)
	if r := t.fence(c); r != nil {
		return Task{}, r
	}
	task := t.tasks[id]
	if task == nil {
		return Task{}, &Refusal{Status: 404, Reason: "task"}
	}
	if !task.final() {
		task.Epoch, task.Plan = c.Epoch, c.Plan
		fn(task)
	}
	return *task, nil
}

// Throttle sets the share of a task that has not ended: above 0 the task runs, at 0 a running task is paused.
func (t *Tasks) Throttle(id string, c Command, share float64, now time.Time) (Task, *Refusal) {
	return t.applyCommand(id, c, now, func(task *Task) { t.share(task, share, now) })
}

// Checkpoint records a checkpoint of a task that has not ended.
func (t *Tasks) Checkpoint(id string, c Command, now time.Time) (Task, *Refusal) {
	return t.applyCommand(id, c, now, func(task *Task) {
		task.Saved++
		t.logEvent(task, "saved", now)
	})
}

// Stop ends a task as stopped, unless it has already ended.
func (t *Tasks) Stop(id string, c Command, now time.Time) (Task, *Refusal) {
	return t.applyCommand(id, c, now, func(task *Task) { t.end(task, Stopped, now) })
}

// Finish ends the running tasks of a job as done and returns their number.
func (t *Tasks) Finish(job string, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, task := range t.tasks {
		if task.Job == job && task.State == Running {
			t.end(task, Done, now)
			n++
		}
	}
	return n
}

// List returns the tasks of a cell, or of all cells if cell is empty, sorted by identifier. Ended tasks are included.
func (t *Tasks) List(cell string) []Task {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Task{}
	for _, task := range t.tasks {
		if task.Cell == cell || cell == "" {
			out = append(out, *task)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// LogTime returns the time since the start of the service, from which event times count.
func (t *Tasks) LogTime(now time.Time) time.Duration { return now.Sub(t.startTime) }

// Log returns the events from index on.
func (t *Tasks) Log(from int) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	from = min(max(from, 0), len(t.log))
	return append([]Event{}, t.log[from:]...)
}

// Stats returns the number of refused commands by reason.
func (t *Tasks) Stats() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int, len(t.counts))
	for kind, n := range t.counts {
		out[kind] = n
	}
	return out
}
