package alloc

import (
	"fmt"
	"sort"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

// lateFactor times the objective is the age after which a job's completion is of no more use to its caller.
const lateFactor = 3

// unit is the waiting tasks of a step whose turn has come; those of a gang are placed together.
type unit struct {
	job   *job
	step  *batch.Step
	tasks []*task
	queue batch.Queue
	// guaranteed units fit into the guarantee of their team.
	guaranteed bool
	class      class
	// deadline is when the job misses its objective.
	deadline time.Time
}

// class orders units by what their callers can still gain.
type class int

const (
	inTime class = iota
	late
	useless
)

// units returns the units that may be placed at now, the most urgent first. It answers bursts: within a priority the
// work that misses its objective first goes first, and work of no more use goes last.
func (s *Scheduler) units(now, wall time.Time) []*unit {
	covered := s.covered(wall)
	var all []*unit
	for _, id := range s.sortedJobs() {
		j := s.jobs[id]
		if j.cancelled || j.broken || j.outcome != "" {
			continue
		}
		for k := range j.job.Occurrences() {
			for step := range j.job.Steps {
				if !j.turn(k, step, wall, s.Settings.EarlyStart) {
					continue
				}
				if u := s.unit(now, wall, j, k, step); u != nil {
					u.guaranteed = covered[id]
					all = append(all, u)
				}
			}
		}
	}
	sort.SliceStable(all, func(x, y int) bool { return all[x].before(all[y]) })
	return all
}

func (s *Scheduler) unit(now, wall time.Time, j *job, occurrence, step int) *unit {
	u := &unit{job: j, step: &j.job.Steps[step], queue: s.policy.QueueFor(&j.job)}
	placed := 0
	for i := range u.step.Count {
		switch t := j.tasks[slot{occurrence, step, i}]; t.Phase {
		case batch.TaskWaiting:
			u.tasks = append(u.tasks, t)
		case batch.TaskPlaced:
			placed++
		}
	}
	if len(u.tasks) == 0 || u.step.Gang && placed > 0 {
		return nil
	}
	since := j.seen
	if j.job.Timed() {
		since = now.Add(j.job.Due(occurrence).Sub(wall))
	}
	objective := u.queue.Objective(&j.job)
	u.deadline = since.Add(objective)
	switch {
	case u.step.LongRunning:
		// A lasting task is missed by its users as long as it isn't at work.
	case now.Sub(since) > lateFactor*objective:
		u.class = useless
	case now.Add(u.step.Estimate / 2).After(u.deadline):
		u.class = late
	}
	return u
}

func (u *unit) before(v *unit) bool {
	if u.guaranteed != v.guaranteed {
		return u.guaranteed
	}
	if x, y := u.rank(), v.rank(); x != y {
		return x < y
	}
	return u.deadline.Before(v.deadline)
}

const (
	// lastingRank is before all but guaranteed work.
	lastingRank = -1
	// uselessRank is behind all others.
	uselessRank = 1 << 20
)

// rank is the unit's place by priority. Late work keeps it: estimates are wrong by up to ten times, so that late may be
// in time still, and a job of which some tasks have run is finished with little.
func (u *unit) rank() int {
	switch {
	case u.step.LongRunning:
		return lastingRank
	case u.class == useless:
		return uselessRank + u.queue.Priority
	}
	return u.queue.Priority
}

// why says for the log what a unit was placed by.
func (u *unit) why(now time.Time) string {
	kind := [...]string{inTime: "in time", late: "late", useless: "useless"}[u.class]
	if u.guaranteed {
		kind = "guaranteed"
	}
	return fmt.Sprintf("%s, priority %d, %d ms to the objective", kind, u.queue.Priority, u.deadline.Sub(now).Milliseconds())
}

// covered returns the jobs of priority 0 that fit into their team's guarantee, oldest first.
func (s *Scheduler) covered(wall time.Time) map[model.JobID]bool {
	var urgent []*job
	for _, id := range s.sortedJobs() {
		j := s.jobs[id]
		if j.outcome == "" && !j.cancelled && s.policy.QueueFor(&j.job).Priority == 0 && !wall.Add(s.Settings.EarlyStart).Before(j.job.Due(0)) {
			urgent = append(urgent, j)
		}
	}
	sort.SliceStable(urgent, func(x, y int) bool { return urgent[x].seen.Before(urgent[y].seen) })
	used := map[model.Team]int64{}
	covered := map[model.JobID]bool{}
	for _, j := range urgent {
		team, ok := s.policy.Teams[j.job.Team]
		if !ok || team.Guarantee == 0 {
			continue
		}
		if widest := j.widest(); used[team.Name]+widest <= team.Guarantee {
			used[team.Name] += widest
			covered[j.job.ID] = true
		}
	}
	return covered
}

// widest returns the most accelerators that a step of the job takes.
func (j *job) widest() int64 {
	var most int64
	for i := range j.job.Steps {
		s := &j.job.Steps[i]
		most = max(most, s.Need.GPU*int64(s.Count))
	}
	return most
}
