package plan

import (
	"slices"
	"time"

	"wagtailhoist/core/model"
)

// Takes returns those of the jobs that would start at once if they were submitted now, beside the jobs that wait.
func Takes(now time.Time, s *State, jobs []model.JobSpec) []model.JobID {
	trial := s.Clone()
	events := make([]Event, len(jobs))
	for i := range jobs {
		events[i] = Event{Kind: Submitted, Job: &jobs[i]}
	}
	trial.Apply(now, events...)
	var out []model.JobID
	for _, a := range Decide(now, trial).Actions {
		if a.Verb == Start && slices.ContainsFunc(jobs, func(j model.JobSpec) bool { return j.ID == a.Job }) {
			out = append(out, a.Job)
		}
	}
	return out
}

// Fits returns those of the jobs that would start on the workers if no other job was there. A job that can't leave in
// time for the guarantees may fit nowhere, however long it waits.
func Fits(now time.Time, s *State, jobs []model.JobSpec) []model.JobID {
	var out []model.JobID
	for _, j := range jobs {
		empty := s.Clone()
		empty.Jobs = nil
		out = append(out, Takes(now, empty, []model.JobSpec{j})...)
	}
	return out
}
