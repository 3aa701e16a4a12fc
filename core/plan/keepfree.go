package plan

import "time"

const (
	// minKeepFreeWait is how long unmovable jobs wait for room outside the rack that is kept free, at policy.compact 0.
	minKeepFreeWait = 90 * time.Minute
	// compactKeepFreeWait is how much longer they wait at policy.compact 1, and in proportion below.
	compactKeepFreeWait = time.Hour
)

// keepFreeWait returns how long after its submission a job avoids the rack that is kept free. A job that takes most of
// a rack fits on few other racks, so its wait shrinks with policy.compact, down to none at 0.
func (p *planner) keepFreeWait(j *Job) time.Duration {
	wait := minKeepFreeWait + time.Duration(p.state.Policy.Compact*float64(compactKeepFreeWait))
	if j.Spec.Shape.Size() >= p.wideSize {
		wait = time.Duration(p.state.Policy.Compact * float64(wait))
	}
	return wait
}

// chooseKeptFreeRack returns the index of the rack with the most accelerators that are free or hold movable jobs, and
// their number. It returns -1 if there is only one rack.
func (p *planner) chooseKeptFreeRack() (rack, size int) {
	best, most := -1, 0
	if len(p.racks) < 2 {
		return -1, 0
	}
	for r, b := range p.racks {
		sum := 0
		for i := b.lo; i < b.hi; i++ {
			if n := &p.nodes[i]; n.usable {
				sum += n.capacity.GPUs - n.unmovable
			}
		}
		if sum > most {
			best, most = r, sum
		}
	}
	return best, most
}

// avoidsKeptFreeRack reports whether a job currently avoids the rack that is kept free. One rack is kept free of
// unmovable work so that a large block can be had at any time. Jobs that are too large for the other racks or have a
// reservation don't avoid it.
func (p *planner) avoidsKeptFreeRack(j *Job) bool {
	return p.keptFreeRack >= 0 && !movable(j) && !j.Spec.Urgent && p.now.Sub(j.Submitted) < p.keepFreeWait(j) &&
		len(j.ReservedSlots) == 0 && j.Spec.Shape.Size() <= p.totalGPUs-p.keptFreeRackGPUs
}
