package query

import (
	"slices"
	"strings"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
)

// claimJob is the ID of a trial job that claims a guarantee. Operators can't submit a job with this ID, because it is not a
// valid name.
const claimJob model.JobID = "(claim)"

// releasingVerbs are the actions after which a job has released its workers.
var releasingVerbs = []plan.Verb{plan.Checkpoint, plan.Stop, plan.Move}

// Observe adds the state of a cell to the snapshot, with the reasons for waiting from the cell's last decision. The state must
// not change while the snapshot is in use.
func (s *Snapshot) Observe(state *plan.State, decision plan.Decision) {
	for _, host := range state.Workers {
		w := Worker{Worker: host.Worker, Failed: len(host.Failed)}
		if s.Now.Before(host.QuarantinedUntil) {
			w.QuarantinedUntil = host.QuarantinedUntil
		}
		s.Workers = append(s.Workers, w)
	}
	reasons := map[model.JobID]plan.Reason{}
	for _, w := range decision.Waiting {
		reasons[w.Job] = w.Reason
	}
	for id, j := range state.Jobs {
		job := Job{
			Spec: j.Spec, Phase: j.Phase, Since: j.Submitted, Slots: j.Slots, Reason: reasons[id],
			ExpectedStart: j.ReservedStart, Reserved: j.ReservedSlots, Anchored: j.Anchored,
		}
		if j.Phase == plan.Refused {
			job.Reason = j.Refusal
		}
		if len(j.Slots) > 0 {
			job.Since = j.Started
		}
		s.Jobs = append(s.Jobs, job)
	}
	s.Anchors = append(s.Anchors, state.Anchors...)
	s.addStoppedByClaim(state)
	slices.SortFunc(s.Workers, func(a, b Worker) int { return strings.Compare(string(a.ID), string(b.ID)) })
	slices.SortFunc(s.Jobs, func(a, b Job) int { return strings.Compare(string(a.Spec.ID), string(b.Spec.ID)) })
	slices.SortFunc(s.Anchors, func(a, b plan.Anchor) int {
		return strings.Compare(string(a.Team)+"/"+a.Guarantee.Name, string(b.Team)+"/"+b.Guarantee.Name)
	})
}

// addStoppedByClaim extends StoppedByClaim to the guarantees of the cell.
func (s *Snapshot) addStoppedByClaim(state *plan.State) {
	earlier, now := s.StoppedByClaim, s.Now
	s.StoppedByClaim = func(team model.Team, guarantee string) []StoppedJob {
		for _, a := range state.Anchors {
			if a.Team == team && a.Guarantee.Name == guarantee {
				return jobsStoppedByClaim(now, state, a)
			}
		}
		if earlier == nil {
			return nil
		}
		return earlier(team, guarantee)
	}
}

// jobsStoppedByClaim submits a trial job that claims the guarantee to a copy of the state, and returns the jobs that the
// scheduler's decision would stop for it. So the answer is what a claim would do.
func jobsStoppedByClaim(now time.Time, state *plan.State, a plan.Anchor) []StoppedJob {
	trial := state.Clone()
	trial.Apply(now, plan.Event{Kind: plan.Submitted, Job: &model.JobSpec{
		ID: claimJob, Team: a.Team, Shape: a.Guarantee.Shape, Guarantee: a.Guarantee.Name, Urgent: true,
	}})
	var out []StoppedJob
	for _, action := range plan.Decide(now, trial).Actions {
		if action.ForJob == claimJob && slices.Contains(releasingVerbs, action.Verb) {
			slots := action.Slots
			if j := state.Jobs[action.Job]; j != nil && len(slots) == 0 {
				slots = j.Slots
			}
			out = append(out, StoppedJob{Job: action.Job, Slots: slots, By: action.Deadline})
		}
	}
	return out
}
