package alloc

import (
	"slices"
	"sort"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

// TeamOrder is how the waiting work of different teams is ordered within a rank; empty means ByDeadline.
type TeamOrder string

const (
	// ByDeadline orders by the time at which steps miss their objective, regardless of their team.
	ByDeadline TeamOrder = "deadline"
	// ByShare lets teams take turns while capacity is short: those that have used less than others by their weight go first.
	ByShare TeamOrder = "share"
)

// usageUnit is the number of units of charge in an accelerator second: thousandths of accelerators times microseconds. Integers
// make the sums independent of the order in which runs are visited.
const usageUnit = 1e9

// milliGPUs returns what a task's use counts for, in thousandths of an accelerator. Without accelerators, cores count at their
// price.
func milliGPUs(step *batch.Step) int64 {
	if step.Need.GPU > 0 {
		return step.Need.GPU * 1000
	}
	return step.Need.CPU / int64(batch.Amount{GPU: 1}.Cores())
}

// uncharged returns what a run has used since it was last charged, in usageUnit, and marks it as charged.
func (t *task) uncharged(now time.Time) int64 {
	since := t.chargedAt
	t.chargedAt = now
	if since.IsZero() || !now.After(since) {
		// A run that an earlier owner has placed counts from when this owner first sees it.
		return 0
	}
	return milliGPUs(&t.job.job.Steps[t.Step]) * now.Sub(since).Microseconds()
}

// chargeRuns adds what all runs have used to the usage of their teams.
func (s *Scheduler) chargeRuns(now time.Time) {
	used := map[model.Team]int64{}
	for _, w := range s.sorted {
		for _, t := range w.runs {
			used[t.job.job.Team] += t.uncharged(now)
		}
	}
	for team, amount := range used {
		s.usage.Use(now, team, float64(amount)/usageUnit)
	}
}

// chargeEnded adds what a run that has ended used to the usage of its team. A zero time adds nothing.
func (s *Scheduler) chargeEnded(now time.Time, t *task) {
	if s.Settings.TeamOrder == ByShare && !now.IsZero() {
		s.usage.Use(now, t.job.job.Team, float64(t.uncharged(now))/usageUnit)
	}
}

// setWeights sets the teams' weights, which are their guarantees.
func (s *Scheduler) setWeights() {
	weights := make(map[model.Team]int64, len(s.policy.Teams))
	for name, team := range s.policy.Teams {
		weights[name] = team.Guarantee
	}
	s.usage.SetWeights(weights)
}

// TeamUsage returns what each team has used recently, in accelerator seconds that lose half of their weight in share.HalfLife. It
// is nil if teams don't take turns.
func (s *Scheduler) TeamUsage(now time.Time) map[model.Team]float64 {
	if s.Settings.TeamOrder != ByShare {
		return nil
	}
	s.chargeRuns(now)
	return s.usage.Amounts(now)
}

// turnGroup identifies the steps among which teams take turns.
type turnGroup struct {
	service string
	rank    int
}

// takeTurns orders the steps of teams that compete for too little capacity by what the teams have used. Other steps keep their
// order.
func (p *plan) takeTurns(steps []*pendingStep) {
	teams := p.competingTeams(steps)
	ranks := map[model.Team]int{}
	common := map[turnGroup]int{}
	for group, names := range teams {
		// The sum of usages must not depend on the order of a map.
		slices.Sort(names)
		common[group] = p.usage.CommonRank(p.now, names)
		for _, name := range names {
			ranks[name] = p.usage.Rank(p.now, name)
		}
	}
	changed := false
	for _, ps := range steps {
		ps.order = ByDeadline
		if group := ps.turnGroup(); ps.takesTurns() && teams[group] != nil {
			ps.order = ByShare
			ps.turn = turn(ranks[ps.job.job.Team], common[group], ps.waited)
			changed = changed || ps.turn != 0
		}
	}
	if changed {
		sort.SliceStable(steps, func(x, y int) bool { return steps[x].precedes(steps[y]) })
	}
}

const (
	// maxHeldBack is the multiple of the objective after which a step isn't held back for what its team has used: only teams with
	// less than their share go before it, and these get no more than their share that way.
	maxHeldBack = 0.5
	// maxOvertaken is the multiple of the objective after which no newer step goes before one: half of the time in which its
	// result is of use, so that it can still be.
	maxOvertaken = tooLateFactor / 2.0
	// firstTurn is before those of all teams.
	firstTurn = -1 << 20
)

// turn returns the place of a step among those of its rank, by how much its team has used in comparison with all that wait.
// waited is the multiple of its objective that has passed.
func turn(team, common int, waited float64) int {
	switch {
	case waited > maxOvertaken:
		return firstTurn
	case waited > maxHeldBack:
		return min(0, team-common)
	}
	return team - common
}

// takesTurns reports whether the step's place depends on its team's usage.
func (ps *pendingStep) takesTurns() bool {
	return !ps.guaranteed && ps.timeliness != tooLate && !ps.step.LongRunning
}

func (ps *pendingStep) turnGroup() turnGroup { return turnGroup{ps.queue.Service, ps.rank()} }

// competingTeams returns the teams with waiting steps by group, for the groups with several teams whose service has too little
// capacity for all waiting work.
func (p *plan) competingTeams(steps []*pendingStep) map[turnGroup][]model.Team {
	type member struct {
		turnGroup
		team model.Team
	}
	seen := map[member]bool{}
	teams := map[turnGroup][]model.Team{}
	needs := map[string]batch.Amount{}
	for _, ps := range steps {
		need, count := ps.step.Allocation(), int64(len(ps.tasks))
		needs[ps.queue.Service] = needs[ps.queue.Service].Add(batch.Amount{CPU: need.CPU * count, Memory: need.Memory * count, GPU: need.GPU * count})
		if !ps.takesTurns() {
			continue
		}
		m := member{ps.turnGroup(), ps.job.job.Team}
		if !seen[m] {
			seen[m] = true
			teams[m.turnGroup] = append(teams[m.turnGroup], m.team)
		}
	}
	several := func(names []model.Team) bool { return len(names) > 1 }
	for group, names := range teams {
		if !several(names) {
			delete(teams, group)
		}
	}
	if len(teams) == 0 {
		return nil
	}
	free := map[string]batch.Amount{}
	for i, w := range p.workers {
		if w.usable(p.now, w.Service) {
			free[w.Service] = free[w.Service].Add(p.free[i])
		}
	}
	for group := range teams {
		if free[group.service].Contains(needs[group.service]) {
			delete(teams, group)
		}
	}
	return teams
}
