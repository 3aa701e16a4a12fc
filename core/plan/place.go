package plan

import (
	"cmp"
	"slices"

	"wagtailhoist/core/model"
)

// MaxTasks is the largest number of tasks of a gang.
const MaxTasks = 64

// spot is a number of tasks on one node.
type spot struct{ node, tasks int }

// validShape reports whether a shape is well formed.
func validShape(s model.Shape) bool {
	known := s.Adjacent == model.SameCentre || s.Adjacent == model.SameRack || s.Adjacent == model.SameWorker
	return known && s.Tasks >= 1 && s.Tasks <= MaxTasks && s.GPUs >= 0 && s.Cores >= 0 && s.Memory >= 0 &&
		s.GPUs+s.Cores+s.Memory > 0
}

// search looks for nodes with room for the tasks of one shape.
type search struct {
	v     *view
	shape model.Shape
	// perTask is the resources of one task.
	perTask Amount
	// centre limits the search to one data centre; empty means any.
	centre model.Centre
	// room returns the resources on a node that the shape may use.
	room func(i int) Amount
	// cost ranks blocks; the lowest wins. If nil, blocks are ranked by the accelerators left over in the block.
	cost func(b nodeRange, spots []spot) float64
	// rank orders the nodes of a block; the lowest are filled first. If nil, the node with the fewest free accelerators is
	// used if one node holds all tasks, and otherwise those with the most are filled first.
	rank func(i int) float64
	// min holds the number of tasks that must stay on each node; it may be nil.
	min map[int]int
}

// blocks returns the ranges of nodes inside which the adjacency allows a shape to be placed.
func (v *view) blocks(adj model.Adjacency) []nodeRange {
	switch adj {
	case model.SameRack:
		return v.racks
	case model.SameWorker:
		return v.singleNodes
	}
	return v.centres
}

// inCentre reports whether a block lies in the data centre.
func (v *view) inCentre(b nodeRange, c model.Centre) bool {
	if c == "" {
		return true
	}
	for _, s := range v.centres {
		if s.name == string(c) {
			return b.lo >= s.lo && b.hi <= s.hi
		}
	}
	return false
}

// cheapest returns the spots in the block with the lowest cost, or nil if no block has room for the shape.
func (q *search) cheapest() []spot {
	var out []spot
	var lowestCost float64
	for _, b := range q.v.blocks(q.shape.Adjacent) {
		if !q.v.inCentre(b, q.centre) {
			continue
		}
		spots, left := q.placeInBlock(b)
		if spots == nil {
			continue
		}
		c := float64(left)
		if q.cost != nil {
			c = q.cost(b, spots)
		}
		if out == nil || c < lowestCost {
			out, lowestCost = spots, c
		}
		if c == 0 && q.cost == nil {
			break
		}
	}
	return out
}

// candidate is a node that has room for at least one task of a shape: fit is the number of tasks that it has room for,
// and assigned the number that are placed on it.
type candidate struct {
	node, fit, free, assigned int
	rank                      float64
}

// candidates appends the nodes of a block that have room for tasks to cands, and counts the accelerators free in the
// block. It returns nil if the block can't hold the shape.
func (q *search) candidates(b nodeRange, cands []candidate) ([]candidate, int) {
	total, left := 0, 0
	for i := b.lo; i < b.hi; i++ {
		r := q.room(i)
		fit := tasksThatFit(r, q.perTask, q.shape.Tasks)
		if q.min != nil && fit < q.min[i] {
			return nil, 0
		}
		left += max(r.GPUs, 0)
		if fit > 0 {
			total += fit
			cands = append(cands, candidate{node: i, fit: fit, free: r.GPUs})
		}
	}
	if total < q.shape.Tasks {
		q.v.cands = cands
		return nil, 0
	}
	if q.rank != nil && len(cands) > 1 {
		for k := range cands {
			cands[k].rank = q.rank(cands[k].node)
		}
	}
	if len(cands) > 1 {
		slices.SortFunc(cands, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.free, b.free), cmp.Compare(a.node, b.node))
		})
	}
	return cands, left
}

// placeInBlock returns spots for the shape inside a block, on a single node if one has room, and the number of
// accelerators left over in the block. It returns nil if the shape doesn't fit.
func (q *search) placeInBlock(b nodeRange) ([]spot, int) {
	for i, n := range q.min {
		if n > 0 && (i < b.lo || i >= b.hi) {
			return nil, 0
		}
	}
	cands, left := q.candidates(b, q.v.cands[:0])
	if cands == nil {
		return nil, 0
	}
	q.v.cands = cands
	need := q.shape.Tasks
	for k := range cands {
		c := &cands[k]
		if q.min != nil {
			c.assigned = q.min[c.node]
			need -= c.assigned
		}
	}
	// Use a single node for the remaining tasks, if one has room, rather than spreading them.
	for k := 0; k < len(cands) && need > 0; k++ {
		if c := &cands[k]; c.fit-c.assigned >= need {
			c.assigned += need
			need = 0
		}
	}
	for k := 0; k < len(cands) && need > 0; k++ {
		c := &cands[k]
		if q.rank == nil {
			c = &cands[len(cands)-1-k]
		}
		n := min(c.fit-c.assigned, need)
		c.assigned += n
		need -= n
	}
	spots := make([]spot, 0, min(len(cands), q.shape.Tasks))
	for _, c := range cands {
		if c.assigned > 0 {
			spots = append(spots, spot{c.node, c.assigned})
		}
	}
	if need > 0 || len(spots) == 0 {
		return nil, 0
	}
	return spots, left - q.shape.Size()
}

// maxTasksInBlock returns the largest number of tasks of the shape that any one block has room for.
func (q *search) maxTasksInBlock() int {
	maxTasks := 0
	for _, b := range q.v.blocks(q.shape.Adjacent) {
		n := 0
		for i := b.lo; i < b.hi && q.v.inCentre(b, q.centre); i++ {
			n += tasksThatFit(q.room(i), q.perTask, q.shape.Tasks)
		}
		maxTasks = max(maxTasks, n)
	}
	return maxTasks
}
