package query

import (
	"slices"
	"strings"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
)

// probeJob is the job that stands for a claim of a guarantee; no operator can give that name.
const probeJob model.JobID = "(claim)"

// leaves are the actions that end a job's stay on its workers.
var leaves = []plan.Verb{plan.Checkpoint, plan.Stop, plan.Move}

// Observe adds the state of a cell, with the reasons of its last decision, to the snapshot.
// The state must not change while the snapshot is in use.
func (s *Snapshot) Observe(state *plan.State, last plan.Decision) {
	for _, host := range state.Workers {
		w := Worker{Worker: host.Worker, Failed: len(host.Failed)}
		if s.Now.Before(host.QuarantinedUntil) {
			w.Aside = host.QuarantinedUntil
		}
		s.Workers = append(s.Workers, w)
	}
	reasons := map[model.JobID]plan.Reason{}
	for _, w := range last.Waiting {
		reasons[w.Job] = w.Reason
	}
	for id, j := range state.Jobs {
		job := Job{
			Spec: j.Spec, Phase: j.Phase, Since: j.Submitted, Slots: j.Slots, Reason: reasons[id],
			Due: j.ReservedStart, Targets: j.ReservedSlots, Anchored: j.Anchored,
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
	s.addStops(state)
	slices.SortFunc(s.Workers, func(a, b Worker) int { return strings.Compare(string(a.ID), string(b.ID)) })
	slices.SortFunc(s.Jobs, func(a, b Job) int { return strings.Compare(string(a.Spec.ID), string(b.Spec.ID)) })
	slices.SortFunc(s.Anchors, func(a, b plan.Anchor) int {
		return strings.Compare(string(a.Team)+"/"+a.Guarantee.Name, string(b.Team)+"/"+b.Guarantee.Name)
	})
}

// addStops makes the snapshot answer for the guarantees of the cell. The decision itself is asked,
// on a copy of the state, so that the answer is what a claim would do.
func (s *Snapshot) addStops(state *plan.State) {
	others, now := s.Stops, s.Now
	s.Stops = func(team model.Team, guarantee string) []Stop {
		for _, a := range state.Anchors {
			if a.Team == team && a.Guarantee.Name == guarantee {
				return stops(now, state, a)
			}
		}
		if others == nil {
			return nil
		}
		return others(team, guarantee)
	}
}

func stops(now time.Time, state *plan.State, a plan.Anchor) []Stop {
	trial := state.Clone()
	trial.Apply(now, plan.Event{Kind: plan.Submitted, Job: &model.JobSpec{
		ID: probeJob, Team: a.Team, Shape: a.Guarantee.Shape, Guarantee: a.Guarantee.Name, Urgent: true,
	}})
	var out []Stop
	for _, action := range plan.Decide(now, trial).Actions {
		if action.ForJob == probeJob && slices.Contains(leaves, action.Verb) {
			slots := action.Slots
			if j := state.Jobs[action.Job]; j != nil && len(slots) == 0 {
				slots = j.Slots
			}
			out = append(out, Stop{Job: action.Job, Slots: slots, By: action.Deadline})
		}
	}
	return out
}
