package tasks

import "time"

// Grant creates a task lease.
func (t *Tasks) Grant(c Command, ttl time.Duration, now time.Time) (uint64, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.fence(c); r != nil {
		return 0, r
	}
	t.last++
	t.grants[t.last] = &grant{ttl: ttl, end: now.Add(ttl), cell: c.Cell}
	return t.last, nil
}

// Renew extends a task lease by its ttl.
func (t *Tasks) Renew(id uint64, c Command, now time.Time) *Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.fence(c); r != nil {
		return r
	}
	g := t.grants[id]
	if g == nil || !now.Before(g.end) {
		return &Refusal{Status: 410, Reason: "grant"}
	}
	g.end = now.Add(g.ttl)
	return nil
}

// Revoke ends a task lease and its tasks.
func (t *Tasks) Revoke(id uint64, c Command, now time.Time) *Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.fence(c); r != nil {
		return r
	}
	if t.grants[id] == nil {
		return &Refusal{Status: 410, Reason: "grant"}
	}
	t.expire(id, now)
	return nil
}

func (t *Tasks) expire(id uint64, now time.Time) {
	delete(t.grants, id)
	for _, task := range t.tasks {
		if task.Lease == id && !task.final() {
			t.end(task, Expired, now)
		}
	}
}

// Advance ends the grants that are over at now with their tasks, and the tasks that have run for Run.
func (t *Tasks) Advance(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, g := range t.grants {
		if !now.Before(g.end) {
			t.expire(id, now)
		}
	}
	for _, task := range t.tasks {
		if t.Run > 0 && task.State == Running && now.Sub(task.started) >= t.Run {
			t.end(task, Done, now)
		}
	}
}

// Usage is the use of a worker by a task, as of an earlier moment.
type Usage struct {
	Task   string  `json:"task"`
	Worker string  `json:"worker"`
	Job    string  `json:"job"`
	GPUs   float64 `json:"gpus"`
	Cores  float64 `json:"cores"`
	// Memory is in gigabytes.
	Memory float64 `json:"memory"`
	// Age is in milliseconds.
	Age int64 `json:"age"`
}

// Use is what each task of a job really uses.
type Use struct {
	Job    string  `json:"job"`
	Cores  float64 `json:"cores"`
	Memory float64 `json:"memory"`
}

// SetUse sets what each task of a job uses from now on.
func (t *Tasks) SetUse(u Use) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.uses[u.Job] = u
}

// Usage returns the use by running tasks.
func (t *Tasks) Usage() []Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Usage{}
	for _, task := range t.tasks {
		if task.State == Running {
			use := t.uses[task.Job]
			out = append(out, Usage{
				Task: task.ID, Worker: task.Worker, Job: task.Job, GPUs: float64(task.GPUs) * task.Share,
				Cores: use.Cores, Memory: use.Memory,
			})
		}
	}
	return out
}
