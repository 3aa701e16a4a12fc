package alloc

import (
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/learn"
)

// minRunTime is the shortest run time that is told apart.
const minRunTime = learn.MinRunTime

// Learned returns what was learned about run times. It is for callers whose estimates are wrong by up to ten times, and in
// one direction: objectives, order, reservations and preemption all depend on the run time.
func (s *Scheduler) Learned() *learn.Model { return &s.learned }

// SetLearned replaces what was learned about run times, for example by what an earlier owner has stored.
func (s *Scheduler) SetLearned(m learn.Model) {
	s.learned = m
	s.needsPlan = true
}

// taskKey returns what is known of the tasks of a job's step for predictions; kind is the kind of worker, empty if none is
// chosen.
func taskKey(j *batch.Job, step int, kind string) learn.Key {
	return learn.Key{Queue: j.Queue, Team: string(j.Team), Image: j.Steps[step].Image, Kind: kind}
}

// kind returns the kind of worker, which is its first label. The last label is the rack.
func (w *worker) kind() string {
	if len(w.Labels) < 2 {
		return ""
	}
	return w.Labels[0]
}

// expectedTime returns the expected run time of a task of a job's step.
func (s *Scheduler) expectedTime(j *batch.Job, step int) time.Duration {
	p := s.learned.Predict(taskKey(j, step, ""), j.Steps[step].Estimate)
	return p.Expected()
}

// predictRun returns what is expected of a run on its worker.
func (s *Scheduler) predictRun(t *task) learn.Prediction {
	kind := ""
	if w := s.workers[t.Worker]; w != nil {
		kind = w.kind()
	}
	return s.learned.Predict(taskKey(&t.job.job, t.Step, kind), t.job.job.Steps[t.Step].Estimate)
}

// criticalPath returns the expected run time of the longest chain of a job's dependent steps.
func (s *Scheduler) criticalPath(j *batch.Job) time.Duration {
	return j.LongestChain(func(step int) time.Duration { return s.expectedTime(j, step) })
}

// learnRun learns from a run that has just ended on a worker with a cause. A run that resumed from a checkpoint or began under
// an earlier owner says nothing, since its run time isn't known. Runs that were stopped or have failed would have taken longer.
func (s *Scheduler) learnRun(now time.Time, w *worker, t *task, cause batch.Cause) {
	j := &t.job.job
	step := &j.Steps[t.Step]
	if !t.confirmed || t.partial || step.LongRunning {
		return
	}
	sample := learn.Sample{Estimate: step.Estimate, RunTime: max(minRunTime, now.Sub(t.startedAt))}
	switch cause {
	case batch.EndDone:
		t.RunTime = sample.RunTime
	case batch.EndStopped, batch.EndFailed, batch.EndGangMemberEnded:
		sample.Censored = true
	default:
		return
	}
	sample.Weight = sampleWeight(step, sample.Censored)
	s.learned.Record(taskKey(j, t.Step, w.kind()), sample)
}

// sampleWeight returns the number of samples that a run counts as. The tasks of a step have the same error of the estimate, and
// count as one sample together. A gang that is done has one end; its other members end with it.
func sampleWeight(step *batch.Step, censored bool) float64 {
	if step.Gang && !censored {
		return 1
	}
	return 1 / float64(max(1, step.Count))
}

// learnStored learns from the stored run times of a job. On which kind of worker the tasks ran isn't stored.
func (s *Scheduler) learnStored(j *job) {
	for _, t := range j.tasks {
		if t.RunTime > 0 {
			step := &j.job.Steps[t.Step]
			s.learned.Record(taskKey(&j.job, t.Step, ""), learn.Sample{
				Estimate: step.Estimate, RunTime: t.RunTime, Weight: sampleWeight(step, false),
			})
		}
	}
}
