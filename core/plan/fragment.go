package plan

import "time"

// rackGPUs is the number of accelerators of a rack of three workers, the largest possible block in one rack.
const rackGPUs = 24

// FreeCapacity counts the accelerators of a cell that are free, or held by jobs that claim no guarantee and can be
// checkpointed within a minute.
type FreeCapacity struct {
	Total int `json:"total"`
	// Largest is the largest number of them in one rack.
	Largest int `json:"largest"`
}

// Fragmentation returns 1 minus the ratio of Largest to the smaller of Total and a whole rack. It is 0 if the largest
// block is as large as possible, or if Total is 0.
func (c FreeCapacity) Fragmentation() float64 {
	if c.Total == 0 {
		return 0
	}
	return 1 - float64(c.Largest)/float64(min(c.Total, rackGPUs))
}

// FreeCapacity counts the accelerators that are free or reclaimable at now on usable workers.
func (s *State) FreeCapacity(now time.Time) FreeCapacity {
	x := s.ensureIndex(now)
	var r FreeCapacity
	for _, b := range x.racks {
		sum := 0
		for i := b.lo; i < b.hi; i++ {
			n := &x.nodes[i]
			if !n.usable {
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
