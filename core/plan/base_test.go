package plan

import "time"

// firstFit starts jobs in order of arrival on the first workers that fit.
func firstFit(now time.Time, s *State) Decision {
	clear(s.History) // Baselines go by declared times.
	p := newPass(now, s)
	p.clean = -1
	p.endCancelled()
	for _, j := range p.queue {
		if p.never(plain(j)).Code != 0 || p.overQuota(j).Code != 0 {
			continue
		}
		q := p.jobSearch(j)
		for _, b := range p.blocks(j.Spec.Shape.Adjacent) {
			if at := firstIn(q, b); at != nil {
				p.start(j, at, false)
				break
			}
		}
	}
	return p.d
}

// plain drops the guarantee of a job; the baselines don't know guarantees.
func plain(j *Job) *Job {
	c := *j
	c.Spec.Guarantee = ""
	return &c
}

func firstIn(q *search, b span) []spot {
	var at []spot
	need := q.shape.Tasks
	for i := b.lo; i < b.hi && need > 0; i++ {
		if n := count(q.room(i), q.each, need); n > 0 {
			at = append(at, spot{i, n})
			need -= n
		}
	}
	if need > 0 {
		return nil
	}
	return at
}

// bestFit starts jobs in order of arrival on the fullest workers that fit; the first job that
// doesn't fit gets a reservation by declared times, and others are backfilled around it.
func bestFit(now time.Time, s *State) Decision {
	clear(s.History) // Baselines go by declared times.
	p := newPass(now, s)
	p.clean = -1
	p.endCancelled()
	for _, j := range p.queue {
		if p.never(plain(j)).Code != 0 || p.overQuota(j).Code != 0 {
			continue
		}
		if at := p.jobSearch(j).best(); at != nil {
			p.start(j, at, false)
		} else if len(p.booked) == 0 {
			if at, due := p.earliest(j); at != nil {
				p.occupy(j, at, due)
			}
		}
	}
	return p.d
}
