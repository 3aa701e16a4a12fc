package room

import (
	"math"

	"wagtailhoist/core/batch"
)

// maxPlacements bounds the steps of an inOrder. What is added beyond it isn't counted.
const maxPlacements = 4096

// inOrder places tasks of one need in their order, each at the earliest time at which the capacity for it is free.
type inOrder struct {
	need batch.Amount
	// free holds the free slots by the time at which they become free.
	free slots
	// placed is the time at which the last task was placed.
	placed float64
	steps  int
}

// slotGroup is a number of slots for a task that become free at a time, in seconds.
type slotGroup struct {
	at    float64
	count int
}

// slots is a heap of groups by their time. It isn't one of container/heap, which allocates memory for each group.
type slots []slotGroup

// push adds a group.
func (s *slots) push(g slotGroup) {
	h := append(*s, g)
	for i := len(h) - 1; i > 0 && h[(i-1)/2].at > h[i].at; i = (i - 1) / 2 {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
	}
	*s = h
}

// sink restores the order after the time of the first group has become later.
func (s slots) sink() {
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(s) {
			return
		}
		if child+1 < len(s) && s[child+1].at < s[child].at {
			child++
		}
		if s[i].at <= s[child].at {
			return
		}
		s[i], s[child] = s[child], s[i]
		i = child
	}
}

// newInOrder returns the slots for tasks of a need that a supply has.
func newInOrder(u *supply, need batch.Amount) *inOrder {
	o := &inOrder{need: need}
	before := 0
	for i := range u.at {
		count := math.Inf(1)
		for r, n := range vector(need) {
			if n > 0 {
				count = min(count, math.Floor(u.amount[i][r]/n))
			}
		}
		if math.IsInf(count, 1) {
			return o
		}
		if n := int(count) - before; n > 0 {
			// The steps are in the order of time, so that the slice is a heap.
			o.free = append(o.free, slotGroup{u.at[i], n})
			before += n
		}
	}
	return o
}

// add places waiting work, if its tasks have the same need.
func (o *inOrder) add(w *Work) {
	if w.Need != o.need {
		return
	}
	for left := w.Count; left > 0 && len(o.free) > 0 && o.steps < maxPlacements; o.steps++ {
		group := &o.free[0]
		n := min(left, group.count)
		o.placed = max(o.placed, group.at)
		left -= n
		end := slotGroup{o.placed + w.RunTime.Seconds(), n}
		if group.count -= n; group.count == 0 {
			o.free[0] = end
			o.free.sink()
		} else {
			o.free.push(end)
		}
	}
}

// next returns when another task of the need can be placed, in seconds.
func (o *inOrder) next() float64 {
	if len(o.free) == 0 {
		return 0
	}
	return max(o.placed, o.free[0].at)
}
