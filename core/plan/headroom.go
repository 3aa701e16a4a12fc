package plan

import "time"

const (
	// headroomShare is the part of the accelerators that is kept reclaimable for urgent work: one in
	// twenty.
	headroomShare = 20
	// headroomLeast is the smallest headroom in accelerators.
	headroomLeast = 4
)

// slowWait is the wait after which a job that the headroom blocks goes before other slow jobs.
const slowWait = 24 * time.Hour

// chooseSlow finds the job that has waited longest for the headroom; without it, small slow jobs
// kept large ones from ever starting.
func (p *pass) chooseSlow(jobs []*Job) {
	for _, j := range jobs {
		older := p.slowFirst == nil || j.Sequence < p.slowFirst.Sequence
		if older && p.now.Sub(j.Submitted) > slowWait && p.overQuota(j).Code == 0 && p.crowdsAlone(j) {
			p.slowFirst = j
		}
	}
}

// crowdsAlone reports whether the headroom blocks a job, leaving others that wait out of account.
func (p *pass) crowdsAlone(j *Job) bool {
	if brisk(j) || j.Spec.Urgent || p.slow == 0 {
		return false
	}
	return p.lacking()+j.Spec.Shape.Size() > 0
}

// crowds reports whether a job that is slow to stop would leave too little for urgent work, if all
// guarantees were claimed. A slow job may always run if no other does.
func (p *pass) crowds(j *Job) bool {
	if p.slowFirst != nil && p.slowFirst != j && !brisk(j) && !j.Spec.Urgent {
		return true
	}
	return p.crowdsAlone(j)
}

// lacking returns how many accelerators the headroom lacks if all guarantees are claimed; negative
// if there are more.
func (p *pass) lacking() int {
	return p.tied + p.slow + max(p.size/headroomShare, headroomLeast) - p.size
}

// restoreHeadroom stops the slow job whose loss is least, if a loss of workers has used up the
// headroom and no slow job is leaving yet.
func (p *pass) restoreHeadroom() {
	lack := p.lacking()
	if lack <= 0 || p.slow == 0 {
		return
	}
	var best *Job
	for i := range p.nodes {
		for _, u := range p.nodes[i].uses {
			j := u.job
			if j.Anchored || brisk(j) || j.Spec.Urgent {
				continue
			}
			if p.leaving(j) {
				return
			}
			enough := j.Spec.Shape.Size() >= lack
			if best != nil && best.Spec.Shape.Size() >= lack && !enough {
				continue
			}
			if best == nil || (enough && best.Spec.Shape.Size() < lack) || p.loss(j) < p.loss(best) {
				best = j
			}
		}
	}
	if best != nil {
		p.stop(best, "")
	}
}
