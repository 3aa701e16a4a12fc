package plan

import (
	"time"

	"wagtailhoist/core/model"
)

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

// spared reports whether a job that is slow to stop might leave too little for urgent work, if all
// guarantees were claimed. A slow job may always run if no other does.
func (p *pass) spared(j *Job) bool {
	if p.slowFirst != nil && p.slowFirst != j && !brisk(j) && !j.Spec.Urgent {
		return true
	}
	return p.crowdsAlone(j)
}

// tight reports whether a job that is slow to stop would fill the quota of its team with slow work,
// so that an urgent job of the team could not have any of it in time. A slow job may always run if
// the team runs no other.
func (p *pass) tight(j *Job) bool {
	t := p.st.Team(j.Spec.Team)
	if t == nil || t.Quota == 0 || brisk(j) || j.Spec.Urgent {
		return false
	}
	if p.slowOf == nil {
		p.slowOf = p.slowUse()
	}
	slow := p.slowOf[t.Name]
	return slow > 0 && slow+j.Spec.Shape.Size() > t.Quota-headroomLeast
}

// slowUse counts the accelerators of each team's borrowers that can't leave for urgent work in time.
func (p *pass) slowUse() map[model.Team]int {
	out := map[model.Team]int{}
	for i := range p.nodes {
		if p.nodes[i].slow == 0 {
			continue
		}
		for _, u := range p.nodes[i].uses {
			if !u.job.Anchored && !brisk(u.job) {
				out[u.job.Spec.Team] += u.amount.GPUs
			}
		}
	}
	return out
}

// spareRoom limits a search to workers on which a slow job takes nothing from the headroom: urgent
// work can't have the anchors there in any case.
func (p *pass) spareRoom(room func(int) Amount) func(int) Amount {
	return func(i int) Amount {
		if p.nodes[i].bound(1) > p.nodes[i].bound(0) {
			return Amount{}
		}
		return room(i)
	}
}

// bound returns how many accelerators of a node urgent work can't have in time if all guarantees are
// claimed and slow borrowers hold more of them. A slow borrower on an anchor leaves for the claim,
// so that both count once.
func (n *node) bound(more int) int {
	sum := n.slow + more
	for _, t := range n.ties {
		sum += t.amount.GPUs
	}
	return min(sum, n.cap.GPUs)
}

// boundNow sums up bound over the usable workers.
func (p *pass) boundNow() int {
	sum := 0
	for i := range p.nodes {
		if n := &p.nodes[i]; n.ok {
			sum += n.bound(0)
		}
	}
	return sum
}

// binds returns how many accelerators a start on the spots takes from the headroom.
func (p *pass) binds(j *Job, at []spot) int {
	sum := 0
	if brisk(j) {
		return 0
	}
	for _, s := range at {
		n := &p.nodes[s.node]
		sum += n.bound(s.tasks*j.Spec.Shape.GPUs) - n.bound(0)
	}
	return sum
}

// frees returns how many accelerators the headroom gains when a slow job leaves.
func (p *pass) frees(j *Job) int {
	sum := 0
	for _, s := range j.Slots {
		if i, ok := p.byID[s.Worker]; ok && p.nodes[i].ok {
			sum += p.nodes[i].bound(0) - p.nodes[i].bound(-s.GPUs)
		}
	}
	return sum
}

// lacking returns how many accelerators the headroom lacks if all guarantees are claimed; negative
// if there are more.
func (p *pass) lacking() int {
	return p.bound + max(p.size/headroomShare, headroomLeast) - p.size
}

// restoreHeadroom stops the slow job whose loss is least, if a loss of workers or the move of an
// anchor has used up the headroom and no slow job is leaving yet. A slow job that runs alone stays: it
// would be started again at once.
func (p *pass) restoreHeadroom() {
	lack := p.lacking()
	if lack <= 0 {
		return
	}
	var best, first *Job
	most, alone := 0, true
	for i := range p.nodes {
		for _, u := range p.nodes[i].uses {
			j := u.job
			if j.Anchored || brisk(j) || j.Spec.Urgent {
				continue
			}
			if first == nil {
				first = j
			}
			alone = alone && first == j
			gain := p.frees(j)
			if gain <= 0 {
				continue
			}
			if p.leaving(j) {
				return
			}
			enough := gain >= lack
			if best != nil && most >= lack && !enough {
				continue
			}
			if best == nil || (enough && most < lack) || p.loss(j) < p.loss(best) {
				best, most = j, gain
			}
		}
	}
	if best != nil && !alone {
		p.stop(best, "")
	}
}
