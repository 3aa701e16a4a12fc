package cell

import "slices"

// performCall carries out a call at the simulated store or worker service.
func (sim *simulation) performCall(p *process, e Effect) Answer {
	switch e := e.(type) {
	case GrantLease:
		sim.version++
		sim.leases[sim.version] = sim.now.Add(e.TTL)
		return Answer{ID: sim.version}
	case RenewLease:
		if _, ok := sim.leases[e.Lease]; !ok {
			return Answer{Code: LeaseEnded}
		}
		sim.leases[e.Lease] = sim.now.Add(p.cell.OwnerLeaseTTL)
	case RevokeLease:
		sim.endLease(e.Lease)
	case WriteOwner:
		if _, ok := sim.leases[e.Lease]; !ok {
			return Answer{Code: LeaseEnded}
		}
		return sim.putKey("owner", []byte(p.name), 0, e.Lease)
	case LoadPlan:
		base, log := sim.keys["base"], sim.keys["log"]
		return Answer{Stored: Stored{base.data, base.version, log.data, log.version}}
	case WriteBase:
		return sim.putKey("base", e.Value, e.Version, 0)
	case WriteLog:
		return sim.putKey("log", e.Value, e.Version, 0)
	default:
		return sim.performAtService(e)
	}
	return Answer{}
}

func (sim *simulation) putKey(key string, data []byte, version, lease uint64) Answer {
	if sim.keys[key].version != version {
		return Answer{Code: Conflict}
	}
	sim.version++
	sim.keys[key] = storedValue{data, sim.version, lease}
	return Answer{Version: sim.version}
}

// performAtService carries out a call at the simulated worker service.
func (sim *simulation) performAtService(e Effect) Answer {
	if list, ok := e.(ListTasks); ok {
		_ = list
		var out []Task
		for _, t := range sim.tasks {
			out = append(out, *t)
		}
		return Answer{Tasks: out}
	}
	epoch := commandOf(e).Epoch
	if epoch < sim.highestEpoch {
		sim.fenced++
		return Answer{Code: Fenced}
	}
	sim.highestEpoch = epoch
	switch e := e.(type) {
	case GrantTasks:
		sim.version++
		sim.grants[sim.version] = sim.now.Add(e.TTL)
		return Answer{ID: sim.version}
	case RenewTasks:
		if _, ok := sim.grants[e.Grant]; !ok {
			return Answer{Code: GrantEnded}
		}
		sim.grants[e.Grant] = sim.now.Add(Defaults("", "").GrantTTL)
	case RevokeTasks:
		if _, ok := sim.grants[e.Grant]; !ok {
			return Answer{Code: GrantEnded}
		}
		sim.endGrant(e.Grant)
	case PrepareTask:
		return sim.prepareTask(e.Task)
	case ReleaseTask:
		t := sim.tasks[e.Task]
		if t.State == TaskPrepared {
			t.State = TaskRunning
			sim.startCounts[t.ID]++
		}
		return Answer{Task: *t}
	case SaveTask:
		return Answer{Task: *sim.tasks[e.Task]}
	}
	return Answer{}
}

func (sim *simulation) prepareTask(t Task) Answer {
	if _, ok := sim.grants[t.Grant]; !ok {
		return Answer{Code: GrantEnded}
	}
	if old := sim.tasks[t.ID]; old != nil {
		if !old.live() {
			return Answer{Code: Refused}
		}
		return Answer{Task: *old}
	}
	used := t.GPUs
	for _, other := range sim.tasks {
		if other.Worker == t.Worker && other.live() {
			used += other.GPUs
		}
	}
	if !sim.workers[t.Worker] || used > gpusPerWorker {
		return Answer{Code: Refused}
	}
	t.State = TaskPrepared
	sim.tasks[t.ID] = &t
	return Answer{Task: t}
}

// loseWorkers marks the given workers as lost, and all others as available.
func (sim *simulation) loseWorkers(lostWorkers []string) {
	for id := range sim.workers {
		sim.workers[id] = !slices.Contains(lostWorkers, string(id))
	}
	for _, t := range sim.tasks {
		if t.live() && !sim.workers[t.Worker] {
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
