package plan

import "time"

const (
	// minKeepFreeWait is how long work that can't be moved waits for room outside the cleanest rack
	// if only completion time counts.
	minKeepFreeWait = 90 * time.Minute
	// compactKeepFreeWait is how much longer it waits if only fragmentation counts.
	compactKeepFreeWait = time.Hour
)

// keepFreeWait returns how long a job keeps off the cleanest rack. A job that takes most of a rack fits on few
// others, so it waits by the weight of fragmentation only.
func (p *planner) keepFreeWait(j *Job) time.Duration {
	wait := minKeepFreeWait + time.Duration(p.state.Policy.Compact*float64(compactKeepFreeWait))
	if j.Spec.Shape.Size() >= p.wideSize {
		wait = time.Duration(p.state.Policy.Compact * float64(wait))
	}
	return wait
}

// chooseKeptFreeRack returns the rack with the most accelerators that are free or hold movable work and
// their number, or -1 if there is only one rack.
func (p *planner) chooseKeptFreeRack() (rack, size int) {
	best, most := -1, 0
	if len(p.racks) < 2 {
		return -1, 0
	}
	for r, b := range p.racks {
		sum := 0
		for i := b.lo; i < b.hi; i++ {
			if n := &p.nodes[i]; n.ok {
				sum += n.capacity.GPUs - n.unmovable
			}
		}
		if sum > most {
			best, most = r, sum
		}
	}
	return best, most
}

// avoidsKeptFreeRack reports whether a job keeps off the cleanest rack for now: one rack stays free of work
// that can't be moved, so that a large block can be had at any time. A job that is too large for
// the other racks, or that has a reservation, isn't kept waiting.
func (p *planner) avoidsKeptFreeRack(j *Job) bool {
	return p.keptFreeRack >= 0 && !movable(j) && !j.Spec.Urgent && p.now.Sub(j.Submitted) < p.keepFreeWait(j) &&
		len(j.ReservedSlots) == 0 && j.Spec.Shape.Size() <= p.totalGPUs-p.keptFreeRackGPUs
}
