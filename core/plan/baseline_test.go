package plan

import "time"

// firstFit is a baseline policy. It starts jobs in order of arrival on the first workers that fit.
func firstFit(now time.Time, s *State) Decision {
	clear(s.History) // Baselines go by declared times.
	p := newPlanner(now, s)
	p.keptFreeRack = -1
	p.stopCancelled()
	for _, j := range p.queue {
		if p.permanentReason(withoutGuarantee(j)).Code != 0 || p.overQuota(j).Code != 0 {
			continue
		}
		q := p.jobSearch(j)
		for _, b := range p.blocks(j.Spec.Shape.Adjacent) {
			if spots := firstFitIn(q, b); spots != nil {
				p.start(j, spots, false)
				break
			}
		}
	}
	return p.d
}

// withoutGuarantee returns a copy of a job without its guarantee, since the baselines don't support guarantees.
func withoutGuarantee(j *Job) *Job {
	c := *j
	c.Spec.Guarantee = ""
	return &c
}

func firstFitIn(q *search, b nodeRange) []spot {
	var spots []spot
	need := q.shape.Tasks
	for i := b.lo; i < b.hi && need > 0; i++ {
		if n := tasksThatFit(q.room(i), q.perTask, need); n > 0 {
			spots = append(spots, spot{i, n})
			need -= n
		}
	}
	if need > 0 {
		return nil
	}
	return spots
}

// bestFit is a baseline policy. It starts jobs in order of arrival on the fullest workers that fit. The first job that
// doesn't fit gets a reservation by declared times, and others are backfilled around it.
func bestFit(now time.Time, s *State) Decision {
	clear(s.History) // Baselines go by declared times.
	p := newPlanner(now, s)
	p.keptFreeRack = -1
	p.stopCancelled()
	for _, j := range p.queue {
		if p.permanentReason(withoutGuarantee(j)).Code != 0 || p.overQuota(j).Code != 0 {
			continue
		}
		if spots := p.jobSearch(j).cheapest(); spots != nil {
			p.start(j, spots, false)
		} else if len(p.reserved) == 0 {
			if spots, due := p.earliestStart(j); spots != nil {
				p.reserveSpots(j, spots, due)
			}
		}
	}
	return p.d
}
