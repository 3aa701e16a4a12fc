package plan

import (
	"slices"
	"time"

	"wagtailhoist/core/model"
)

// assumedWait is longer than any job avoids the rack that is kept free.
const assumedWait = 24 * time.Hour

// StartableJobs returns those of the jobs that would start at once if they were submitted now, given the jobs that are
// already queued.
func StartableJobs(now time.Time, s *State, jobs []model.JobSpec) []model.JobID {
	copied := s.Clone()
	events := make([]Event, len(jobs))
	for i := range jobs {
		events[i] = Event{Kind: Submitted, Job: &jobs[i]}
	}
	copied.Apply(now, events...)
	return startedBy(now, copied, jobs)
}

// FeasibleJobs returns those of the jobs that could start, perhaps after a wait, if no other jobs were in the cell. A
// job that can't be stopped in time for the guarantees may fit nowhere, however long it waits.
func FeasibleJobs(now time.Time, s *State, jobs []model.JobSpec) []model.JobID {
	var out []model.JobID
	for _, j := range jobs {
		empty := s.Clone()
		empty.Jobs = nil
		empty.Apply(now, Event{Kind: Submitted, Job: &j})
		if queued := empty.Jobs[j.ID]; queued != nil {
			queued.Submitted = now.Add(-assumedWait)
		}
		out = append(out, startedBy(now, empty, []model.JobSpec{j})...)
	}
	return out
}

// startedBy returns those of the jobs that a decision at now starts.
func startedBy(now time.Time, s *State, jobs []model.JobSpec) []model.JobID {
	var out []model.JobID
	for _, a := range Decide(now, s).Actions {
		if a.Verb == Start && slices.ContainsFunc(jobs, func(j model.JobSpec) bool { return j.ID == a.Job }) {
			out = append(out, a.Job)
		}
	}
	return out
}
