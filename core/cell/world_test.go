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
	gpus = 8
	// network is the longest one-way delay of a call, wait the time after which a call without answer is given up.
	network = 40 * time.Millisecond
	wait    = 300 * time.Millisecond
)

// world runs processes with a Cell each against a store and a worker service in memory, under virtual time.
type world struct {
	now     time.Time
	queue   events
	serial  int
	procs   []*proc
	workers map[model.WorkerID]bool
	// draw returns a number below n; fault says what becomes of a call.
	draw  func(n int) int
	fault func(e Effect) fate
	// down says that no process reaches the store.
	down bool

	version uint64
	keys    map[string]value
	leases  map[uint64]time.Time
	grants  map[uint64]time.Time
	fence   model.Epoch
	tasks   map[string]*Task
	starts  map[string]int
	partial map[string]time.Time
	broken  []string
	replies map[uint64]Reply
	number  uint64
	fenced  int
}

type value struct {
	data    []byte
	version uint64
	lease   uint64
}

// fate is what becomes of a call.
type fate int

const (
	fine fate = iota
	before
	lost
	twice
)

type proc struct {
	cell   *Cell
	name   model.NodeID
	paused bool
	dead   bool
	// kept holds what arrived during a pause.
	kept []func()
	// cut processes can't reach the store.
	cut bool
	// blind processes learn nothing from watches.
	blind bool
	// alter changes the effects of the process before they are carried out.
	alter func(Effect) Effect
}

type timed struct {
	at time.Time
	n  int
	fn func()
}

type events []timed

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(timed)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newWorld(draw func(int) int) *world {
	w := &world{
		now: time.Unix(1000, 0), draw: draw, fault: func(Effect) fate { return fine },
		workers: map[model.WorkerID]bool{"w1": true, "w2": true, "w3": true, "w4": true},
		keys:    map[string]value{}, leases: map[uint64]time.Time{}, grants: map[uint64]time.Time{},
		tasks: map[string]*Task{}, starts: map[string]int{}, partial: map[string]time.Time{}, replies: map[uint64]Reply{},
	}
	return w
}

func (w *world) after(d time.Duration, fn func()) {
	w.serial++
	heap.Push(&w.queue, timed{w.now.Add(d), w.serial, fn})
}

// start adds a process.
func (w *world) start() *proc {
	name := model.NodeID(fmt.Sprintf("e%d", len(w.procs)+1))
	p := &proc{cell: New(Defaults("c", name), w.now), name: name}
	w.procs = append(w.procs, p)
	var tick func()
	tick = func() {
		if p.dead {
			return
		}
		w.deliver(p, func() {
			switch {
			case w.down || p.cut:
				w.step(p, StoreMissed{})
			case !p.blind:
				w.step(p, OwnerSeen{Held: w.keys["owner"].version != 0, Owner: model.NodeID(w.keys["owner"].data)})
				w.step(p, PlanSeen{Version: w.keys["log"].version})
			}
			w.step(p, Tick{})
		})
		w.after(p.cell.Interval, tick)
	}
	w.after(time.Duration(w.draw(200))*time.Millisecond, tick)
	return p
}

func (w *world) deliver(p *proc, fn func()) {
	switch {
	case p.dead:
	case p.paused:
		p.kept = append(p.kept, fn)
	default:
		fn()
	}
}

func (w *world) resume(p *proc) {
	p.paused = false
	kept := p.kept
	p.kept = nil
	for _, fn := range kept {
		w.deliver(p, fn)
	}
}

func (w *world) step(p *proc, e Event) {
	for _, effect := range p.cell.Step(w.now, e) {
		if p.alter != nil {
			effect = p.alter(effect)
		}
		switch effect := effect.(type) {
		case Reply:
			w.replies[effect.Number] = effect
		case Decide:
			w.step(p, Decided{Actions: w.decide(p.cell.Plan())})
		default:
			w.call(p, effect)
		}
	}
}

// call sends an effect after a short time, in which the process may be paused.
func (w *world) call(p *proc, e Effect) {
	w.after(time.Millisecond, func() {
		w.deliver(p, func() {
			sent := w.now
			back := func(d time.Duration, a Answer) {
				a.To, a.Sent = e, sent
				w.after(d, func() { w.deliver(p, func() { w.step(p, a) }) })
			}
			if by := deadline(e); !by.IsZero() && sent.After(by) {
				back(0, Answer{Code: Overdue})
				return
			}
			delay := func() time.Duration { return time.Duration(1+w.draw(int(network/time.Millisecond))) * time.Millisecond }
			fate := w.fault(e)
			if toStore(e) && (w.down || p.cut) {
				fate = before
			}
			switch fate {
			case before:
				back(wait, Answer{Code: Unknown})
			case lost:
				w.after(delay(), func() { w.perform(p, e) })
				back(wait, Answer{Code: Unknown})
			case twice:
				w.after(delay(), func() { w.perform(p, e) })
				fallthrough
			default:
				w.after(delay(), func() { back(delay(), w.perform(p, e)) })
			}
		})
	})
}

func deadline(e Effect) time.Time {
	switch e := e.(type) {
	case RenewTasks:
		return e.By
	case ReleaseTask:
		return e.By
	}
	return time.Time{}
}

// run passes virtual time.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(timed)
		w.pass(next.at)
		next.fn()
		w.check()
	}
	w.pass(end)
}

// pass moves the clock, with a stop at the end of each lease and grant: a gang has to be checked right before.
func (w *world) pass(to time.Time) {
	for {
		first := to
		for _, ends := range []map[uint64]time.Time{w.leases, w.grants} {
			for _, end := range ends {
				if end.Before(first) {
					first = end
				}
			}
		}
		if first.After(w.now) {
			w.now = first
		}
		w.check()
		w.expire(w.now)
		w.check()
		if !first.Before(to) {
			return
		}
	}
}

// expire ends leases and grants, each at its own time.
func (w *world) expire(now time.Time) {
	for id, end := range w.leases {
		if !now.Before(end) {
			w.endLease(id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.grants)) {
		if end := w.grants[id]; !now.Before(end) {
			w.endGrant(id)
		}
	}
}

func (w *world) endLease(id uint64) {
	delete(w.leases, id)
	for key, v := range w.keys {
		if v.lease == id {
			delete(w.keys, key)
		}
	}
}

func (w *world) endGrant(id uint64) {
	delete(w.grants, id)
	for _, t := range w.tasks {
		if t.Grant == id && t.live() {
			t.State = "expired"
		}
	}
}

// check records how long each gang has had some but not all tasks running.
func (w *world) check() {
	gangs := map[string][3]int{}
	for _, t := range w.tasks {
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
			w.broken = append(w.broken, fmt.Sprintf("%s and %s run at a time", name, running[job]))
		}
		if g[1] > 0 {
			running[job] = name
		}
		if g[1] == 0 || g[1]+g[2] == size(job) {
			delete(w.partial, name)
			continue
		}
		if w.partial[name].IsZero() {
			w.partial[name] = w.now
		}
		s := Defaults("c", "")
		if d := w.now.Sub(w.partial[name]); d > s.GrantTTL+s.Interval {
			w.broken = append(w.broken, fmt.Sprintf("%s runs without the rest for %s", name, d))
		}
	}
	for id, n := range w.starts {
		if n > 1 {
			w.broken = append(w.broken, fmt.Sprintf("%s started %d times", id, n))
		}
	}
}

// size returns the number of tasks, which the name of a job ends with.
func size(job string) int { return int(job[len(job)-1] - '0') }

func (w *world) submit(p *proc, id model.JobID) uint64 {
	w.number++
	spec := model.JobSpec{ID: id, Shape: model.Shape{Tasks: size(string(id)), GPUs: 4}}
	w.step(p, Request{Number: w.number, Changes: []Change{{Kind: Submitted, Spec: &spec, At: w.now.UnixMilli()}}})
	return w.number
}

func (w *world) cancel(p *proc, id model.JobID) {
	w.number++
	w.step(p, Request{Number: w.number, Changes: []Change{{Kind: Cancelling, Jobs: []model.JobID{id}}}})
}

// stored reports whether a request was answered as durable.
func (w *world) stored(number uint64) bool {
	r, ok := w.replies[number]
	return ok && !r.Unstored && !r.Refused && !r.Full
}

func (w *world) finish(id model.JobID) {
	for _, t := range w.tasks {
		if t.Job == id && t.State == TaskRunning {
			t.State = TaskDone
		}
	}
}

// decide is first fit.
func (w *world) decide(p *Plan) []Action {
	free := map[model.WorkerID]int{}
	for id, up := range w.workers {
		if up {
			free[id] = gpus
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
		var at []model.WorkerID
		left := maps.Clone(free)
		for _, worker := range slices.Sorted(maps.Keys(left)) {
			for left[worker] >= j.Spec.Shape.GPUs && len(at) < j.Spec.Shape.Tasks {
				left[worker] -= j.Spec.Shape.GPUs
				at = append(at, worker)
			}
		}
		if len(at) == j.Spec.Shape.Tasks {
			free = left
			out = append(out, Action{Job: id, Workers: at})
		}
	}
	return out
}
