package alloc

import (
	"time"

	"wagtailhoist/core/batch"
)

const (
	// stopDuration is how long a worker takes to end a run after a stop order at most.
	stopDuration = 900 * time.Millisecond
	// claimWait is the part of a claim's time in which it may wait for runs that end by themselves. All tasks of its first step
	// must have begun 2,700 ms after the job's acceptance; a run that goes on nevertheless is stopped, which takes up to
	// stopDuration, and the records of the stop and of the placement have to be stored.
	claimWait = 600 * time.Millisecond
	// placementTime is the part of preemptionLead in which a placement is stored and ordered.
	placementTime = preemptionLead - stopDuration
	// endProbability is the probability with which a run must end in time to be waited for.
	endProbability = 0.9
	// minAwaitedSamples is the number of samples of its queue from which the end of a run is predicted well enough to wait for it.
	minAwaitedSamples = 8
	// progressMargin is the factor on the remaining time that is extrapolated from a run's progress: a run is first listed up to
	// a second after its start, so that its progress looks faster than it is.
	progressMargin = 1.25
)

// awaitedEnd is the end of a run that may be waited for.
type awaitedEnd struct {
	task   *task
	worker *worker
	// at is when the run has ended with endProbability.
	at     time.Time
	amount batch.Amount
}

// latestEnd returns when a run has ended by itself with endProbability. It returns false if too little is known, or if the run
// should have ended already.
func (s *Scheduler) latestEnd(now time.Time, t *task) (time.Time, bool) {
	if !t.confirmed || t.mustStop || t.job.job.Steps[t.Step].LongRunning {
		return time.Time{}, false
	}
	p := s.predictRun(t)
	if p.Samples() < minAwaitedSamples {
		return time.Time{}, false
	}
	if t.percent > 10 && t.percent <= 100 {
		rest := float64(t.progressedAt.Sub(t.startedAt)) * float64(100-t.percent) / float64(t.percent)
		at := t.progressedAt.Add(time.Duration(progressMargin * rest))
		return at, at.After(now)
	}
	return now.Add(p.Remaining(now.Sub(t.startedAt), endProbability)), true
}

// awaitUntil returns until when a step may wait for the ends of runs instead of stopping them: a claim for claimWait, and no step
// beyond its latest possible start.
func (p *plan) awaitUntil(ps *pendingStep) time.Time {
	until := ps.deadline.Add(-ps.estimate - placementTime)
	if ps.guaranteed {
		return earliest(until, ps.job.acceptedAt.Add(claimWait))
	}
	return earliest(until, p.now.Add(stopDuration))
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// awaitedEnds returns the ends that are expected within stopDuration.
func (p *plan) awaitedEnds() []awaitedEnd {
	if p.endsKnown {
		return p.ends
	}
	p.endsKnown = true
	latest := p.now.Add(stopDuration)
	for _, w := range p.workers {
		for _, t := range w.runs {
			if at, ok := p.latestEnd(p.now, t); ok && !at.After(latest) {
				p.ends = append(p.ends, awaitedEnd{t, w, at, t.job.job.Steps[t.Step].Allocation()})
			}
		}
	}
	return p.ends
}

// freeAfterEnds returns the capacity after the ordered stops and after the ends for which a step may wait, and the runs that
// are waited for. These are nil if there are none.
func (p *plan) freeAfterEnds(ps *pendingStep) ([]batch.Amount, map[*task]bool) {
	until := p.awaitUntil(ps)
	if !until.After(p.now) {
		return p.freeAfterStops, nil
	}
	free := p.freeAfterStops
	var awaited map[*task]bool
	for _, e := range p.awaitedEnds() {
		if e.at.After(until) || e.task.mustStop {
			continue
		}
		if awaited == nil {
			free, awaited = append([]batch.Amount(nil), free...), map[*task]bool{}
		}
		awaited[e.task] = true
		free[e.worker.index] = free[e.worker.index].Add(e.amount)
	}
	return free, awaited
}

// assignByPreemption returns a worker for each task as of the end of runs that end by themselves in time or are stopped for
// them, or nil if they don't fit. Nothing is stopped if the tasks fit without.
func (p *plan) assignByPreemption(ps *pendingStep, tasks []*task) []*worker {
	free, awaited := p.freeAfterEnds(ps)
	if awaited != nil {
		if assigned := p.assign(ps, tasks, free); assigned != nil {
			return assigned
		}
	}
	if !p.preempt(ps, tasks, free, awaited) {
		return nil
	}
	if awaited == nil {
		return p.assignAfterStops(ps, tasks)
	}
	free, _ = p.freeAfterEnds(ps)
	return p.assign(ps, tasks, free)
}
