package cell

import "slices"

// perform carries out a call at the store or the worker service.
func (w *world) perform(p *proc, e Effect) Answer {
	switch e := e.(type) {
	case GrantLease:
		w.version++
		w.leases[w.version] = w.now.Add(e.TTL)
		return Answer{ID: w.version}
	case RenewLease:
		if _, ok := w.leases[e.Lease]; !ok {
			return Answer{Code: LeaseEnded}
		}
		w.leases[e.Lease] = w.now.Add(p.cell.OwnerTTL)
	case RevokeLease:
		w.endLease(e.Lease)
	case WriteOwner:
		if _, ok := w.leases[e.Lease]; !ok {
			return Answer{Code: LeaseEnded}
		}
		return w.put("owner", []byte(p.name), 0, e.Lease)
	case LoadPlan:
		base, log := w.keys["base"], w.keys["log"]
		return Answer{Stored: Stored{base.data, base.version, log.data, log.version}}
	case WriteBase:
		return w.put("base", e.Value, e.Version, 0)
	case WriteLog:
		return w.put("log", e.Value, e.Version, 0)
	default:
		return w.work(e)
	}
	return Answer{}
}

func (w *world) put(key string, data []byte, version, lease uint64) Answer {
	if w.keys[key].version != version {
		return Answer{Code: Conflict}
	}
	w.version++
	w.keys[key] = value{data, w.version, lease}
	return Answer{Version: w.version}
}

// work carries out a call at the worker service.
func (w *world) work(e Effect) Answer {
	if list, ok := e.(ListTasks); ok {
		_ = list
		var out []Task
		for _, t := range w.tasks {
			out = append(out, *t)
		}
		return Answer{Tasks: out}
	}
	epoch := commandOf(e).Epoch
	if epoch < w.fence {
		w.fenced++
		return Answer{Code: Fenced}
	}
	w.fence = epoch
	switch e := e.(type) {
	case GrantTasks:
		w.version++
		w.grants[w.version] = w.now.Add(e.TTL)
		return Answer{ID: w.version}
	case RenewTasks:
		if _, ok := w.grants[e.Grant]; !ok {
			return Answer{Code: GrantEnded}
		}
		w.grants[e.Grant] = w.now.Add(Defaults("", "").GrantTTL)
	case RevokeTasks:
		if _, ok := w.grants[e.Grant]; !ok {
			return Answer{Code: GrantEnded}
		}
		w.endGrant(e.Grant)
	case PrepareTask:
		return w.prepare(e.Task)
	case ReleaseTask:
		t := w.tasks[e.Task]
		if t.State == TaskPrepared {
			t.State = TaskRunning
			w.starts[t.ID]++
		}
		return Answer{Task: *t}
	case SaveTask:
		return Answer{Task: *w.tasks[e.Task]}
	}
	return Answer{}
}

func (w *world) prepare(t Task) Answer {
	if _, ok := w.grants[t.Grant]; !ok {
		return Answer{Code: GrantEnded}
	}
	if old := w.tasks[t.ID]; old != nil {
		if !old.live() {
			return Answer{Code: Refused}
		}
		return Answer{Task: *old}
	}
	used := t.GPUs
	for _, other := range w.tasks {
		if other.Worker == t.Worker && other.live() {
			used += other.GPUs
		}
	}
	if !w.workers[t.Worker] || used > gpus {
		return Answer{Code: Refused}
	}
	t.State = TaskPrepared
	w.tasks[t.ID] = &t
	return Answer{Task: t}
}

func (w *world) lose(p []string) {
	for id := range w.workers {
		w.workers[id] = !slices.Contains(p, string(id))
	}
	for _, t := range w.tasks {
		if t.live() && !w.workers[t.Worker] {
			t.State = TaskLost
		}
	}
}

func commandOf(e Effect) Command {
	switch e := e.(type) {
	case Fence:
		return e.Command
	case GrantTasks:
		return e.Command
	case RenewTasks:
		return e.Command
	case RevokeTasks:
		return e.Command
	case PrepareTask:
		return e.Command
	case ReleaseTask:
		return e.Command
	case SaveTask:
		return e.Command
	}
	return Command{}
}
