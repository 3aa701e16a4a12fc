package plan

import (
	"cmp"
	"slices"
	"time"

	"wagtailhoist/core/model"
)

const (
	// minScoreRatio is the smallest ratio of a job's score to that of a job that it preempts.
	minScoreRatio = 1.2
	// maxCostShare is the largest loss of accelerator time, as a share of the accelerator time that the job itself
	// needs.
	maxCostShare = 0.3
	// maxSizeRatio is the largest size of all preempted jobs relative to that of the job.
	maxSizeRatio = 1.5
	// minPreemptWait is how long a job must have waited before it may preempt others.
	minPreemptWait = 2 * time.Minute
	// maxPreemptAttempts is the number of jobs per decision that may search for jobs to preempt.
	maxPreemptAttempts = 20
)

// preemptible reports whether a job with this score may preempt the running job v.
func (p *planner) preemptible(v *Job, score float64) bool {
	if !p.relocatable(v) {
		return false
	}
	c := *v
	c.SavedWork += p.now.Sub(v.Started)
	return p.score(&c)*minScoreRatio <= score
}

// preempt stops jobs of a clearly lower score by a checkpoint to make room for a job that found none, and reserves the
// room for that job. It reports whether it did so.
func (p *planner) preempt(j *Job) bool {
	if p.now.Sub(j.Submitted) < minPreemptWait || p.preemptAttempts >= maxPreemptAttempts {
		return false
	}
	p.preemptAttempts++
	score := p.score(j)
	decided := map[model.JobID]bool{}
	eligible := func(v *Job) bool {
		ok, known := decided[v.Spec.ID]
		if !known {
			ok = p.preemptible(v, score)
			decided[v.Spec.ID] = ok
		}
		return ok
	}
	q := p.jobSearch(j)
	q.room = func(i int) Amount {
		n := &p.nodes[i]
		if !n.usable || len(n.reservations) > 0 || slices.Contains(j.Failed, n.id) || (n.rack == p.keptFreeRack && p.avoidsKeptFreeRack(j)) {
			return Amount{}
		}
		r := n.free()
		for _, u := range n.allocations {
			if eligible(u.job) {
				r = r.Plus(u.amount)
			}
		}
		return n.limitToLendable(r, j.Spec.Grace)
	}
	q.cost = func(_ nodeRange, spots []spot) float64 {
		cost, _ := p.totalMoveCost(p.jobsToPreempt(spots, q.perTask, eligible))
		return cost
	}
	spots := q.cheapest()
	if spots == nil {
		return false
	}
	victims := p.jobsToPreempt(spots, q.perTask, eligible)
	cost, size := p.totalMoveCost(victims)
	ownSize := float64(j.Spec.Shape.Size())
	if cost > maxCostShare*p.state.remaining(j).Seconds()*ownSize || float64(size) > maxSizeRatio*ownSize {
		return false
	}
	until := p.now
	for _, v := range victims {
		p.stop(v, j.Spec.ID)
		until = later(until, p.now.Add(v.Spec.Grace))
	}
	p.reserveSpots(j, spots, until)
	p.withhold(j, spots)
	return true
}

// totalMoveCost returns the accelerator seconds lost by checkpointing the jobs, and the total size of the jobs.
func (p *planner) totalMoveCost(jobs []*Job) (cost float64, size int) {
	for _, v := range jobs {
		cost += moveCost(v)
		size += v.Spec.Shape.Size()
	}
	return cost, size
}

// jobsToPreempt returns the eligible jobs that must be stopped to free the spots, on each node those with the lowest
// cost first.
func (p *planner) jobsToPreempt(spots []spot, perTask Amount, eligible func(*Job) bool) []*Job {
	var out []*Job
	for _, s := range spots {
		n := &p.nodes[s.node]
		room := n.free()
		var allocations []allocation
		for _, u := range n.allocations {
			switch {
			case slices.Contains(out, u.job):
				room = room.Plus(u.amount)
			case eligible(u.job):
				allocations = append(allocations, u)
			}
		}
		slices.SortFunc(allocations, func(a, b allocation) int {
			return cmp.Or(cmp.Compare(moveCost(a.job), moveCost(b.job)), bySequence(a.job, b.job))
		})
		for _, u := range allocations {
			if perTask.Times(s.tasks).FitsIn(room) {
				break
			}
			room = room.Plus(u.amount)
			out = append(out, u.job)
		}
	}
	return out
}
