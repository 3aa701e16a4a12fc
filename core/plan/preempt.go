package plan

import (
	"cmp"
	"slices"
	"time"

	"wagtailhoist/core/model"
)

const (
	// preemptLead is how many times the score of a job has to be that of the work it displaces.
	preemptLead = 1.2
	// preemptCost is the largest part of a job's own accelerator time that may be lost for it.
	preemptCost = 0.3
	// preemptSize is the largest size of displaced work against that of the job.
	preemptSize = 1.5
	// preemptWait is the wait after which a job may displace others.
	preemptWait = 2 * time.Minute
	// preemptTries is the number of jobs that may look for work to displace in one decision.
	preemptTries = 20
)

// displaceable reports whether a job with this score may displace a running job.
func (p *pass) displaceable(v *Job, score float64) bool {
	if !p.liftable(v) {
		return false
	}
	c := *v
	c.SavedWork += p.now.Sub(v.Started)
	return p.score(&c)*preemptLead <= score
}

// preempt checkpoints running work of a clearly lower score for a job that found no room.
func (p *pass) preempt(j *Job) bool {
	if p.now.Sub(j.Submitted) < preemptWait || p.tries >= preemptTries {
		return false
	}
	p.tries++
	score := p.score(j)
	may := map[model.JobID]bool{}
	eligible := func(v *Job) bool {
		ok, known := may[v.Spec.ID]
		if !known {
			ok = p.displaceable(v, score)
			may[v.Spec.ID] = ok
		}
		return ok
	}
	q := p.jobSearch(j)
	q.room = func(i int) Amount {
		n := &p.nodes[i]
		if !n.ok || len(n.holds) > 0 || slices.Contains(j.Failed, n.id) || (n.rack == p.clean && p.keptOff(j)) {
			return Amount{}
		}
		r := n.free()
		for _, u := range n.uses {
			if eligible(u.job) {
				r = r.Plus(u.amount)
			}
		}
		return n.lend(r, j.Spec.Grace)
	}
	q.cost = func(_ span, at []spot) float64 {
		cost, _ := p.price(p.displaced(at, q.each, eligible))
		return cost
	}
	at := q.best()
	if at == nil {
		return false
	}
	victims := p.displaced(at, q.each, eligible)
	cost, size := p.price(victims)
	own := float64(j.Spec.Shape.Size())
	if cost > preemptCost*p.st.remaining(j).Seconds()*own || float64(size) > preemptSize*own {
		return false
	}
	until := p.now
	for _, v := range victims {
		p.stop(v, j.Spec.ID)
		until = later(until, p.now.Add(v.Spec.Grace))
	}
	p.occupy(j, at, until)
	p.holdNow(j, at)
	return true
}

// price returns the accelerator seconds lost by displacing jobs, and their size.
func (p *pass) price(jobs []*Job) (cost float64, size int) {
	for _, v := range jobs {
		cost += moveCost(v)
		size += v.Spec.Shape.Size()
	}
	return cost, size
}

// displaced returns the jobs that have to leave the spots, the smallest first on each node.
func (p *pass) displaced(at []spot, each Amount, eligible func(*Job) bool) []*Job {
	var out []*Job
	for _, s := range at {
		n := &p.nodes[s.node]
		room := n.free()
		var uses []use
		for _, u := range n.uses {
			switch {
			case slices.Contains(out, u.job):
				room = room.Plus(u.amount)
			case eligible(u.job):
				uses = append(uses, u)
			}
		}
		slices.SortFunc(uses, func(a, b use) int {
			return cmp.Or(cmp.Compare(moveCost(a.job), moveCost(b.job)), bySequence(a.job, b.job))
		})
		for _, u := range uses {
			if each.Times(s.tasks).FitsIn(room) {
				break
			}
			room = room.Plus(u.amount)
			out = append(out, u.job)
		}
	}
	return out
}
