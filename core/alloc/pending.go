package alloc

import (
	"fmt"
	"sort"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

// tooLateFactor is the multiple of the latency objective after which a job's completion is of no use to its caller.
const tooLateFactor = 3

// pendingStep holds the waiting tasks of a step that is ready to run. Those of a gang are placed together.
type pendingStep struct {
	job   *job
	step  *batch.Step
	tasks []*task
	queue batch.Queue
	// guaranteed reports whether the job fits into its team's guarantee.
	guaranteed bool
	timeliness timeliness
	// deadline is when the job misses its objective.
	deadline time.Time
	// estimate is the expected run time of a task.
	estimate time.Duration
	// waited is the time since acceptance or the due time, as a multiple of the objective.
	waited float64
	// turn is the place of the step's team among those of its group that take turns, the lowest first. order is by what the step was ordered
	// within its rank; it is empty where teams never take turns.
	turn  int
	order TeamOrder
	group *turnGroup
}

// timeliness says whether a job can still meet its latency objective.
type timeliness int

const (
	onTime timeliness = iota
	// late steps are expected to miss the objective, but their results are still of use.
	late
	// tooLate steps have missed the objective so far that their results are of no use.
	tooLate
)

// pendingSteps returns the steps that are ready to run, the most urgent first: guaranteed ones, then long-running ones,
// then the others by priority and, within a priority, by the time at which they miss their objective. Steps that aren't
// guaranteed and are too late come last, so that in a burst they don't delay steps whose results are still of use.
func (s *Scheduler) pendingSteps(now, wall time.Time, guaranteedJobs map[model.JobID]bool) []*pendingStep {
	var all []*pendingStep
	for _, j := range s.activeJobs() {
		id := j.job.ID
		if j.cancelled || j.failed {
			continue
		}
		for occurrence := range j.job.Occurrences() {
			for step := range j.job.Steps {
				if !j.stepReady(occurrence, step, wall, s.Settings.EarlyStart) {
					continue
				}
				if ps := s.pendingStep(now, wall, j, occurrence, step); ps != nil {
					ps.guaranteed = guaranteedJobs[id]
					all = append(all, ps)
				}
			}
		}
	}
	sort.SliceStable(all, func(x, y int) bool { return all[x].precedes(all[y]) })
	return all
}

// pendingStep returns the waiting tasks of a step, or nil if there are none or if members of its gang are still placed.
func (s *Scheduler) pendingStep(now, wall time.Time, j *job, occurrence, step int) *pendingStep {
	ps := &pendingStep{job: j, step: &j.job.Steps[step], queue: s.policy.QueueFor(&j.job), estimate: s.expectedTime(&j.job, step)}
	placed := 0
	for _, t := range j.stepTasks(occurrence, step) {
		switch t.Phase {
		case batch.TaskWaiting:
			ps.tasks = append(ps.tasks, t)
		case batch.TaskPlaced:
			placed++
		}
	}
	if len(ps.tasks) == 0 || ps.step.Gang && placed > 0 {
		return nil
	}
	objectiveStart := j.acceptedAt
	if j.job.Timed() {
		objectiveStart = now.Add(j.job.Due(occurrence).Sub(wall))
	}
	objective := ps.queue.Objective(s.criticalPath(&j.job))
	ps.deadline = objectiveStart.Add(objective)
	if objective > 0 {
		ps.waited = float64(now.Sub(objectiveStart)) / float64(objective)
	}
	switch {
	case ps.step.LongRunning:
		// A long-running task stays of use to its users however late it starts.
	case now.Sub(objectiveStart) > tooLateFactor*objective:
		ps.timeliness = tooLate
	case now.Add(ps.estimate / 2).After(ps.deadline):
		ps.timeliness = late
	}
	return ps
}

// precedes reports whether ps comes before other: by guarantee, then by rank, then by deadline. Where teams
// take turns, sortByTurn orders by turn before the deadline.
func (ps *pendingStep) precedes(other *pendingStep) bool {
	if ps.guaranteed != other.guaranteed {
		return ps.guaranteed
	}
	if x, y := ps.rank(), other.rank(); x != y {
		return x < y
	}
	return ps.deadline.Before(other.deadline)
}

const (
	// firstRank is that of long-running steps, before all others.
	firstRank = -1
	// tooLateRank is after all others.
	tooLateRank = 1 << 20
)

// rank returns the step's rank, the lowest first. Late steps keep the rank of their priority: estimates are wrong by up to
// ten times, so that a late step may still be in time, and a job that has run in part needs little to complete.
func (ps *pendingStep) rank() int {
	switch {
	case ps.step.LongRunning:
		return firstRank
	case ps.timeliness == tooLate:
		return tooLateRank + ps.queue.Priority
	}
	return ps.queue.Priority
}

// placementReason describes for the trace why the step was placed.
func (ps *pendingStep) placementReason(now time.Time) string {
	kind := [...]string{onTime: "in time", late: "late", tooLate: "useless"}[ps.timeliness]
	if ps.guaranteed {
		kind = "guaranteed"
	}
	reason := fmt.Sprintf("%s, priority %d, %d ms to the objective", kind, ps.queue.Priority, ps.deadline.Sub(now).Milliseconds())
	switch {
	case ps.order == ByShare && ps.turn == firstTurn:
		reason += ", by share (waited longest)"
	case ps.order == ByShare:
		reason += fmt.Sprintf(", by share (turn %d)", ps.turn)
	case ps.order == ByDeadline:
		reason += ", by deadline"
	}
	return reason
}

// guaranteedJobs returns the due jobs of priority 0 that fit into their team's guarantee. Older jobs are counted first.
func (s *Scheduler) guaranteedJobs(wall time.Time) map[model.JobID]bool {
	var urgent []*job
	for _, j := range s.activeJobs() {
		if !j.cancelled && s.policy.QueueFor(&j.job).Priority == 0 && !wall.Add(s.Settings.EarlyStart).Before(j.job.Due(0)) {
			urgent = append(urgent, j)
		}
	}
	sort.SliceStable(urgent, func(x, y int) bool { return urgent[x].acceptedAt.Before(urgent[y].acceptedAt) })
	used := map[model.Team]int64{}
	guaranteedJobs := map[model.JobID]bool{}
	for _, j := range urgent {
		team, ok := s.policy.Teams[j.job.Team]
		if !ok || team.Guarantee == 0 {
			continue
		}
		if maxStepGPUs := j.maxStepGPUs(); used[team.Name]+maxStepGPUs <= team.Guarantee {
			used[team.Name] += maxStepGPUs
			guaranteedJobs[j.job.ID] = true
		}
	}
	return guaranteedJobs
}

// maxStepGPUs returns the number of accelerators that all tasks of the job's largest step need together.
func (j *job) maxStepGPUs() int64 {
	var largest int64
	for i := range j.job.Steps {
		s := &j.job.Steps[i]
		largest = max(largest, s.Need.GPU*int64(s.Count))
	}
	return largest
}
