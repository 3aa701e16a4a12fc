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
	// usageInterval is the shortest time between two reads of the usage. It equals maxDecisionInterval, so that each decision
	// finds new reports.
	usageInterval = 2 * time.Second
	// usageBytesPerSecond bounds the mean load of the answers: after a large answer the pause is longer. Reports of 95,000
	// tasks (13 MB) are read every 50 s, which is within plan.UsageStaleAfter.
	usageBytesPerSecond = 256 << 10
	// callTimeDivisor bounds the part of the time that the calls take: 1/callTimeDivisor.
	callTimeDivisor = 50
	// maxUsagePause is the longest pause after failed reads: the time for the largest answer that io/works accepts, at
	// usageBytesPerSecond. An answer that is too large fails only after it has been sent.
	maxUsagePause = 64 * time.Second
	// reportBytes is the approximate size of the JSON of one report.
	reportBytes = 140
	// maxNotedPeaks bounds the running jobs whose peaks are written to the plan, at about 50 bytes each.
	maxNotedPeaks = 1024
)

// UsageBatch is the usage of a cell's tasks in one answer of the worker service. It is empty if the call failed.
type UsageBatch struct {
	Usage []works.Usage
	// At is the time of the call, from which the ages of the usage count back.
	At time.Time
}

// usageCache holds the latest batch of each cell.
type usageCache struct {
	mu    sync.Mutex
	cells map[model.CellID]*UsageBatch
}

// latest returns the latest batch of a cell, or nil if there is none.
func (u *usageCache) latest(id model.CellID) *UsageBatch {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cells[id]
}

// replace sets the batches of all cells.
func (u *usageCache) replace(cells map[model.CellID]*UsageBatch) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cells = cells
}

// watchUsage reads the usage of all cells in one call at a time while this process owns a cell, until ctx ends. It logs
// when the calls start to fail and when they succeed again.
func (s *Sched) watchUsage(ctx context.Context) {
	failed, nextPause := false, usageInterval
	for ctx.Err() == nil {
		if owned := s.ownedCells(); len(owned) > 0 {
			askedAt := s.clock()
			started := time.Now()
			list, err := s.Works.Usage(ctx)
			if (err != nil) != failed && ctx.Err() == nil {
				failed = err != nil
				s.logger().Warn("reading usage", "failed", failed, "error", errorText(err))
			}
			s.usageCache.replace(s.groupByCell(owned, list, askedAt))
			nextPause = usagePause(nextPause, failed, time.Since(started), len(list))
		} else {
			nextPause = usageInterval
		}
		pause(ctx, nextPause)
	}
}

// usagePause returns the pause after a call, from the duration of the call and the number of reports in its answer. The duration
// of a failed call doesn't show the load of an answer, so failures only double the last pause.
func usagePause(lastPause time.Duration, failed bool, callTime time.Duration, reports int) time.Duration {
	if failed {
		return min(2*lastPause, maxUsagePause)
	}
	return max(usageInterval, callTimeDivisor*callTime, time.Duration(reports*reportBytes)*time.Second/usageBytesPerSecond)
}

// errorText returns the text of an error, empty without one.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// ownedCells returns the cells that this process owns.
func (s *Sched) ownedCells() map[model.CellID]bool {
	out := map[model.CellID]bool{}
	for _, c := range s.allControllers() {
		if c.owned.Load() {
			out[c.id] = true
		}
	}
	return out
}

// groupByCell groups usage by the owned cells. Usage of workers that are not listed there is left out.
func (s *Sched) groupByCell(owned map[model.CellID]bool, list []works.Usage, askedAt time.Time) map[model.CellID]*UsageBatch {
	out := map[model.CellID]*UsageBatch{}
	cells := map[model.WorkerID]model.CellID{}
	s.mu.Lock()
	for id := range owned {
		out[id] = &UsageBatch{At: askedAt}
		for _, w := range s.workers[id] {
			cells[w.ID] = id
		}
	}
	s.mu.Unlock()
	for _, u := range list {
		if batch := out[cells[u.Worker]]; batch != nil {
			batch.Usage = append(batch.Usage, u)
		}
	}
	return out
}

// usageReports returns the reports for the tasks of the plan's present placements. Usage of other tasks, for example of an
// earlier placement on the same worker, and usage that is too old are left out.
func usageReports(batch *UsageBatch, p *cell.Plan) []plan.Report {
	var out []plan.Report
	for _, u := range batch.Usage {
		j := p.Jobs[u.Job]
		if j == nil {
			continue
		}
		index, err := strconv.Atoi(u.Task[strings.LastIndexByte(u.Task, '.')+1:])
		if err != nil || index < 0 || index >= len(j.Workers) || j.Workers[index] != u.Worker ||
			u.Task != cell.TaskID(u.Job, j.Placement, index) || u.Age < 0 || u.Age > plan.UsageStaleAfter.Milliseconds() {
			continue
		}
		out = append(out, plan.Report{
			Job: u.Job, Worker: u.Worker, Task: index, Cores: u.Cores, Memory: u.Memory,
			Measured: batch.At.Add(-time.Duration(u.Age) * time.Millisecond),
		})
	}
	return out
}

// applyUsage applies the reports of the input to the state, unless this batch was applied before.
func (d *planDecider) applyUsage(now time.Time, in Input) {
	if in.Usage == nil || in.Usage == d.lastUsage {
		return
	}
	d.lastUsage = in.Usage
	d.state.Apply(now, plan.Event{Kind: plan.Reported, Reports: usageReports(in.Usage, in.Plan)})
}

// noteContent is the content of a plan's note: the fields of a State and, beside them, Peaks.
type noteContent struct {
	plan.State
	// Peaks holds the observed peaks of placed jobs.
	Peaks map[model.JobID]notedPeak `cbor:"100,keyasint,omitempty"`
}

// notedPeak is the observed peak of the largest task of a placement.
type notedPeak struct {
	Placement int         `cbor:"1,keyasint"`
	Peak      plan.Amount `cbor:"2,keyasint"`
}

// peaks returns the observed peaks of placed jobs for the note. If there are too many, those that exceed their declared memory
// by most are returned.
func (d *planDecider) peaks() map[model.JobID]notedPeak {
	var list []*plan.Job
	for id, j := range d.state.Jobs {
		if len(j.Tasks) > 0 && d.recorded[id] != nil && j.Size().Observed != (plan.Amount{}) {
			list = append(list, j)
		}
	}
	over := func(j *plan.Job) int { return j.Size().Observed.Memory - j.Declared().Memory }
	slices.SortFunc(list, func(a, b *plan.Job) int {
		return cmp.Or(cmp.Compare(over(b), over(a)), compare(a.Spec.ID, b.Spec.ID))
	})
	out := map[model.JobID]notedPeak{}
	for _, j := range list[:min(len(list), maxNotedPeaks)] {
		out[j.Spec.ID] = notedPeak{d.recorded[j.Spec.ID].Placement, j.Size().Observed}
	}
	return out
}

// restorePeak restores the peak of a placed job that an earlier owner has noted. For a job without a placement it raises
// the size for the next one to the peak.
func (d *planDecider) restorePeak(now time.Time, j *cell.Job, next *plan.Job) {
	if len(next.Slots) == 0 {
		d.state.GrowToPeak(next)
		return
	}
	if peak, ok := d.notedPeak[j.Spec.ID]; ok && peak.Placement == j.Placement && len(next.Tasks) == 0 {
		d.state.RestoreUsage(now, next, peak.Peak)
	}
}

// JobUsage is the size of a job, and the reason of its last stop if that was its usage.
type JobUsage struct {
	Size    plan.Size   `json:"size"`
	Stopped plan.Reason `json:"stopped,omitzero"`
}

// usageByJob returns the sizes of the jobs whose usage is known.
func (d *planDecider) usageByJob() map[model.JobID]JobUsage {
	out := map[model.JobID]JobUsage{}
	for id, j := range d.state.Jobs {
		if u := (JobUsage{j.Size(), j.LastStopReason}); len(j.Tasks) > 0 || j.SubmittedSize != nil || u.Stopped.Code != 0 {
			out[id] = u
		}
	}
	return out
}

// notedPhase is the phase that placed jobs have in a note. It differs from every phase of the plan, so that reconcileJobs sets
// the job's phase and slots from the plan.
const notedPhase plan.Phase = 255

// jobsForNote returns a copy of the jobs of the state without the fields that the next owner gets from the durable plan or from
// the next reports.
func jobsForNote(jobs map[model.JobID]*plan.Job) map[model.JobID]*plan.Job {
	out := maps.Clone(jobs)
	for id, j := range out {
		c := *j
		c.Tasks, c.Observed = nil, nil
		if c.Phase != plan.Refused && c.Phase != plan.Queued {
			// The plan may have a later placement on other workers by the time that the note is read.
			c.Phase, c.Slots = notedPhase, nil
		}
		out[id] = &c
	}
	return out
}
