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
	// UsageSettleTime is how long after the start of a job the usage of a task must have been measured before the
	// observed peak replaces the declaration. Programs reach their working memory within minutes of their start.
	UsageSettleTime = 5 * time.Minute
	// UsageStaleAfter is the age from which a measurement is ignored and the declaration counts again.
	UsageStaleAfter = 2 * time.Minute
	// minReportGap is the shortest time between two measurements of a task. Measurements closer together are repeats
	// from a metrics service that answers from a cache.
	minReportGap = 500 * time.Millisecond
	// usageMargin is the safety margin added to an observed peak, as a fraction of the peak.
	usageMargin = 0.25
	// maxCapacityRatio limits the values that a task may report, as a multiple of the capacity of its worker; higher
	// values are ignored as wrong.
	maxCapacityRatio = 4
	// maxPeaks is the number of runs whose peaks are kept for each class, and minPeaks the number from which they are
	// used.
	maxPeaks, minPeaks = 8, 3
)

// Report is one measurement of a task by the platform.
type Report struct {
	Job    model.JobID    `cbor:"1,keyasint" json:"job"`
	Worker model.WorkerID `cbor:"2,keyasint" json:"worker"`
	// Task is the index of the task in its job.
	Task   int     `cbor:"3,keyasint" json:"task"`
	Cores  float64 `cbor:"4,keyasint" json:"cores"`
	Memory float64 `cbor:"5,keyasint" json:"memory"`
	// Measured is the time of the measurement, which is earlier than the arrival of the report.
	Measured time.Time `cbor:"6,keyasint" json:"measured"`
}

// TaskUsage is the observed usage of one task. A TaskUsage in a Job is never changed in place.
type TaskUsage struct {
	Worker model.WorkerID `cbor:"1,keyasint" json:"worker"`
	// Last is the last measurement. Confirmed is the smaller of the last two measurements, so that a single wrong value
	// has no effect.
	Last      Amount `cbor:"2,keyasint" json:"last"`
	Confirmed Amount `cbor:"3,keyasint" json:"steady"`
	// Peak is the largest value of Confirmed in this run.
	Peak    Amount    `cbor:"4,keyasint" json:"peak"`
	At      time.Time `cbor:"5,keyasint" json:"at"`
	Reports int       `cbor:"6,keyasint" json:"reports"`
}

// UsageHistory holds the peaks of the latest runs of one class of jobs of a team. The peak of a run is that of its
// largest task.
type UsageHistory struct {
	Peaks []Amount `cbor:"1,keyasint" json:"peaks"`
	// Each is the median of Peaks, for each resource, plus the margin.
	Each Amount `cbor:"2,keyasint" json:"each"`
}

// Size holds the declared and the observed size of the tasks of a job.
type Size struct {
	Declared Amount `cbor:"1,keyasint" json:"declared"`
	// Observed is the peak of the largest task, or zero if no usage was reported.
	Observed Amount `cbor:"2,keyasint" json:"observed"`
	// Effective is the size charged for the largest task, or the size that the next placement uses.
	Effective Amount `cbor:"3,keyasint" json:"counted"`
	Settled   bool   `cbor:"4,keyasint,omitempty" json:"settled,omitempty"`
}

// Declared returns the size of each task as submitted. Spec may hold a larger, observed size.
func (j *Job) Declared() Amount {
	if j.SubmittedSize != nil {
		return *j.SubmittedSize
	}
	return PerTask(j.Spec.Shape)
}

// Size returns the declared, observed and effective sizes of the tasks.
func (j *Job) Size() Size {
	out := Size{Declared: j.Declared(), Observed: j.peak().Max(j.PeakUsage), Effective: PerTask(j.Spec.Shape)}
	maxMemory := 0
	for _, s := range j.Slots {
		if c := chargedAmount(j, s); s.Tasks > 0 && c.Memory/s.Tasks >= maxMemory {
			maxMemory = c.Memory / s.Tasks
			out.Effective = Amount{c.GPUs / s.Tasks, c.Cores / s.Tasks, maxMemory}
		}
	}
	out.Settled = len(j.Observed) > 0 && !slices.ContainsFunc(j.Observed, func(u Usage) bool { return !u.Settled })
	return out
}

// peak returns the peak of the largest task of the current run.
func (j *Job) peak() Amount {
	var largest Amount
	for _, t := range j.Tasks {
		largest = largest.Max(t.Peak)
	}
	return largest
}

// withMargin returns a with usageMargin added to cores and memory, rounded up.
func withMargin(a Amount) Amount {
	pad := func(n int) int { return int(math.Ceil(float64(n) * (1 + usageMargin))) }
	return Amount{GPUs: a.GPUs, Cores: pad(a.Cores), Memory: pad(a.Memory)}
}

// plausibleAmount returns the amount of a report, and whether its values are possible on the worker.
func (r Report) plausibleAmount(w model.Worker) (Amount, bool) {
	ok := func(v float64, room int) bool { return v >= 0 && v <= maxCapacityRatio*float64(room) }
	if !ok(r.Cores, w.Cores) || !ok(r.Memory, w.Memory) || r.Cores+r.Memory == 0 {
		return Amount{}, false
	}
	// The platform may round up to more cores than the worker has.
	return Amount{Cores: min(int(math.Ceil(r.Cores)), w.Cores), Memory: int(math.Ceil(r.Memory))}, true
}

// applyReports records the measurements of one interval. It ignores reports of tasks that don't run on the worker
// named, implausible values, and measurements that are stale, in the future or repeated.
func (s *State) applyReports(now time.Time, reports []Report) {
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
			tasks = s.addMeasurement(now, j, tasks, r)
		}
		s.updateUsage(now, j, tasks)
	}
}

// addMeasurement returns tasks with the measurement of a report added, or unchanged if the report is ignored.
func (s *State) addMeasurement(now time.Time, j *Job, tasks map[int]TaskUsage, r Report) map[int]TaskUsage {
	runsOnWorker := slices.ContainsFunc(j.Slots, func(sl Slot) bool { return sl.Worker == r.Worker })
	a, ok := r.plausibleAmount(s.Workers[r.Worker].Worker)
	old := tasks[r.Task]
	timely := r.Measured.After(j.Started) && !r.Measured.After(now.Add(minReportGap)) && now.Sub(r.Measured) < UsageStaleAfter
	if !runsOnWorker || !ok || !timely || r.Task < 0 || r.Task >= j.Spec.Shape.Tasks || r.Measured.Sub(old.At) < minReportGap {
		return tasks
	}
	updated := TaskUsage{Worker: r.Worker, Last: a, Peak: old.Peak, At: r.Measured, Reports: old.Reports + 1}
	if old.Reports > 0 {
		updated.Confirmed = a.smaller(old.Last)
		updated.Peak = updated.Peak.Max(updated.Confirmed)
	}
	if tasks == nil {
		tasks = map[int]TaskUsage{}
	}
	tasks[r.Task] = updated
	return tasks
}

// updateUsage records the usage of the tasks of a job, and the amounts charged for it if they have changed.
func (s *State) updateUsage(now time.Time, j *Job, tasks map[int]TaskUsage) {
	chargedUsage := s.chargedUsage(now, j, tasks)
	if slices.Equal(chargedUsage, j.Observed) {
		c := *j
		c.Tasks = tasks
		s.ensureIndex(now).swapJob(j, &c)
		s.Jobs[c.Spec.ID] = &c
		return
	}
	s.replaceJob(now, j, func(c *Job) { c.Tasks, c.Observed = tasks, chargedUsage })
	s.ensureIndex(now).anchorsStale = true
}

// swapJob replaces a placed job by a copy that is charged the same amounts, as after most reports. Recomputing the sums
// of its workers would cost more than all other work on a report.
func (x *index) swapJob(old, next *Job) {
	for _, sl := range old.Slots {
		i, ok := x.byID[sl.Worker]
		if !ok {
			continue
		}
		allocations := x.nodes[i].allocations
		for k := range allocations {
			if allocations[k].job == old {
				allocations[k].job = next
			}
		}
	}
	if x.cancelledPlaced[old.Spec.ID] != nil {
		x.cancelledPlaced[old.Spec.ID] = next
	}
	if x.moving[old.Spec.ID] != nil {
		x.moving[old.Spec.ID] = next
	}
}

// chargedUsage returns the amount charged for a job on each of its workers. Usage is settled only once it is settled
// for every task of the job.
func (s *State) chargedUsage(now time.Time, j *Job, tasks map[int]TaskUsage) []Usage {
	settled := len(tasks) == j.Spec.Shape.Tasks
	for _, t := range tasks {
		settled = settled && t.Reports > 1 && t.At.Sub(j.Started) >= UsageSettleTime && now.Sub(t.At) < UsageStaleAfter
	}
	var chargedUsage []Usage
	perTask := PerTask(j.Spec.Shape)
	for _, sl := range j.Slots {
		u := Usage{Worker: sl.Worker, Settled: settled}
		reported := 0
		for _, i := range slices.Sorted(maps.Keys(tasks)) {
			if t := tasks[i]; t.Worker == sl.Worker && reported < sl.Tasks {
				reported++
				u.Amount = u.Amount.Plus(chargedPerTask(t.Peak, perTask, settled, Capacity(s.Workers[sl.Worker].Worker)))
			}
		}
		u.Amount = u.Amount.Plus(perTask.Times(sl.Tasks - reported))
		u.Amount.GPUs = sl.GPUs
		chargedUsage = append(chargedUsage, u)
	}
	return chargedUsage
}

// RestoreUsage sets the peak usage of the largest task of a job that was placed by an earlier owner of the cell. The peak
// counts at once, but it is settled only by later reports.
func (s *State) RestoreUsage(now time.Time, j *Job, peak Amount) {
	j.Tasks = map[int]TaskUsage{}
	for _, sl := range j.Slots {
		for range sl.Tasks {
			j.Tasks[len(j.Tasks)] = TaskUsage{Worker: sl.Worker, Peak: peak}
		}
	}
	j.Observed = s.chargedUsage(now, j, j.Tasks)
}

// chargedPerTask returns the amount charged for a task: the larger of size and peak until the usage is settled, and
// then the peak plus the margin. The margin alone doesn't raise the amount above size or the room of the worker.
func chargedPerTask(peak, size Amount, settled bool, room Amount) Amount {
	if !settled {
		return peak.Max(size)
	}
	return withMargin(peak).smaller(room.smaller(size.Max(peak))).Max(peak)
}

// memoryOnSlot returns the memory that a job uses on a slot according to its last measurements. Tasks without
// measurements count as declared, and those that have run for less than UsageSettleTime count at least as declared.
func (j *Job) memoryOnSlot(s Slot) int {
	declared, sum, reported := j.Declared().Memory, 0, 0
	for _, t := range j.Tasks {
		if t.Worker != s.Worker || t.Reports < 2 || reported == s.Tasks {
			continue
		}
		reported++
		if t.At.Sub(j.Started) < UsageSettleTime {
			sum += max(declared, t.Confirmed.Memory)
		} else {
			sum += t.Confirmed.Memory
		}
	}
	return sum + (s.Tasks-reported)*declared
}

// MemoryExcess returns the gigabytes by which the tasks of a job exceed their declared memory, summed over the tasks.
func (j *Job) MemoryExcess() int {
	sum, declared := 0, j.Declared().Memory
	for _, t := range j.Tasks {
		sum += max(t.Confirmed.Memory-declared, 0)
	}
	return sum
}

// relieveMemory stops jobs that exceed their declared memory on workers that are short of memory, those with the
// largest excess first. It never stops jobs that stay within their declared memory.
func (p *planner) relieveMemory() {
	for i := range p.nodes {
		n := &p.nodes[i]
		sum := 0
		var exceeding []*Job
		for _, u := range n.allocations {
			if p.beingStopped(u.job) {
				continue
			}
			sum += memoryOnWorker(u.job, n.id)
			if u.job.MemoryExcess() > 0 {
				exceeding = append(exceeding, u.job)
			}
		}
		if sum <= n.capacity.Memory || len(exceeding) == 0 {
			continue
		}
		slices.SortFunc(exceeding, func(a, b *Job) int {
			return cmp.Or(cmp.Compare(b.MemoryExcess(), a.MemoryExcess()), bySequence(b, a))
		})
		for _, j := range exceeding {
			if sum <= n.capacity.Memory {
				break
			}
			sum -= memoryOnWorker(j, n.id)
			p.stopForMemory(j)
		}
	}
}

// memoryOnWorker returns the memory that a job uses on a worker.
func memoryOnWorker(j *Job, id model.WorkerID) int {
	sum := 0
	for _, s := range j.Slots {
		if s.Worker == id {
			sum += j.memoryOnSlot(s)
		}
	}
	return sum
}

// stopForMemory stops a job for exceeding its declared memory.
func (p *planner) stopForMemory(j *Job) {
	before := len(p.d.Actions)
	p.stop(j, "")
	if len(p.d.Actions) > before {
		p.d.Actions[before].Reason = Reason{Code: MemoryExceeded, Need: j.peak().Memory, Have: j.Declared().Memory}
	}
}

// GrowToPeak raises the task size for the next placement of a job to the peak of its runs, plus the margin, if that is
// larger. A job whose guarantee doesn't cover the larger size keeps its size, unless it was stopped for its memory.
func (s *State) GrowToPeak(j *Job) {
	j.PeakUsage = j.peak().Max(j.PeakUsage)
	if j.PeakUsage == (Amount{}) {
		return
	}
	// Without this limit, the margin would make a job that fills a whole worker too large for any worker.
	room := j.PeakUsage
	for _, ws := range s.Workers {
		room = room.Max(Capacity(ws.Worker))
	}
	c := *j
	c.growTasks(withMargin(j.PeakUsage).smaller(room))
	if j.LastStopReason.Code == MemoryExceeded || s.guaranteeCovers(&c) {
		*j = c
	}
}

// guaranteeCovers reports whether the guarantee of a job covers its shape. It is true for a job without a guarantee.
func (s *State) guaranteeCovers(j *Job) bool {
	if j.Spec.Guarantee == "" {
		return true
	}
	a := s.anchor(j.Spec.Team, j.Spec.Guarantee)
	return a != nil && shapeCovers(j.Spec.Shape, a.Guarantee.Shape)
}

// growTasks raises the cores and memory of the tasks of a job to perTask, and keeps the submitted size.
func (j *Job) growTasks(perTask Amount) {
	submitted := j.Declared()
	if j.Spec.Shape.Cores >= perTask.Cores && j.Spec.Shape.Memory >= perTask.Memory {
		return
	}
	j.SubmittedSize = &submitted
	j.Spec.Shape.Cores = max(j.Spec.Shape.Cores, perTask.Cores)
	j.Spec.Shape.Memory = max(j.Spec.Shape.Memory, perTask.Memory)
}

// applySizeHistory raises the size of a new job to what jobs of its team and class have used, unless the job could not
// run at that size.
func (s *State) applySizeHistory(now time.Time, j *Job) {
	sizes, known := s.Sizes[historyKey(j.Spec)]
	if !known || len(sizes.Peaks) < minPeaks || !validShape(j.Spec.Shape) {
		return
	}
	c := *j
	c.growTasks(sizes.Each)
	if !s.guaranteeCovers(&c) {
		return
	}
	if v := (&view{index: *s.ensureIndex(now), state: s, now: now}); v.maxTasks(c.Spec.Shape) < c.Spec.Shape.Tasks {
		return
	}
	*j = c
}

// recordPeak adds the peak usage of a run to the history of its team and class.
func (s *State) recordPeak(j *Job) {
	peak := j.peak()
	if peak == (Amount{}) {
		return
	}
	h := s.Sizes[historyKey(j.Spec)]
	h.Peaks = append(slices.Clone(h.Peaks), peak)
	h.Peaks = h.Peaks[max(len(h.Peaks)-maxPeaks, 0):]
	median := func(of func(Amount) int) int {
		v := make([]int, len(h.Peaks))
		for i, a := range h.Peaks {
			v[i] = of(a)
		}
		slices.Sort(v)
		return v[len(v)/2]
	}
	h.Each = withMargin(Amount{Cores: median(func(a Amount) int { return a.Cores }), Memory: median(func(a Amount) int { return a.Memory })})
	if s.Sizes == nil {
		s.Sizes = map[string]UsageHistory{}
	}
	s.Sizes[historyKey(j.Spec)] = h
}
