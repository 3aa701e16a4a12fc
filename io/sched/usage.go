package sched

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"wagtailhoist/core/cell"
	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
	"wagtailhoist/io/works"
)

const (
	// usageEvery is how often usage is asked for. Decisions are made as often without another change.
	usageEvery = 2 * time.Second
	// usageRate bounds the bytes a second of the answers: a larger answer is asked for less often. Reports of 95,000
	// tasks (13 MB) then come every 50 s, within plan.UsageStale.
	usageRate = 256 << 10
	// usageMost is the longest wait after answers that failed: the largest answer that io/works reads, at usageRate. An
	// answer that is too large fails after its bytes have been sent.
	usageMost = 64 * time.Second
	// usageBytes is the size of one report, about what the JSON of one takes.
	usageBytes = 140
	// keptPeaks bounds the running jobs whose peaks are written to the plan: about 50 bytes each.
	keptPeaks = 1024
)

// Batch is the usage of a cell by one answer of the worker service. It is empty if there was none.
type Batch struct {
	Usage []works.Usage
	// At is when the answer was asked for; ages count back from there.
	At time.Time
}

// usage holds the last batch of each cell.
type usage struct {
	mu    sync.Mutex
	cells map[model.CellID]*Batch
}

// of returns the last batch of a cell, nil if there is none yet.
func (u *usage) of(id model.CellID) *Batch {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cells[id]
}

func (u *usage) set(cells map[model.CellID]*Batch) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cells = cells
}

// watchUsage asks for usage in one call for all cells as long as this process owns one, until ctx ends.
func (s *Sched) watchUsage(ctx context.Context) {
	failed, rest := false, usageEvery
	for ctx.Err() == nil {
		if owned := s.owned(); len(owned) > 0 {
			at := s.clock()
			began := time.Now()
			list, err := s.Works.Usage(ctx)
			if (err != nil) != failed && ctx.Err() == nil {
				failed = err != nil
				s.logger().Warn("reading usage", "failed", failed, "error", text(err))
			}
			s.usage.set(s.split(owned, list, at))
			rest = usagePause(rest, failed, time.Since(began), len(list))
		} else {
			rest = usageEvery
		}
		pause(ctx, rest)
	}
}

// usagePause returns the time until the next call after one that took some time and brought reports. A call that failed
// says nothing of the load that an answer is, so the pause after it grows from the last one alone.
func usagePause(last time.Duration, failed bool, took time.Duration, reports int) time.Duration {
	if failed {
		return min(2*last, usageMost)
	}
	return max(usageEvery, listPart*took, time.Duration(reports*usageBytes)*time.Second/usageRate)
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// owned returns the cells that this process owns.
func (s *Sched) owned() map[model.CellID]bool {
	out := map[model.CellID]bool{}
	for _, c := range s.all() {
		if c.owned.Load() {
			out[c.id] = true
		}
	}
	return out
}

// split sorts usage by cell. Usage of workers that are not listed is left out.
func (s *Sched) split(owned map[model.CellID]bool, list []works.Usage, at time.Time) map[model.CellID]*Batch {
	out := map[model.CellID]*Batch{}
	cells := map[model.WorkerID]model.CellID{}
	s.mu.Lock()
	for id := range owned {
		out[id] = &Batch{At: at}
		for _, w := range s.workers[id] {
			cells[w.ID] = id
		}
	}
	s.mu.Unlock()
	for _, u := range list {
		if b := out[cells[u.Worker]]; b != nil {
			b.Usage = append(b.Usage, u)
		}
	}
	return out
}

// reports returns the usage of a batch as reports of the tasks of the present placements; usage of other tasks, for
// example of an earlier placement on the same worker, is left out.
func reports(b *Batch, p *cell.Plan) []plan.Report {
	var out []plan.Report
	for _, u := range b.Usage {
		j := p.Jobs[u.Job]
		if j == nil {
			continue
		}
		index, err := strconv.Atoi(u.Task[strings.LastIndexByte(u.Task, '.')+1:])
		if err != nil || index < 0 || index >= len(j.Workers) || j.Workers[index] != u.Worker ||
			u.Task != cell.TaskID(u.Job, j.Placement, index) || u.Age < 0 || u.Age > plan.UsageStale.Milliseconds() {
			continue
		}
		out = append(out, plan.Report{
			Job: u.Job, Worker: u.Worker, Task: index, Cores: u.Cores, Memory: u.Memory,
			Measured: b.At.Add(-time.Duration(u.Age) * time.Millisecond),
		})
	}
	return out
}

// take passes a batch to the state once.
func (d *driver) take(now time.Time, in Input) {
	if in.Usage == nil || in.Usage == d.batch {
		return
	}
	d.batch = in.Usage
	d.state.Apply(now, plan.Event{Kind: plan.Reported, Reports: reports(in.Usage, in.Plan)})
}

// noted is what the note of a plan holds: a State and, beside its fields, Peaks.
type noted struct {
	plan.State
	// Peaks holds the observed peaks of jobs that hold workers.
	Peaks map[model.JobID]kept `cbor:"100,keyasint,omitempty"`
}

// kept is the peak of the largest task of a placement.
type kept struct {
	Placement int         `cbor:"1,keyasint"`
	Peak      plan.Amount `cbor:"2,keyasint"`
}

// peaks returns what was observed of the jobs that hold workers, those that exceed their declared memory first.
func (d *driver) peaks() map[model.JobID]kept {
	var list []*plan.Job
	for id, j := range d.state.Jobs {
		if len(j.Tasks) > 0 && d.known[id] != nil && j.Size().Observed != (plan.Amount{}) {
			list = append(list, j)
		}
	}
	over := func(j *plan.Job) int { return j.Size().Observed.Memory - j.Declared().Memory }
	slices.SortFunc(list, func(a, b *plan.Job) int {
		return cmp.Or(cmp.Compare(over(b), over(a)), compare(a.Spec.ID, b.Spec.ID))
	})
	out := map[model.JobID]kept{}
	for _, j := range list[:min(len(list), keptPeaks)] {
		out[j.Spec.ID] = kept{d.known[j.Spec.ID].Placement, j.Size().Observed}
	}
	return out
}

// resume gives a job of the plan, as the state has it now, what was observed of it under another owner.
func (d *driver) resume(now time.Time, j *cell.Job, next *plan.Job) {
	if len(next.Slots) == 0 {
		d.state.Resize(next)
		return
	}
	if k, ok := d.kept[j.Spec.ID]; ok && k.Placement == j.Placement && len(next.Tasks) == 0 {
		d.state.Resume(now, next, k.Peak)
	}
}

// JobUse is the size of a job, and why it was last stopped if that was for its usage.
type JobUse struct {
	Size    plan.Size   `json:"size"`
	Stopped plan.Reason `json:"stopped,omitzero"`
}

// uses returns the sizes of the jobs of which usage is known.
func (d *driver) uses() map[model.JobID]JobUse {
	out := map[model.JobID]JobUse{}
	for id, j := range d.state.Jobs {
		if u := (JobUse{j.Size(), j.LastStopReason}); len(j.Tasks) > 0 || j.SubmittedSize != nil || u.Stopped.Code != 0 {
			out[id] = u
		}
	}
	return out
}

// open is the phase of a job in a note that held workers. It differs from every phase of the plan, so that correct works
// the job out anew.
const open plan.Phase = 255

// portable returns a copy of the jobs of the state without what the durable plan or the next reports tell.
func portable(jobs map[model.JobID]*plan.Job) map[model.JobID]*plan.Job {
	out := maps.Clone(jobs)
	for id, j := range out {
		c := *j
		c.Tasks, c.Observed = nil, nil
		if c.Phase != plan.Refused && c.Phase != plan.Queued {
			// The workers of a later placement may be others; the plan tells.
			c.Phase, c.Slots = open, nil
		}
		out[id] = &c
	}
	return out
}
