package tasks

import "time"

// Grant creates a task lease and returns its identifier.
func (t *Tasks) Grant(c Command, ttl time.Duration, now time.Time) (uint64, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.fence(c); r != nil {
		return 0, r
	}
	t.lastGrantID++
	t.grants[t.lastGrantID] = &grant{ttl: ttl, end: now.Add(ttl), cell: c.Cell}
	return t.lastGrantID, nil
}

// Renew extends a task lease by its ttl from the time now, when the call was received.
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
	if end := now.Add(g.ttl); end.After(g.end) {
		g.end = end
	}
	return nil
}

// Revoke ends a task lease, and its tasks as expired.
func (t *Tasks) Revoke(id uint64, c Command, now time.Time) *Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.fence(c); r != nil {
		return r
	}
	if t.grants[id] == nil {
		return &Refusal{Status: 410, Reason: "grant"}
	}
	t.expireGrant(id, now)
	return nil
}

func (t *Tasks) expireGrant(id uint64, now time.Time) {
	delete(t.grants, id)
	for _, task := range t.tasks {
		if task.Lease == id && !task.final() {
			t.end(task, Expired, now)
		}
	}
}

// expireGrants ends the grants that have expired by now. Their tasks end at the end of the grant, also when this process runs
// late.
func (t *Tasks) expireGrants(now time.Time) {
	for id, g := range t.grants {
		if !now.Before(g.end) {
			t.expireGrant(id, g.end)
		}
	}
}

// Advance ends the grants that have expired by now with their tasks, and the tasks that have run for RunTime.
func (t *Tasks) Advance(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireGrants(now)
	for _, task := range t.tasks {
		if t.RunTime > 0 && task.State == Running && now.Sub(task.started) >= t.RunTime {
			t.end(task, Done, now)
		}
	}
}

// Usage is the measured resource usage of a running task.
type Usage struct {
	Task   string  `json:"task"`
	Worker string  `json:"worker"`
	Job    string  `json:"job"`
	GPUs   float64 `json:"gpus"`
	Cores  float64 `json:"cores"`
	// Memory is in gigabytes.
	Memory float64 `json:"memory"`
	// Age is the time since the measurement, in milliseconds.
	Age int64 `json:"age"`
}

// JobUsage holds the cores and memory, in gigabytes, that each task of a job uses.
type JobUsage struct {
	Job    string  `json:"job"`
	Cores  float64 `json:"cores"`
	Memory float64 `json:"memory"`
}

// SetJobUsage sets the usage to report for each running task of a job.
func (t *Tasks) SetJobUsage(u JobUsage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.useByJob[u.Job] = u
}

// Usage returns the usage of the running tasks.
func (t *Tasks) Usage() []Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Usage{}
	for _, task := range t.tasks {
		if task.State == Running {
			use := t.useByJob[task.Job]
			out = append(out, Usage{
				Task: task.ID, Worker: task.Worker, Job: task.Job, GPUs: float64(task.GPUs) * task.Share,
				Cores: use.Cores, Memory: use.Memory,
			})
		}
	}
	return out
}
