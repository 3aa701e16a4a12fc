package plan

import "time"

// rackGPUs is the number of accelerators of a rack of three workers; a larger block can't be had in one rack.
const rackGPUs = 24

// FreeCapacity holds the accelerators of a cell that are free, or held by borrowers that can be checkpointed and gone
// within a minute.
type FreeCapacity struct {
	Total int `json:"total"`
	// Largest is the largest block of them in one rack.
	Largest int `json:"largest"`
}

// Fragmentation returns 1 less the largest block divided by the smaller of the total and a whole rack. It is 0 if
// the block is as large as it can be, and if nothing is free.
func (c FreeCapacity) Fragmentation() float64 {
	if c.Total == 0 {
		return 0
	}
	return 1 - float64(c.Largest)/float64(min(c.Total, rackGPUs))
}

// FreeCapacity returns the accelerators that are free or reclaimable at now, on workers that take work.
func (s *State) FreeCapacity(now time.Time) FreeCapacity {
	x := s.ensureIndex(now)
	var r FreeCapacity
	for _, b := range x.racks {
		sum := 0
		for i := b.lo; i < b.hi; i++ {
			n := &x.nodes[i]
			if !n.ok {
				continue
			}
			sum += n.capacity.GPUs - n.used.GPUs
			for _, u := range n.allocations {
				if u.job.Spec.Guarantee == "" && movable(u.job) {
					sum += u.amount.GPUs
				}
			}
		}
		r.Largest, r.Total = max(r.Largest, sum), r.Total+sum
	}
	return r
}
