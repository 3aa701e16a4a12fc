package cell

import (
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"wagtailhoist/core/model"
)

const (
	gpusPerWorker = 8
	// maxDelay is the longest one-way delay of a call; a call without an answer is given up after callTimeout.
	maxDelay    = 40 * time.Millisecond
	callTimeout = 300 * time.Millisecond
)

// simulation runs processes with one Cell each against a store and a worker service in memory, in virtual time.
type simulation struct {
	now        time.Time
	queue      events
	lastSerial int
	procs      []*process
	workers    map[model.WorkerID]bool
	// draw returns a random number below n. fault returns the outcome of a call.
	draw  func(n int) int
	fault func(e Effect) callOutcome
	// storeDown says that no process reaches the store.
	storeDown bool

	version uint64
	keys    map[string]storedValue
	// leases and grants hold the time at which each of them ends.
	leases map[uint64]time.Time
	grants map[uint64]time.Time
	// highestEpoch is the highest epoch that the worker service has seen.
	highestEpoch model.Epoch
	tasks        map[string]*Task
	startCounts  map[string]int
	// partialSince holds since when a gang has had some but not all of its tasks running.
	partialSince map[string]time.Time
	// violations describes each invariant that was found violated.
	violations        []string
	replies           map[uint64]Reply
	lastRequestNumber uint64
	// fenced counts the commands that the worker service has refused because of their epoch.
	fenced int
}

type storedValue struct {
	data    []byte
	version uint64
	lease   uint64
}

// callOutcome is what happens to a call on its way.
type callOutcome int

const (
	delivered callOutcome = iota
	requestLost
	answerLost
	duplicated
)

type process struct {
	cell   *Cell
	name   model.NodeID
	paused bool
	dead   bool
	// queuedCalls holds what arrived during a pause, to be run when the process resumes.
	queuedCalls []func()
	// storeUnreachable says that this process can't reach the store.
	storeUnreachable bool
	// watchesLost says that the process gets nothing from its watches.
	watchesLost bool
	// alterEffect, if not nil, replaces an effect of the process before it is carried out.
	alterEffect func(Effect) Effect
}

type timedEvent struct {
	at     time.Time
	serial int
	fn     func()
}

type events []timedEvent

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(timedEvent)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSimulation(draw func(int) int) *simulation {
	sim := &simulation{
		now: time.Unix(1000, 0), draw: draw, fault: func(Effect) callOutcome { return delivered },
		workers: map[model.WorkerID]bool{"w1": true, "w2": true, "w3": true, "w4": true},
		keys:    map[string]storedValue{}, leases: map[uint64]time.Time{}, grants: map[uint64]time.Time{},
		tasks: map[string]*Task{}, startCounts: map[string]int{}, partialSince: map[string]time.Time{}, replies: map[uint64]Reply{},
	}
	return sim
}

func (sim *simulation) schedule(d time.Duration, fn func()) {
	sim.lastSerial++
	heap.Push(&sim.queue, timedEvent{sim.now.Add(d), sim.lastSerial, fn})
}

// startProcess adds a process, whose ticks begin within 200 ms.
func (sim *simulation) startProcess() *process {
	name := model.NodeID(fmt.Sprintf("e%d", len(sim.procs)+1))
	p := &process{cell: New(Defaults("c", name), sim.now), name: name}
	sim.procs = append(sim.procs, p)
	var tick func()
	tick = func() {
		if p.dead {
			return
		}
		sim.runUnlessPaused(p, func() {
			switch {
			case sim.storeDown || p.storeUnreachable:
				sim.stepProcess(p, StoreUnanswered{})
			case !p.watchesLost:
				sim.stepProcess(p, OwnerKeySeen{Exists: sim.keys["owner"].version != 0, Owner: model.NodeID(sim.keys["owner"].data)})
				sim.stepProcess(p, LogVersionSeen{Version: sim.keys["log"].version})
			}
			sim.stepProcess(p, Tick{})
		})
		sim.schedule(p.cell.ControlInterval, tick)
	}
	sim.schedule(time.Duration(sim.draw(200))*time.Millisecond, tick)
	return p
}

// runUnlessPaused runs fn for a process; it queues fn while the process is paused, and skips it if the process is dead.
func (sim *simulation) runUnlessPaused(p *process, fn func()) {
	switch {
	case p.dead:
	case p.paused:
		p.queuedCalls = append(p.queuedCalls, fn)
	default:
		fn()
	}
}

func (sim *simulation) resume(p *process) {
	p.paused = false
	queuedCalls := p.queuedCalls
	p.queuedCalls = nil
	for _, fn := range queuedCalls {
		sim.runUnlessPaused(p, fn)
	}
}

func (sim *simulation) stepProcess(p *process, e Event) {
	for _, effect := range p.cell.Step(sim.now, e) {
		if p.alterEffect != nil {
			effect = p.alterEffect(effect)
		}
		switch effect := effect.(type) {
		case Reply:
			sim.replies[effect.Number] = effect
		case Decide:
			sim.stepProcess(p, DecisionMade{Actions: sim.firstFit(p.cell.Plan())})
		default:
			sim.sendCall(p, effect)
		}
	}
}

// sendCall sends the call of an effect after a short time, during which the process may be paused.
func (sim *simulation) sendCall(p *process, e Effect) {
	sim.schedule(time.Millisecond, func() {
		sim.runUnlessPaused(p, func() {
			sent := sim.now
			back := func(d time.Duration, a Answer) {
				a.ForEffect, a.Sent = e, sent
				sim.schedule(d, func() { sim.runUnlessPaused(p, func() { sim.stepProcess(p, a) }) })
			}
			if by := deadline(e); !by.IsZero() && sent.After(by) {
				back(0, Answer{Code: Overdue})
				return
			}
			delay := func() time.Duration {
				return time.Duration(1+sim.draw(int(maxDelay/time.Millisecond))) * time.Millisecond
			}
			fate := sim.fault(e)
			if toStore(e) && (sim.storeDown || p.storeUnreachable) {
				fate = requestLost
			}
			switch fate {
			case requestLost:
				back(callTimeout, Answer{Code: OutcomeUnknown})
			case answerLost:
				sim.schedule(delay(), func() { sim.performCall(p, e) })
				back(callTimeout, Answer{Code: OutcomeUnknown})
			case duplicated:
				sim.schedule(delay(), func() { sim.performCall(p, e) })
				fallthrough
			default:
				sim.schedule(delay(), func() { back(delay(), sim.performCall(p, e)) })
			}
		})
	})
}

func deadline(e Effect) time.Time {
	switch e := e.(type) {
	case RenewTasks:
		return e.Deadline
	case ReleaseTask:
		return e.Deadline
	}
	return time.Time{}
}

// runFor runs the simulation for the given virtual time.
func (sim *simulation) runFor(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		next := heap.Pop(&sim.queue).(timedEvent)
		sim.advanceClock(next.at)
		next.fn()
		sim.checkInvariants()
	}
	sim.advanceClock(end)
}

// advanceClock moves the clock to the given time. It stops at the end of each lease and grant, to check the invariants
// right before it expires.
func (sim *simulation) advanceClock(to time.Time) {
	for {
		first := to
		for _, ends := range []map[uint64]time.Time{sim.leases, sim.grants} {
			for _, end := range ends {
				if end.Before(first) {
					first = end
				}
			}
		}
		if first.After(sim.now) {
			sim.now = first
		}
		sim.checkInvariants()
		sim.expire(sim.now)
		sim.checkInvariants()
		if !first.Before(to) {
			return
		}
	}
}

// expire ends the leases and grants whose time has come.
func (sim *simulation) expire(now time.Time) {
	for id, end := range sim.leases {
		if !now.Before(end) {
			sim.endLease(id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(sim.grants)) {
		if end := sim.grants[id]; !now.Before(end) {
			sim.endGrant(id)
		}
	}
}

func (sim *simulation) endLease(id uint64) {
	delete(sim.leases, id)
	for key, v := range sim.keys {
		if v.lease == id {
			delete(sim.keys, key)
		}
	}
}

func (sim *simulation) endGrant(id uint64) {
	delete(sim.grants, id)
	for _, t := range sim.tasks {
		if t.Grant == id && t.live() {
			t.State = "expired"
		}
	}
}

// checkInvariants records a violation if two placements of a job run at the same time, if a gang runs only partly for too
// long, or if a task has started more than once.
func (sim *simulation) checkInvariants() {
	// The counts of a gang are those of all its tasks, the running and the done ones.
	gangs := map[string][3]int{}
	for _, t := range sim.tasks {
		name := t.ID[:strings.LastIndex(t.ID, ".")]
		g := gangs[name]
		g[0]++
		if t.State == TaskRunning {
			g[1]++
		}
		if t.State == TaskDone {
			g[2]++
		}
		gangs[name] = g
	}
	running := map[string]string{}
	for name, g := range gangs {
		job := name[:strings.LastIndex(name, ".")]
		if g[1] > 0 && running[job] != "" {
			sim.violations = append(sim.violations, fmt.Sprintf("%s and %s run at a time", name, running[job]))
		}
		if g[1] > 0 {
			running[job] = name
		}
		if g[1] == 0 || g[1]+g[2] == gangSize(job) {
			delete(sim.partialSince, name)
			continue
		}
		if sim.partialSince[name].IsZero() {
			sim.partialSince[name] = sim.now
		}
		s := Defaults("c", "")
		if d := sim.now.Sub(sim.partialSince[name]); d > s.GrantTTL+s.ControlInterval {
			sim.violations = append(sim.violations, fmt.Sprintf("%s runs without the rest for %s", name, d))
		}
	}
	for id, n := range sim.startCounts {
		if n > 1 {
			sim.violations = append(sim.violations, fmt.Sprintf("%s started %d times", id, n))
		}
	}
}

// gangSize returns the number of tasks of a job, which is the last digit of its name.
func gangSize(job string) int { return int(job[len(job)-1] - '0') }

// submitJob submits a job at a process and returns the number of the request.
func (sim *simulation) submitJob(p *process, id model.JobID) uint64 {
	sim.lastRequestNumber++
	spec := model.JobSpec{ID: id, Shape: model.Shape{Tasks: gangSize(string(id)), GPUs: 4}}
	sim.stepProcess(p, ChangeRequest{
		Number: sim.lastRequestNumber, Changes: []Change{{Kind: JobSubmitted, Spec: &spec, At: sim.now.UnixMilli()}},
	})
	return sim.lastRequestNumber
}

func (sim *simulation) cancelJob(p *process, id model.JobID) {
	sim.lastRequestNumber++
	sim.stepProcess(p, ChangeRequest{Number: sim.lastRequestNumber, Changes: []Change{{Kind: JobsCancelled, Jobs: []model.JobID{id}}}})
}

// isDurable reports whether the changes of a request were acknowledged as durable.
func (sim *simulation) isDurable(number uint64) bool {
	r, ok := sim.replies[number]
	return ok && !r.Unstored && !r.Refused && !r.PlanFull
}

func (sim *simulation) finishTasks(id model.JobID) {
	for _, t := range sim.tasks {
		if t.Job == id && t.State == TaskRunning {
			t.State = TaskDone
		}
	}
}

// firstFit places the waiting jobs in the order of their names on the first workers with enough free GPUs.
func (sim *simulation) firstFit(p *Plan) []Action {
	free := map[model.WorkerID]int{}
	for id, up := range sim.workers {
		if up {
			free[id] = gpusPerWorker
		}
	}
	for _, j := range p.Jobs {
		for _, worker := range j.Workers {
			free[worker] -= j.Spec.Shape.GPUs
		}
	}
	var out []Action
	for _, id := range slices.Sorted(maps.Keys(p.Jobs)) {
		j := p.Jobs[id]
		if j.Phase != Waiting {
			continue
		}
		var chosen []model.WorkerID
		remaining := maps.Clone(free)
		for _, worker := range slices.Sorted(maps.Keys(remaining)) {
			for remaining[worker] >= j.Spec.Shape.GPUs && len(chosen) < j.Spec.Shape.Tasks {
				remaining[worker] -= j.Spec.Shape.GPUs
				chosen = append(chosen, worker)
			}
		}
		if len(chosen) == j.Spec.Shape.Tasks {
			free = remaining
			out = append(out, Action{Job: id, Workers: chosen})
		}
	}
	return out
}
