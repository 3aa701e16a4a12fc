package room

import (
	"slices"
	"sort"
	"time"

	"wagtailhoist/core/batch"
)

// resources is the number of resources of an amount.
const resources = 3

// vector returns the amounts of each resource.
func vector(a batch.Amount) [resources]int64 { return [resources]int64{a.CPU, a.Memory, a.GPU} }

// maxPlacements bounds the steps of a placing. Work beyond it isn't counted.
const maxPlacements = 1 << 16

// placing places waiting work in its order on the sum of the capacity of a service: each task at the earliest time at which there is room
// for it, and not before the one ahead of it.
type placing struct {
	// now is when the last task was placed, in milliseconds from the time of the forecast. free is the capacity that is free then.
	now  int64
	free [resources]int64
	// total is what is free when all runs have ended.
	total [resources]int64
	ends  ends
	steps int
	// missed is what was last found to have no room in time.
	missed missed
	// popped and scratch are memory of await and take.
	popped  []end
	scratch ends
}

// end is capacity that becomes free at a time.
type end struct {
	at     int64
	amount [resources]int64
}

// newPlacing returns the capacity that the present runs of a service leave. With urgent set, those that work of priority 0 may stop leave
// theirs at once.
func newPlacing(s *Service, urgent bool) *placing {
	p := &placing{free: vector(s.Capacity), total: vector(s.Capacity)}
	freed := map[int64]*[resources]int64{}
	release := func(after time.Duration, amount batch.Amount) {
		key := roundDown(after)
		sum := freed[key]
		if sum == nil {
			sum = &[resources]int64{}
			freed[key] = sum
		}
		for r, n := range vector(amount) {
			sum[r] += n
		}
	}
	for _, back := range s.Returns {
		release(back.After, back.Capacity)
		for r, n := range vector(back.Capacity) {
			p.total[r] += n
		}
	}
	for i := range s.Runs {
		run := &s.Runs[i]
		if run.Remaining <= 0 || urgent && run.Priority > 0 {
			continue
		}
		for r, n := range vector(run.Need) {
			p.free[r] -= n
		}
		release(run.Remaining, run.Need)
	}
	p.ends = make(ends, 0, len(freed)+len(s.Waiting))
	for at, amount := range freed {
		p.ends = append(p.ends, end{at, *amount})
	}
	// A sorted slice is a heap.
	sort.Slice(p.ends, func(i, j int) bool { return p.ends[i].at < p.ends[j].at })
	return p
}

// clone returns a copy that can be changed by itself.
func (p *placing) clone() *placing {
	c := *p
	c.ends = slices.Clone(p.ends)
	return &c
}

// roundDown returns a time in milliseconds, rounded down by at most a 64th, so that the number of ends stays small.
func roundDown(after time.Duration) int64 {
	ms := max(0, after.Milliseconds())
	unit := int64(1)
	for ms/unit >= 128 {
		unit *= 2
	}
	return ms / unit * unit
}

// fitting returns how many tasks of a need there is room for, at most limit.
func fitting(free, need [resources]int64, limit int) int {
	n := int64(limit)
	for r := range need {
		if need[r] > 0 {
			n = min(n, max(0, free[r])/need[r])
		}
	}
	return int(n)
}

// add places the tasks of waiting work. Those that would start when their result is of no use come after all others and don't count.
func (p *placing) add(w *Work) {
	need := vector(w.Need)
	useless, run := w.Useless.Milliseconds(), w.RunTime.Milliseconds()
	if useless <= 0 || useless < p.now || fitting(p.total, need, 1) == 0 || p.missed.covers(need, useless) {
		return
	}
	for left := w.Count; left > 0 && p.steps < maxPlacements; p.steps++ {
		n := fitting(p.free, need, left)
		if n == 0 && !p.await(need, useless) {
			p.missed = missed{need, useless}
			return
		}
		n = fitting(p.free, need, left)
		left -= n
		e := end{at: p.now + run}
		for r := range need {
			e.amount[r] = need[r] * int64(n)
			p.free[r] -= e.amount[r]
		}
		p.ends.push(e)
	}
}

// missed is a need for which there is no room before a time.
type missed struct {
	need  [resources]int64
	until int64
}

// covers reports whether there is no room for a need before a time either. The zero value covers nothing.
func (m *missed) covers(need [resources]int64, until int64) bool {
	if until > m.until {
		return false
	}
	for r := range need {
		if need[r] < m.need[r] {
			return false
		}
	}
	return true
}

// await goes on to the time at which there is room for a need, and reports false, without going on, if that is after a limit.
func (p *placing) await(need [resources]int64, limit int64) bool {
	free := p.free
	p.popped = p.popped[:0]
	for len(p.ends) > 0 && p.ends[0].at <= limit {
		first := p.ends.pop()
		p.popped = append(p.popped, first)
		for r := range free {
			free[r] += first.amount[r]
		}
		if fitting(free, need, 1) > 0 {
			p.now, p.free = max(p.now, first.at), free
			return true
		}
	}
	for _, e := range p.popped {
		p.ends.push(e)
	}
	return false
}

// take records when tasks of the size of a position could start.
func (p *placing) take(at *position) {
	need := vector(at.size.Need)
	for r := range need {
		need[r] *= int64(at.size.Width)
	}
	now, free := p.now, p.free
	if fitting(free, need, 1) == 0 {
		p.scratch = append(p.scratch[:0], p.ends...)
		for len(p.scratch) > 0 && fitting(free, need, 1) == 0 {
			first := p.scratch.pop()
			now = max(now, first.at)
			for r := range free {
				free[r] += first.amount[r]
			}
		}
		if fitting(free, need, 1) == 0 {
			// It would fit only after workers have returned of which nothing is known.
			now = 0
		}
	}
	*at.wait = time.Duration(min(now, maxWait.Milliseconds())) * time.Millisecond / resolution * resolution
}

// ends is a heap by time. It isn't one of container/heap, which allocates memory for each element.
type ends []end

// push adds an end.
func (e *ends) push(added end) {
	h := append(*e, added)
	for i := len(h) - 1; i > 0 && h[(i-1)/2].at > h[i].at; i = (i - 1) / 2 {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
	}
	*e = h
}

// pop removes and returns the first end.
func (e *ends) pop() end {
	h := *e
	first, last := h[0], len(h)-1
	h[0] = h[last]
	h = h[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(h) {
			break
		}
		if child+1 < len(h) && h[child+1].at < h[child].at {
			child++
		}
		if h[i].at <= h[child].at {
			break
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
	*e = h
	return first
}
