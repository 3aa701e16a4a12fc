package room

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

const (
	// maxObjectives bounds the objectives for which a queue's forecast is made. With three sizes for each, the forecast of 20 queues takes
	// at most MaxEncoded.
	maxObjectives = 8
	// resolution is the unit in which times are sent. Waits are rounded down, and objectives up.
	resolution = 100 * time.Millisecond
	// maxTeams bounds the teams whose use is sent.
	maxTeams = 16
)

// Run is a run, or several that end at the same time, that use capacity of usable workers.
type Run struct {
	// Need is the sum of what they use.
	Need batch.Amount
	// Remaining is the expected time to its end; 0 for one that is being stopped.
	Remaining time.Duration
	// Priority is that of its queue. Work of priority 0 may stop those of other priorities.
	Priority int
}

// Work is a number of equal tasks that wait.
type Work struct {
	Queue    string
	Priority int
	// First reports whether the work comes before all other: guaranteed work, for example.
	First bool
	// Deadline is the time until the work misses its objective, by which work of one priority is ordered. Useless is the time until
	// its result is of no use, from which on other work comes before it. Both count from now.
	Deadline, Useless time.Duration
	// Objective is the latency objective of the work's job.
	Objective time.Duration
	Need      batch.Amount
	Count     int
	RunTime   time.Duration
	// Gang reports whether the tasks start together.
	Gang bool
	// Restricted reports whether the tasks can't run on any worker that has room for them: a step that needs a label, for example. It
	// isn't counted as ahead of others.
	Restricted bool
}

// size returns the need of the tasks that start together.
func (w *Work) size() Size {
	if w.Gang {
		return Size{w.Need, w.Count}
	}
	return Size{w.Need, 1}
}

// Size is the need of a task, and the number of tasks that start together: more than one for a gang.
type Size struct {
	Need  batch.Amount
	Width int
}

// Contains reports whether there is room for tasks of the other size wherever there is room for tasks of this one.
func (s Size) Contains(other Size) bool { return s.Width >= other.Width && s.Need.Contains(other.Need) }

// cores returns the size as a number, by which sizes are ordered.
func (s Size) cores() float64 { return s.Need.Cores() * float64(s.Width) }

// Return is capacity that becomes usable after a time.
type Return struct {
	After    time.Duration
	Capacity batch.Amount
}

// Service is the state of the workers of a service.
type Service struct {
	// Capacity is that of all usable workers, including what runs use.
	Capacity batch.Amount
	Returns  []Return
	Runs     []Run
	// Waiting is in the order in which it is placed.
	Waiting []Work
}

// Queue is a queue whose jobs may be refused.
type Queue struct {
	Name     string
	Service  string
	Priority int
	// Target is the constant part of the objective, which no objective is below.
	Target time.Duration
}

// State is what is known of all work at a time.
type State struct {
	Services map[string]*Service
	Queues   []Queue
	// Use is the capacity that each team uses.
	Use map[model.Team]batch.Amount
}

// Forecast returns when work of each queue could start at the earliest. Queues whose work needn't wait are left out.
func (s *State) Forecast() Forecast {
	var f Forecast
	for i := range s.Queues {
		q := &s.Queues[i]
		service := s.Services[q.Service]
		if service == nil || service.Capacity == (batch.Amount{}) {
			// Without a usable worker nothing is known of when there will be one.
			continue
		}
		if sizes, objectives := service.points(q); len(sizes) > 0 {
			f.Queues = append(f.Queues, QueueForecast{
				Name: q.Name, Sizes: sizes, Objectives: objectives, Waits: make([]time.Duration, len(sizes)*len(objectives)),
			})
		}
	}
	for name, service := range s.Services {
		s.fill(&f, name, service, false)
		s.fill(&f, name, service, true)
	}
	f.Queues = slices.DeleteFunc(f.Queues, func(q QueueForecast) bool {
		return !slices.ContainsFunc(q.Waits, func(w time.Duration) bool { return w > 0 })
	})
	if len(f.Queues) > 0 {
		f.Teams = shares(s.Use)
	}
	return f
}

// position is a place in the order of the waiting work at which the forecast of a queue is taken.
type position struct {
	size     Size
	priority int
	deadline time.Duration
	// wait is where the forecast is stored.
	wait *time.Duration
}

// before reports whether work at the position is placed before w.
func (p *position) before(w *Work) bool {
	return !w.First && (p.priority < w.Priority || p.priority == w.Priority && p.deadline <= w.Deadline)
}

// fill takes the forecasts of a service's queues: of those of priority 0 if urgent is set, and of the others if it isn't.
func (s *State) fill(f *Forecast, name string, service *Service, urgent bool) {
	var positions []position
	for i := range f.Queues {
		q := &f.Queues[i]
		declared := &s.Queues[slices.IndexFunc(s.Queues, func(d Queue) bool { return d.Name == q.Name })]
		if declared.Service != name || urgent != (declared.Priority == 0) {
			continue
		}
		for n, size := range q.Sizes {
			for o, deadline := range q.Objectives {
				positions = append(positions, position{size, declared.Priority, deadline, &q.Waits[n*len(q.Objectives)+o]})
			}
		}
	}
	if len(positions) == 0 {
		return
	}
	slices.SortStableFunc(positions, func(a, b position) int {
		return cmp.Or(compareSizes(a.size, b.size), cmp.Compare(a.priority, b.priority), cmp.Compare(a.deadline, b.deadline))
	})
	idle := newPlacing(service, urgent)
	for len(positions) > 0 {
		size := positions[0].size
		end := 1
		for end < len(positions) && positions[end].size == size {
			end++
		}
		service.place(idle.clone(), size, positions[:end])
		positions = positions[end:]
	}
}

// place places the waiting work that has room wherever tasks of a size have it, and takes the forecasts for that size meanwhile. Other
// work isn't certain to be placed before them.
func (s *Service) place(p *placing, size Size, positions []position) {
	for i := range s.Waiting {
		w := &s.Waiting[i]
		for len(positions) > 0 && positions[0].before(w) {
			p.take(&positions[0])
			positions = positions[1:]
		}
		if len(positions) == 0 {
			return
		}
		if !w.Restricted && size.Contains(w.size()) {
			p.add(w)
		}
	}
	for i := range positions {
		p.take(&positions[i])
	}
}

func compareSizes(a, b Size) int {
	return cmp.Or(
		cmp.Compare(a.cores(), b.cores()), cmp.Compare(a.Width, b.Width), cmp.Compare(a.Need.GPU, b.Need.GPU),
		cmp.Compare(a.Need.CPU, b.Need.CPU), cmp.Compare(a.Need.Memory, b.Need.Memory),
	)
}

// shares returns the use of the teams with the highest use, relative to the highest one.
func shares(use map[model.Team]batch.Amount) []TeamShare {
	var teams []TeamShare
	highest := 0.0
	for team, amount := range use {
		if cores := amount.Cores(); cores > 0 {
			teams = append(teams, TeamShare{Team: team, Share: cores})
			highest = max(highest, cores)
		}
	}
	slices.SortFunc(teams, func(a, b TeamShare) int {
		switch {
		case a.Share > b.Share || a.Share == b.Share && a.Team < b.Team:
			return -1
		case a == b:
			return 0
		}
		return 1
	})
	teams = teams[:min(len(teams), maxTeams)]
	for i := range teams {
		teams[i].Share /= highest
	}
	return teams
}

// points returns the sizes and objectives for which the forecast of a queue is made: the smallest of each resource and sizes that half
// and nine tenths of the waiting tasks don't exceed, and the smallest objective and quantiles of those of the waiting work.
func (s *Service) points(q *Queue) ([]Size, []time.Duration) {
	tasks := map[Size]int{}
	var objectives []time.Duration
	var least Size
	total := 0
	for i := range s.Waiting {
		w := &s.Waiting[i]
		if w.Queue != q.Name || w.Useless <= 0 {
			continue
		}
		size := w.size()
		if total == 0 {
			least = size
		}
		least.Width = min(least.Width, size.Width)
		for _, r := range []struct{ least, other *int64 }{
			{&least.Need.CPU, &size.Need.CPU}, {&least.Need.Memory, &size.Need.Memory}, {&least.Need.GPU, &size.Need.GPU},
		} {
			*r.least = min(*r.least, *r.other)
		}
		tasks[size] += w.Count
		total += w.Count
		objectives = append(objectives, w.Objective)
	}
	if total == 0 {
		return nil, nil
	}
	distinct := slices.SortedFunc(maps.Keys(tasks), compareSizes)
	sizes := []Size{least}
	seen := 0
	for _, size := range distinct {
		before := seen
		seen += tasks[size]
		for _, share := range []int{5, 9} {
			if before*10 < total*share && seen*10 >= total*share && sizes[len(sizes)-1] != size {
				sizes = append(sizes, size)
			}
		}
	}
	slices.Sort(objectives)
	points := []time.Duration{roundUp(q.Target)}
	for i := range maxObjectives - 1 {
		points = append(points, roundUp(objectives[(len(objectives)-1)*i/max(1, maxObjectives-2)]))
	}
	slices.Sort(points)
	return sizes, slices.Compact(points)
}

// roundUp rounds an objective up to the resolution.
func roundUp(d time.Duration) time.Duration {
	return (min(max(d, 0), maxObjective) + resolution - 1) / resolution * resolution
}

// maxWait is the longest forecast; longer ones are cut to it.
const maxWait = 24 * time.Hour
