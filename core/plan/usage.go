package plan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"wagtailhoist/core/model"
)

const (
	// UsageSettle is how long a task has to have run when its usage was measured before the observed peak replaces
	// the declaration. Programs reach their working memory within minutes of their start.
	UsageSettle = 5 * time.Minute
	// UsageStale is the age from which a measurement says nothing about the present, so that the declaration counts again.
	UsageStale = 2 * time.Minute
	// usageGap is the least time between two measurements of a task; a service that answers from a cache repeats them.
	usageGap = 500 * time.Millisecond
	// usageMargin is what is counted above an observed peak, as a part of it.
	usageMargin = 0.25
	// usageMost is how many times the capacity of its worker a task may report; more is a wrong value.
	usageMost = 4
	// sizeHistory is the number of runs whose peaks are kept for each class, and sizeEnough the number from which they count.
	sizeHistory, sizeEnough = 8, 3
)

// Report is one measurement of a task by the platform.
type Report struct {
	Job    model.JobID    `cbor:"1,keyasint" json:"job"`
	Worker model.WorkerID `cbor:"2,keyasint" json:"worker"`
	// Task is the index of the task in its job.
	Task   int     `cbor:"3,keyasint" json:"task"`
	Cores  float64 `cbor:"4,keyasint" json:"cores"`
	Memory float64 `cbor:"5,keyasint" json:"memory"`
	// Measured is when the usage was measured; reports arrive later.
	Measured time.Time `cbor:"6,keyasint" json:"measured"`
}

// TaskUsage is what is known of the usage of one task; a TaskUsage in a Job is never changed in place.
type TaskUsage struct {
	Worker model.WorkerID `cbor:"1,keyasint" json:"worker"`
	// Last is the last measurement, and Confirmed the smaller of the last two, so that one wrong value has no effect.
	Last      Amount `cbor:"2,keyasint" json:"last"`
	Confirmed Amount `cbor:"3,keyasint" json:"steady"`
	// Peak is the largest Confirmed of the run.
	Peak    Amount    `cbor:"4,keyasint" json:"peak"`
	At      time.Time `cbor:"5,keyasint" json:"at"`
	Reports int       `cbor:"6,keyasint" json:"reports"`
}

// UsageHistory is the history of the peaks of one class of jobs of a team, each that of the largest task of a run.
type UsageHistory struct {
	Peaks []Amount `cbor:"1,keyasint" json:"peaks"`
	// Each is the median for each resource with the margin.
	Each Amount `cbor:"2,keyasint" json:"each"`
}

// Size is the declared and the observed size of the tasks of a job.
type Size struct {
	Declared Amount `cbor:"1,keyasint" json:"declared"`
	// Observed is the peak of the largest task; zero if nothing was reported.
	Observed Amount `cbor:"2,keyasint" json:"observed"`
	// Effective is what counts for the worker of the largest task, or for the next placement.
	Effective Amount `cbor:"3,keyasint" json:"counted"`
	Settled   bool   `cbor:"4,keyasint,omitempty" json:"settled,omitempty"`
}

// Declared returns the size of each task as it was submitted; Spec may hold an observed one.
func (j *Job) Declared() Amount {
	if j.SubmittedSize != nil {
		return *j.SubmittedSize
	}
	return PerTask(j.Spec.Shape)
}

// Size returns the sizes of a job.
func (j *Job) Size() Size {
	out := Size{Declared: j.Declared(), Observed: j.peak().Max(j.PeakUsage), Effective: PerTask(j.Spec.Shape)}
	most := 0
	for _, s := range j.Slots {
		if c := charge(j, s); s.Tasks > 0 && c.Memory/s.Tasks >= most {
			most = c.Memory / s.Tasks
			out.Effective = Amount{c.GPUs / s.Tasks, c.Cores / s.Tasks, most}
		}
	}
	out.Settled = len(j.Observed) > 0 && !slices.ContainsFunc(j.Observed, func(u Usage) bool { return !u.Settled })
	return out
}

// peak returns the peak of the largest task of the present run.
func (j *Job) peak() Amount {
	var most Amount
	for _, t := range j.Tasks {
		most = most.Max(t.Peak)
	}
	return most
}

// padded returns a with the margin, rounded up.
func padded(a Amount) Amount {
	pad := func(n int) int { return int(math.Ceil(float64(n) * (1 + usageMargin))) }
	return Amount{GPUs: a.GPUs, Cores: pad(a.Cores), Memory: pad(a.Memory)}
}

// sane returns the amount of a report, if its values are possible on the worker.
func (r Report) sane(w model.Worker) (Amount, bool) {
	ok := func(v float64, room int) bool { return v >= 0 && v <= usageMost*float64(room) }
	if !ok(r.Cores, w.Cores) || !ok(r.Memory, w.Memory) || r.Cores+r.Memory == 0 {
		return Amount{}, false
	}
	// A task can't use more cores than its worker has, whatever the rounding of the platform says.
	return Amount{Cores: min(int(math.Ceil(r.Cores)), w.Cores), Memory: int(math.Ceil(r.Memory))}, true
}

// report takes the measurements of one interval. Reports of tasks that are not where they say, wrong values, and
// measurements that are old, from the future or repeated are left out.
func (s *State) report(now time.Time, reports []Report) {
	byJob := map[model.JobID][]Report{}
	for _, r := range reports {
		byJob[r.Job] = append(byJob[r.Job], r)
	}
	for _, id := range slices.Sorted(maps.Keys(s.Jobs)) {
		j := s.Jobs[id]
		if !j.placed() || (len(byJob[id]) == 0 && len(j.Tasks) == 0) {
			continue
		}
		tasks := maps.Clone(j.Tasks)
		for _, r := range byJob[id] {
			tasks = s.measure(now, j, tasks, r)
		}
		s.observe(now, j, tasks)
	}
}

// measure adds a report to the tasks of a job.
func (s *State) measure(now time.Time, j *Job, tasks map[int]TaskUsage, r Report) map[int]TaskUsage {
	here := slices.ContainsFunc(j.Slots, func(sl Slot) bool { return sl.Worker == r.Worker })
	a, ok := r.sane(s.Workers[r.Worker].Worker)
	old := tasks[r.Task]
	fresh := r.Measured.After(j.Started) && !r.Measured.After(now.Add(usageGap)) && now.Sub(r.Measured) < UsageStale
	if !here || !ok || !fresh || r.Task < 0 || r.Task >= j.Spec.Shape.Tasks || r.Measured.Sub(old.At) < usageGap {
		return tasks
	}
	next := TaskUsage{Worker: r.Worker, Last: a, Peak: old.Peak, At: r.Measured, Reports: old.Reports + 1}
	if old.Reports > 0 {
		next.Confirmed = a.smaller(old.Last)
		next.Peak = next.Peak.Max(next.Confirmed)
	}
	if tasks == nil {
		tasks = map[int]TaskUsage{}
	}
	tasks[r.Task] = next
	return tasks
}

// observe works out what counts for each worker of a job. A job is settled as a whole, when every task is.
func (s *State) observe(now time.Time, j *Job, tasks map[int]TaskUsage) {
	usage := s.usage(now, j, tasks)
	if slices.Equal(usage, j.Observed) {
		c := *j
		c.Tasks = tasks
		s.ready(now).swap(j, &c)
		s.Jobs[c.Spec.ID] = &c
		return
	}
	s.change(now, j, func(c *Job) { c.Tasks, c.Observed = tasks, usage })
	s.ready(now).loose = true
}

// swap replaces a placed job by a copy that counts the same everywhere, as most reports leave it. Summing up its workers
// anew would cost more than the rest of a report.
func (x *index) swap(old, next *Job) {
	for _, sl := range old.Slots {
		i, ok := x.byID[sl.Worker]
		if !ok {
			continue
		}
		uses := x.nodes[i].uses
		for k := range uses {
			if uses[k].job == old {
				uses[k].job = next
			}
		}
	}
	if x.doomed[old.Spec.ID] != nil {
		x.doomed[old.Spec.ID] = next
	}
	if x.moving[old.Spec.ID] != nil {
		x.moving[old.Spec.ID] = next
	}
}

// usage returns what counts for each worker of a job.
func (s *State) usage(now time.Time, j *Job, tasks map[int]TaskUsage) []Usage {
	settled := len(tasks) == j.Spec.Shape.Tasks
	for _, t := range tasks {
		settled = settled && t.Reports > 1 && t.At.Sub(j.Started) >= UsageSettle && now.Sub(t.At) < UsageStale
	}
	var usage []Usage
	each := PerTask(j.Spec.Shape)
	for _, sl := range j.Slots {
		u := Usage{Worker: sl.Worker, Settled: settled}
		seen := 0
		for _, i := range slices.Sorted(maps.Keys(tasks)) {
			if t := tasks[i]; t.Worker == sl.Worker && seen < sl.Tasks {
				seen++
				u.Amount = u.Amount.Plus(counted(t.Peak, each, settled, Capacity(s.Workers[sl.Worker].Worker)))
			}
		}
		u.Amount = u.Amount.Plus(each.Times(sl.Tasks - seen))
		u.Amount.GPUs = sl.GPUs
		usage = append(usage, u)
	}
	return usage
}

// Resume gives a job that another owner has placed the peak that was observed of its largest task. The peak counts at
// once; whether it is settled is for the next reports to say.
func (s *State) Resume(now time.Time, j *Job, peak Amount) {
	j.Tasks = map[int]TaskUsage{}
	for _, sl := range j.Slots {
		for range sl.Tasks {
			j.Tasks[len(j.Tasks)] = TaskUsage{Worker: sl.Worker, Peak: peak}
		}
	}
	j.Observed = s.usage(now, j, j.Tasks)
}

// counted returns what counts for a task: until it is settled the larger of size and peak, afterwards the peak with a
// margin. The margin alone never takes it above its size or its worker.
func counted(peak, size Amount, settled bool, room Amount) Amount {
	if !settled {
		return peak.Max(size)
	}
	return padded(peak).smaller(room.smaller(size.Max(peak))).Max(peak)
}

// memoryOn returns the memory that a job has on a worker by its last measurements. The declaration counts for tasks
// that have none, and as long as a task has not run for UsageSettle.
func (j *Job) memoryOn(s Slot) int {
	declared, sum, seen := j.Declared().Memory, 0, 0
	for _, t := range j.Tasks {
		if t.Worker != s.Worker || t.Reports < 2 || seen == s.Tasks {
			continue
		}
		seen++
		if t.At.Sub(j.Started) < UsageSettle {
			sum += max(declared, t.Confirmed.Memory)
		} else {
			sum += t.Confirmed.Memory
		}
	}
	return sum + (s.Tasks-seen)*declared
}

// Excess returns the memory in gigabytes by which all tasks of a job together exceed their declarations.
func (j *Job) Excess() int {
	sum, declared := 0, j.Declared().Memory
	for _, t := range j.Tasks {
		sum += max(t.Confirmed.Memory-declared, 0)
	}
	return sum
}

// relieve stops work that exceeds its declared memory on workers whose memory doesn't hold what runs there, the
// largest excess first. Work within its declaration is never stopped for it.
func (p *pass) relieve() {
	for i := range p.nodes {
		n := &p.nodes[i]
		sum := 0
		var over []*Job
		for _, u := range n.uses {
			if p.leaving(u.job) {
				continue
			}
			sum += on(u.job, n.id)
			if u.job.Excess() > 0 {
				over = append(over, u.job)
			}
		}
		if sum <= n.cap.Memory || len(over) == 0 {
			continue
		}
		slices.SortFunc(over, func(a, b *Job) int {
			return cmp.Or(cmp.Compare(b.Excess(), a.Excess()), bySequence(b, a))
		})
		for _, j := range over {
			if sum <= n.cap.Memory {
				break
			}
			sum -= on(j, n.id)
			p.evict(j)
		}
	}
}

// on returns the memory of a job on a worker.
func on(j *Job, id model.WorkerID) int {
	sum := 0
	for _, s := range j.Slots {
		if s.Worker == id {
			sum += j.memoryOn(s)
		}
	}
	return sum
}

// evict stops a job for its memory.
func (p *pass) evict(j *Job) {
	before := len(p.d.Actions)
	p.stop(j, "")
	if len(p.d.Actions) > before {
		p.d.Actions[before].Reason = Reason{Code: MemoryExceeded, Need: j.peak().Memory, Have: j.Declared().Memory}
	}
}

// Resize makes the next placement of a job use the peak of its runs where that is larger than its size. A job under a
// guarantee that doesn't cover the peak keeps its size, unless it was stopped for its memory.
func (s *State) Resize(j *Job) {
	j.PeakUsage = j.peak().Max(j.PeakUsage)
	if j.PeakUsage == (Amount{}) {
		return
	}
	// Without this limit, a job that fits a whole worker would be refused for the margin.
	room := j.PeakUsage
	for _, h := range s.Workers {
		room = room.Max(Capacity(h.Worker))
	}
	c := *j
	c.grow(padded(j.PeakUsage).smaller(room))
	if j.LastStopReason.Code == MemoryExceeded || s.covers(&c) {
		*j = c
	}
}

// covers reports whether the guarantee of a job, if it names one, holds its shape.
func (s *State) covers(j *Job) bool {
	if j.Spec.Guarantee == "" {
		return true
	}
	a := s.anchor(j.Spec.Team, j.Spec.Guarantee)
	return a != nil && covered(j.Spec.Shape, a.Guarantee.Shape)
}

// grow raises the size of the tasks of a job to each.
func (j *Job) grow(each Amount) {
	was := j.Declared()
	if j.Spec.Shape.Cores >= each.Cores && j.Spec.Shape.Memory >= each.Memory {
		return
	}
	j.SubmittedSize = &was
	j.Spec.Shape.Cores = max(j.Spec.Shape.Cores, each.Cores)
	j.Spec.Shape.Memory = max(j.Spec.Shape.Memory, each.Memory)
}

// expect raises the size of a job that has not run yet to what its team and class have used, unless it could not run then.
func (s *State) expect(now time.Time, j *Job) {
	sizes, known := s.Sizes[pastKey(j.Spec)]
	if !known || len(sizes.Peaks) < sizeEnough || !valid(j.Spec.Shape) {
		return
	}
	c := *j
	c.grow(sizes.Each)
	if !s.covers(&c) {
		return
	}
	if v := (&view{index: *s.ready(now), st: s, now: now}); v.most(c.Spec.Shape) < c.Spec.Shape.Tasks {
		return
	}
	*j = c
}

// learnSize adds the peak of a run to the history of its team and class.
func (s *State) learnSize(j *Job) {
	peak := j.peak()
	if peak == (Amount{}) {
		return
	}
	h := s.Sizes[pastKey(j.Spec)]
	h.Peaks = append(slices.Clone(h.Peaks), peak)
	h.Peaks = h.Peaks[max(len(h.Peaks)-sizeHistory, 0):]
	median := func(of func(Amount) int) int {
		v := make([]int, len(h.Peaks))
		for i, a := range h.Peaks {
			v[i] = of(a)
		}
		slices.Sort(v)
		return v[len(v)/2]
	}
	h.Each = padded(Amount{Cores: median(func(a Amount) int { return a.Cores }), Memory: median(func(a Amount) int { return a.Memory })})
	if s.Sizes == nil {
		s.Sizes = map[string]UsageHistory{}
	}
	s.Sizes[pastKey(j.Spec)] = h
}
