package room

import (
	"slices"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

const (
	// maxNeeds and maxObjectives bound the points of a queue's forecast, so that the forecast of 20 queues takes at most MaxEncoded.
	maxNeeds, maxObjectives = 4, 4
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
	// Restricted reports whether the tasks can't run on any worker that has room for one of them: a gang or a step that needs a label,
	// for example. It isn't counted as ahead of others.
	Restricted bool
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
	// Use is the capacity that each team uses, in cores.
	Use map[model.Team]float64
}

// Forecast returns when work of each queue could start at the earliest. Queues whose work needn't wait are left out.
func (s *State) Forecast() Forecast {
	var f Forecast
	prepared := map[string]*service{}
	for i := range s.Queues {
		q := &s.Queues[i]
		declared := s.Services[q.Service]
		if declared == nil || len(declared.Waiting) == 0 || declared.Capacity == (batch.Amount{}) {
			// Without a usable worker nothing is known of when there will be one.
			continue
		}
		prep := prepared[q.Service]
		if prep == nil {
			prep = prepare(declared)
			prepared[q.Service] = prep
		}
		if qf, ok := prep.forecast(q); ok {
			f.Queues = append(f.Queues, qf)
		}
	}
	if len(f.Queues) > 0 {
		f.Teams = shares(s.Use)
	}
	return f
}

// shares returns the use of the teams with the highest use, relative to the highest one.
func shares(use map[model.Team]float64) []TeamShare {
	var teams []TeamShare
	highest := 0.0
	for team, cores := range use {
		if cores > 0 {
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

// service is a service that is prepared for the forecasts of its queues.
type service struct {
	waiting []*Work
	// supply is the capacity that becomes available to work that stops no other, urgentSupply that to work of priority 0.
	supply, urgentSupply *supply
}

func prepare(s *Service) *service {
	prep := &service{supply: newSupply(s, false), urgentSupply: newSupply(s, true)}
	prep.waiting = inTime(s.Waiting, prep.supply)
	return prep
}

// inTime returns the work that can still start before it is useless. Other work comes after all that isn't useless by then.
func inTime(waiting []Work, s *supply) []*Work {
	kept := make([]*Work, 0, len(waiting))
	var volume [resources]float64
	for i := range waiting {
		w := &waiting[i]
		if w.Count <= 0 || w.Useless <= 0 || s.drained(&volume) > w.Useless.Seconds() {
			continue
		}
		need := vector(w.Need)
		work := float64(w.Count) * w.RunTime.Seconds()
		for r := range volume {
			volume[r] += need[r] * work
		}
		kept = append(kept, w)
	}
	return kept
}

// forecast returns the forecast of a queue, and whether any of its work has to wait.
func (s *service) forecast(q *Queue) (QueueForecast, bool) {
	needs, objectives := s.points(q)
	if len(needs) == 0 {
		return QueueForecast{}, false
	}
	supply := s.supply
	if q.Priority == 0 {
		supply = s.urgentSupply
	}
	qf := QueueForecast{Name: q.Name, Needs: needs, Objectives: objectives}
	waits := false
	for _, need := range needs {
		for _, wait := range s.waits(q, supply, need, objectives) {
			waits = waits || wait > 0
			qf.Waits = append(qf.Waits, wait)
		}
	}
	return qf, waits
}

// points returns the needs and objectives for which the forecast of a queue is made: the smallest need of each resource and the most
// frequent ones of its waiting work, and the smallest objective and quantiles of those of its waiting work.
func (s *service) points(q *Queue) ([]batch.Amount, []time.Duration) {
	tasks := map[batch.Amount]int{}
	var objectives []time.Duration
	var least batch.Amount
	for _, w := range s.waiting {
		if w.Queue != q.Name {
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
	points := []time.Duration{q.Target}
	for i := range maxObjectives - 1 {
		points = append(points, objectives[(len(objectives)-1)*i/max(1, maxObjectives-2)])
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

// waits returns the forecast for tasks of a need, for each objective. objectives are in ascending order, so that the work ahead of one
// contains that ahead of the one before.
func (s *service) waits(q *Queue, supply *supply, need batch.Amount, objectives []time.Duration) []time.Duration {
	volume := demand{}
	queued := newInOrder(supply, need)
	next := 0
	var waits []time.Duration
	record := func() {
		wait := max(supply.earliest(&volume, need), queued.next())
		if n := len(waits); n > 0 {
			// More work is ahead of a longer objective; rounding may hide that.
			wait = max(wait, waits[n-1].Seconds())
		}
		waits = append(waits, duration(wait))
	}
	// The work ahead of all objectives comes first; within the priority, work follows in the order of its deadlines.
	own := make([]*Work, 0, len(s.waiting))
	for _, w := range s.waiting {
		switch {
		case w.Restricted || !need.Contains(w.Need):
		case w.First || w.Priority < q.Priority:
			volume.add(w)
			queued.add(w)
		case w.Priority == q.Priority:
			own = append(own, w)
		}
	}
	for _, objective := range objectives {
		for next < len(own) && own[next].Deadline < objective {
			volume.add(own[next])
			queued.add(own[next])
			next++
		}
		record()
	}
	return waits
}

// duration rounds a time in seconds down to milliseconds, as it is sent.
func duration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxWait.Seconds())*1000) * time.Millisecond
}

// maxWait is the longest forecast; longer ones are cut to it.
const maxWait = 24 * time.Hour
