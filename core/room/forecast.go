package room

import (
	"slices"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

const (
	// maxNeeds and maxObjectives bound the points of a queue's forecast, so that the forecast of 20 queues takes at most MaxEncoded.
	maxNeeds, maxObjectives = 3, 8
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
}

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
		if needs, objectives := service.points(q); len(needs) > 0 {
			f.Queues = append(f.Queues, QueueForecast{
				Name: q.Name, Needs: needs, Objectives: objectives, Waits: make([]time.Duration, len(needs)*len(objectives)),
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
	queue *QueueForecast
	// objective is the index of the objective whose work has this place.
	objective int
	priority  int
	deadline  time.Duration
}

// before reports whether work at the position is placed before w.
func (p *position) before(w *Work) bool {
	return !w.First && (p.priority < w.Priority || p.priority == w.Priority && p.deadline <= w.Deadline)
}

// fill places the waiting work of a service and takes the forecasts of its queues meanwhile: of those of priority 0 if urgent is set, and
// of the others if it isn't.
func (s *State) fill(f *Forecast, name string, service *Service, urgent bool) {
	var positions []position
	for i := range f.Queues {
		q := &f.Queues[i]
		declared := &s.Queues[slices.IndexFunc(s.Queues, func(d Queue) bool { return d.Name == q.Name })]
		if declared.Service != name || urgent != (declared.Priority == 0) {
			continue
		}
		for o, deadline := range q.Objectives {
			positions = append(positions, position{q, o, declared.Priority, deadline})
		}
	}
	if len(positions) == 0 {
		return
	}
	slices.SortStableFunc(positions, func(a, b position) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return int(a.deadline - b.deadline)
	})
	placing := newPlacing(service, urgent)
	for i := range service.Waiting {
		w := &service.Waiting[i]
		for len(positions) > 0 && positions[0].before(w) {
			placing.take(&positions[0])
			positions = positions[1:]
		}
		if len(positions) == 0 {
			return
		}
		placing.add(w)
	}
	for i := range positions {
		placing.take(&positions[i])
	}
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

// points returns the needs and objectives for which the forecast of a queue is made: the smallest need of each resource and the most
// frequent ones of its waiting work, and the smallest objective and quantiles of those of its waiting work.
func (s *Service) points(q *Queue) ([]batch.Amount, []time.Duration) {
	tasks := map[batch.Amount]int{}
	var objectives []time.Duration
	var least batch.Amount
	for i := range s.Waiting {
		w := &s.Waiting[i]
		if w.Queue != q.Name || w.Useless <= 0 {
			continue
		}
		if len(tasks) == 0 {
			least = w.Need
		}
		least = batch.Amount{CPU: min(least.CPU, w.Need.CPU), Memory: min(least.Memory, w.Need.Memory), GPU: min(least.GPU, w.Need.GPU)}
		tasks[w.Need] += w.Count
		objectives = append(objectives, w.Objective)
	}
	if len(tasks) == 0 {
		return nil, nil
	}
	var needs []batch.Amount
	for need := range tasks {
		if need != least {
			needs = append(needs, need)
		}
	}
	slices.SortFunc(needs, func(a, b batch.Amount) int {
		if tasks[a] != tasks[b] {
			return tasks[b] - tasks[a]
		}
		return compareAmounts(a, b)
	})
	needs = append([]batch.Amount{least}, needs[:min(len(needs), maxNeeds-1)]...)
	slices.Sort(objectives)
	points := []time.Duration{roundUp(q.Target)}
	for i := range maxObjectives - 1 {
		points = append(points, roundUp(objectives[(len(objectives)-1)*i/max(1, maxObjectives-2)]))
	}
	slices.Sort(points)
	return needs, slices.Compact(points)
}

func compareAmounts(a, b batch.Amount) int {
	switch {
	case a.GPU != b.GPU:
		return int(a.GPU - b.GPU)
	case a.CPU != b.CPU:
		return int(a.CPU - b.CPU)
	}
	return int(a.Memory - b.Memory)
}

// roundUp rounds an objective up to the resolution.
func roundUp(d time.Duration) time.Duration {
	return (min(max(d, 0), maxObjective) + resolution - 1) / resolution * resolution
}

// maxWait is the longest forecast; longer ones are cut to it.
const maxWait = 24 * time.Hour
