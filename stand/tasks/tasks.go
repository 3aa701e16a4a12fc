package tasks

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// States of a task; the last five are final.
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

// Worker is a machine.
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

// Command is what each change of a task carries.
type Command struct {
	Cell  string `json:"cell"`
	Epoch uint64 `json:"epoch"`
	Plan  uint64 `json:"plan"`
}

// Task is a task with its state.
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

// Refusal is an answer that says why nothing was done.
type Refusal struct {
	Status int    `json:"-"`
	Reason string `json:"reason"`
	// Have is the highest epoch of the cell, for reason fenced.
	Have uint64 `json:"have,omitempty"`
}

func (r *Refusal) Error() string { return fmt.Sprintf("%s (%d)", r.Reason, r.Have) }

type grant struct {
	ttl  time.Duration
	end  time.Time
	cell string
}

// Tasks is the service.
type Tasks struct {
	// Run is how long a task runs before it ends by itself; 0 means until it is finished by POST /finish.
	Run time.Duration
	// Fails says whether a task that starts on a worker fails.
	Fails func(worker string) bool

	mu      sync.Mutex
	begin   time.Time
	workers map[string]*Worker
	order   []string
	tasks   map[string]*Task
	grants  map[uint64]*grant
	last    uint64
	epochs  map[string]uint64
	log     []Event
	counts  map[string]int
	// uses holds what the tasks of each job use; other jobs report nothing.
	uses map[string]Use
}

// New returns a service with workers.
func New(workers []Worker, now time.Time) *Tasks {
	t := &Tasks{
		begin: now, workers: map[string]*Worker{}, tasks: map[string]*Task{},
		grants: map[uint64]*grant{}, epochs: map[string]uint64{}, counts: map[string]int{}, uses: map[string]Use{},
	}
	for _, w := range workers {
		t.workers[w.ID] = &w
		t.order = append(t.order, w.ID)
	}
	return t
}

// Workers returns the workers in the order of the seed.
func (t *Tasks) Workers() []Worker {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Worker, 0, len(t.order))
	for _, id := range t.order {
		out = append(out, *t.workers[id])
	}
	return out
}

// SetUp marks the workers in down as lost, and all others as up.
func (t *Tasks) SetUp(down map[string]bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, w := range t.workers {
		w.Up = !down[id]
	}
	for _, task := range t.tasks {
		if !task.final() && down[task.Worker] {
			t.end(task, Lost, now)
		}
	}
}

// fence refuses an epoch below the highest of the cell, and remembers a higher one.
func (t *Tasks) fence(c Command) *Refusal {
	have := t.epochs[c.Cell]
	if c.Epoch < have {
		t.counts["fenced"]++
		return &Refusal{Status: 412, Reason: "fenced", Have: have}
	}
	t.epochs[c.Cell] = c.Epoch
	return nil
}

func (t *Tasks) note(task *Task, event string, now time.Time) {
	t.log = append(t.log, Event{
		Time: now.Sub(t.begin).Microseconds(), Task: task.ID, Job: task.Job, Event: event,
		Epoch: task.Epoch, Plan: task.Plan, Share: task.Share, Worker: task.Worker,
	})
}

func (t *Tasks) end(task *Task, state string, now time.Time) {
	task.State, task.Share = state, 0
	t.note(task, state, now)
}

// Prepare creates a task; a second call for a live task with the same content answers as the first.
func (t *Tasks) Prepare(in Task, now time.Time) (Task, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.fence(in.Command); r != nil {
		return Task{}, r
	}
	if g := t.grants[in.Lease]; g == nil || !now.Before(g.end) {
		return Task{}, &Refusal{Status: 410, Reason: "grant"}
	}
	if old := t.tasks[in.ID]; old != nil {
		if old.final() || old.Job != in.Job || old.Worker != in.Worker || old.GPUs != in.GPUs {
			return *old, &Refusal{Status: 409, Reason: "exists"}
		}
		return *old, nil
	}
	if r := t.room(in); r != nil {
		return Task{}, r
	}
	share := in.Share
	in.Share, in.State, in.Saved = 0, Prepared, 0
	t.tasks[in.ID] = &in
	t.note(&in, Prepared, now)
	if share > 0 {
		t.share(&in, share, now)
	}
	return in, nil
}

func (t *Tasks) room(in Task) *Refusal {
	w := t.workers[in.Worker]
	if w == nil || !w.Up {
		return &Refusal{Status: 409, Reason: "worker"}
	}
	used := in.GPUs
	for _, task := range t.tasks {
		if task.Worker == in.Worker && !task.final() {
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
		t.note(task, Running, now)
		if t.Fails != nil && t.Fails(task.Worker) {
			t.end(task, Failed, now)
		}
	case share == 0 && task.State == Running:
		task.State = Paused
		t.note(task, Paused, now)
	}
}

// change runs fn on a live task after the checks that all commands share.
func (t *Tasks) change(id string, c Command, fn func(*Task)) (Task, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
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

// Throttle sets the share of a task; a task that has ended stays as it is.
func (t *Tasks) Throttle(id string, c Command, share float64, now time.Time) (Task, *Refusal) {
	return t.change(id, c, func(task *Task) { t.share(task, share, now) })
}

// Checkpoint saves a task.
func (t *Tasks) Checkpoint(id string, c Command, now time.Time) (Task, *Refusal) {
	return t.change(id, c, func(task *Task) {
		task.Saved++
		t.note(task, "saved", now)
	})
}

// Stop ends a task.
func (t *Tasks) Stop(id string, c Command, now time.Time) (Task, *Refusal) {
	return t.change(id, c, func(task *Task) { t.end(task, Stopped, now) })
}

// Finish ends the running tasks of a job as done.
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

// List returns the tasks of a cell, ended ones included, in the order of their identifiers.
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

// Since returns the time on the clock of the log.
func (t *Tasks) Since(now time.Time) time.Duration { return now.Sub(t.begin) }

// Log returns the events from index on.
func (t *Tasks) Log(from int) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	from = min(max(from, 0), len(t.log))
	return append([]Event{}, t.log[from:]...)
}

// Stats returns counts of refused commands and of calls.
func (t *Tasks) Stats() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int, len(t.counts))
	for kind, n := range t.counts {
		out[kind] = n
	}
	return out
}
