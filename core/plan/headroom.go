package plan

import (
	"time"

	"wagtailhoist/core/model"
)

const (
	// headroomDivisor sets the share of the accelerators that is kept reclaimable for urgent work: one in twenty.
	headroomDivisor = 20
	// minHeadroomGPUs is the smallest headroom of a cell or a quota, in accelerators.
	minHeadroomGPUs = 4
)

// headroomMaxWait is the wait after which a job that the headroom blocks goes before other slow jobs.
const headroomMaxWait = 24 * time.Hour

// chooseNextSlowJob chooses the first submitted of the jobs that the headroom has blocked for longer than
// headroomMaxWait. Without it, a steady flow of small slow jobs kept large ones from ever starting.
func (p *planner) chooseNextSlowJob(jobs []*Job) {
	for _, j := range jobs {
		older := p.nextSlowJob == nil || j.Sequence < p.nextSlowJob.Sequence
		if older && p.now.Sub(j.Submitted) > headroomMaxWait && p.overQuota(j).Code == 0 && p.exceedsHeadroom(j) {
			p.nextSlowJob = j
		}
	}
}

// exceedsHeadroom reports whether the job is slow to stop and would leave less than the headroom. Urgent jobs are exempt.
// A slow job may always run if no other slow job runs.
func (p *planner) exceedsHeadroom(j *Job) bool {
	if stopsForUrgent(j) || j.Spec.Urgent || p.slowToStop == 0 {
		return false
	}
	return p.headroomDeficit()+j.Spec.Shape.Size() > 0
}

// headroomLimited reports whether a job must stay off the workers on which it would take from the headroom: because it
// would use up the headroom, or because another slow job goes first.
func (p *planner) headroomLimited(j *Job) bool {
	if p.nextSlowJob != nil && p.nextSlowJob != j && !stopsForUrgent(j) && !j.Spec.Urgent {
		return true
	}
	return p.exceedsHeadroom(j)
}

// exceedsTeamHeadroom reports whether a job that is slow to stop would fill the quota of its team with slow jobs, so
// that an urgent job of the team could not start in time. A slow job may always run if the team runs no other.
func (p *planner) exceedsTeamHeadroom(j *Job) bool {
	t := p.state.Team(j.Spec.Team)
	if t == nil || t.Quota == 0 || stopsForUrgent(j) || j.Spec.Urgent {
		return false
	}
	if p.slowByTeam == nil {
		p.slowByTeam = p.slowUsageByTeam()
	}
	slow := p.slowByTeam[t.Name]
	return slow > 0 && slow+j.Spec.Shape.Size() > t.Quota-minHeadroomGPUs
}

// slowUsageByTeam counts the accelerators of borrowers that can't be stopped in time for urgent work, by team.
func (p *planner) slowUsageByTeam() map[model.Team]int {
	out := map[model.Team]int{}
	for i := range p.nodes {
		if p.nodes[i].slowToStop == 0 {
			continue
		}
		for _, u := range p.nodes[i].allocations {
			if !u.job.Anchored && !stopsForUrgent(u.job) {
				out[u.job.Spec.Team] += u.amount.GPUs
			}
		}
	}
	return out
}

// roomOutsideHeadroom limits a search to workers on which a slow job takes nothing from the headroom, because all their
// accelerators are already unavailable to urgent work.
func (p *planner) roomOutsideHeadroom(room func(int) Amount) func(int) Amount {
	return func(i int) Amount {
		if p.nodes[i].unavailableToUrgent(1) > p.nodes[i].unavailableToUrgent(0) {
			return Amount{}
		}
		return room(i)
	}
}

// unavailableToUrgent returns how many accelerators of a node urgent work can't have in time if all guarantees are
// claimed and slow borrowers hold extraSlow more of them. The anchors and the slow borrowers are added up to at most
// the size of the node, since a slow borrower on an anchor is stopped by the claim and must not count twice.
func (n *node) unavailableToUrgent(extraSlow int) int {
	sum := n.slowToStop + extraSlow
	for _, t := range n.anchorParts {
		sum += t.amount.GPUs
	}
	return min(sum, n.capacity.GPUs)
}

// sumUnavailableToUrgent sums up node.unavailableToUrgent over the usable workers.
func (p *planner) sumUnavailableToUrgent() int {
	sum := 0
	for i := range p.nodes {
		if n := &p.nodes[i]; n.usable {
			sum += n.unavailableToUrgent(0)
		}
	}
	return sum
}

// headroomCost returns by how many accelerators starting the job on the spots reduces the headroom.
func (p *planner) headroomCost(j *Job, spots []spot) int {
	sum := 0
	if stopsForUrgent(j) {
		return 0
	}
	for _, s := range spots {
		n := &p.nodes[s.node]
		sum += n.unavailableToUrgent(s.tasks*j.Spec.Shape.GPUs) - n.unavailableToUrgent(0)
	}
	return sum
}

// headroomGain returns by how many accelerators stopping a slow job increases the headroom.
func (p *planner) headroomGain(j *Job) int {
	sum := 0
	for _, s := range j.Slots {
		if i, ok := p.byID[s.Worker]; ok && p.nodes[i].usable {
			sum += p.nodes[i].unavailableToUrgent(0) - p.nodes[i].unavailableToUrgent(-s.GPUs)
		}
	}
	return sum
}

// headroomDeficit returns how many accelerators the headroom lacks if all guarantees are claimed; it is negative if
// there is a surplus.
func (p *planner) headroomDeficit() int {
	return p.unavailableToUrgent + max(p.totalGPUs/headroomDivisor, minHeadroomGPUs) - p.totalGPUs
}

// restoreHeadroom stops the slow job with the lowest cost if the loss of workers or the move of an anchor has used up
// the headroom. It prefers a job that restores the headroom by itself, and does nothing while a slow job is already
// being stopped. A slow job that runs alone is kept, because it would be started again at once.
func (p *planner) restoreHeadroom() {
	deficit := p.headroomDeficit()
	if deficit <= 0 {
		return
	}
	var best, firstSlow *Job
	bestGain, onlyOneSlow := 0, true
	for i := range p.nodes {
		if p.nodes[i].evacuated {
			// Stopping these jobs frees nothing that urgent work could use.
			continue
		}
		for _, u := range p.nodes[i].allocations {
			j := u.job
			if j.Anchored || stopsForUrgent(j) || j.Spec.Urgent {
				continue
			}
			if firstSlow == nil {
				firstSlow = j
			}
			onlyOneSlow = onlyOneSlow && firstSlow == j
			gain := p.headroomGain(j)
			if gain <= 0 {
				continue
			}
			if p.beingStopped(j) {
				return
			}
			sufficient := gain >= deficit
			if best != nil && bestGain >= deficit && !sufficient {
				continue
			}
			if best == nil || (sufficient && bestGain < deficit) || p.stopCost(j) < p.stopCost(best) {
				best, bestGain = j, gain
			}
		}
	}
	if best != nil && !onlyOneSlow {
		p.stop(best, "")
	}
}
