package alloc

import (
	"slices"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
	"wagtailhoist/core/share"
)

// TeamOrder is how the waiting work of different teams is ordered within a rank; empty means ByDeadline.
type TeamOrder string

const (
	// ByDeadline orders by the time at which steps miss their objective, regardless of their team.
	ByDeadline TeamOrder = "deadline"
	// ByShare lets teams take turns while capacity is short: those that have used less than others by their weight go first.
	ByShare TeamOrder = "share"
)

// chargeInterval is the shortest interval at which plans charge all runs. It is a hundredth of the half-life of usage.
const chargeInterval = share.HalfLife / 100

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

// teamNumber returns the number of a team in this term, by which slices are indexed: a plan handles too many runs for maps.
func (s *Scheduler) teamNumber(team model.Team) int {
	n, known := s.teamNumbers[team]
	if !known {
		n = len(s.teamNames)
		s.teamNumbers[team] = n
		s.teamNames = append(s.teamNames, team)
	}
	return n
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
	used := make([]int64, len(s.teamNames))
	for _, w := range s.sorted {
		for _, t := range w.runs {
			used[t.job.team] += t.uncharged(now)
		}
	}
	s.charge(now, used)
}

// charge adds what runs have used, by number of their team, to the usage of their teams.
func (s *Scheduler) charge(now time.Time, used []int64) {
	if used != nil {
		s.chargedAt = now
	}
	for number, amount := range used {
		if amount > 0 {
			s.usage.Use(now, s.teamNames[number], float64(amount)/usageUnit)
		}
	}
}

// dueCharges returns a slice for what a plan finds that runs have used, by number of their team, or nil if all runs were charged
// just before. A plan charges them where it visits them anyhow.
func (s *Scheduler) dueCharges(now time.Time) []int64 {
	if s.Settings.TeamOrder != ByShare || now.Sub(s.chargedAt) < chargeInterval {
		return nil
	}
	return make([]int64, len(s.teamNames))
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

// turnGroup holds the teams with waiting steps of a rank on a service, which take turns.
type turnGroup struct {
	demand *demand
	rank   int
	// waits marks the teams by number; teams lists them.
	waits []bool
	teams []model.Team
	// common is the rank of their usage together, ranks that of each by number.
	common int
	ranks  []int
}

// demand is what all waiting work on a service needs, and the free capacity of its workers.
type demand struct {
	service    string
	need, free batch.Amount
}

// short reports whether teams compete for too little capacity.
func (g *turnGroup) short() bool {
	return len(g.teams) > 1 && !g.demand.free.Contains(g.demand.need)
}

// takeTurns orders the steps of teams that compete for too little capacity by what the teams have used. Other steps keep their
// order.
func (p *plan) takeTurns(steps []*pendingStep) {
	groups := p.turnGroups(steps)
	for _, g := range groups {
		if !g.short() {
			continue
		}
		// The sum of usages must not depend on the order of the steps.
		slices.Sort(g.teams)
		g.common = p.usage.CommonRank(p.now, g.teams)
		g.ranks = make([]int, len(p.teamNames))
		for _, team := range g.teams {
			g.ranks[p.teamNumbers[team]] = p.usage.Rank(p.now, team)
		}
	}
	changed := false
	for _, ps := range steps {
		ps.order = ByDeadline
		if g := ps.group; g != nil && g.short() {
			ps.order = ByShare
			ps.turn = turn(g.ranks[ps.job.team], g.common, ps.waited)
			changed = changed || ps.turn != 0
		}
	}
	if changed {
		sortByTurn(steps)
	}
}

// sortByTurn sorts the steps of each rank, which are ordered by deadline, by turn.
func sortByTurn(steps []*pendingStep) {
	for first := 0; first < len(steps); {
		end, rank := first+1, steps[first].rank()
		for end < len(steps) && steps[end].rank() == rank && steps[end].guaranteed == steps[first].guaranteed {
			end++
		}
		slices.SortStableFunc(steps[first:end], func(x, y *pendingStep) int { return x.turn - y.turn })
		first = end
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

// turnGroups returns the groups of the steps, and notes each step's group.
func (p *plan) turnGroups(steps []*pendingStep) []*turnGroup {
	var groups []*turnGroup
	var demands []*demand
	for _, ps := range steps {
		d := find(&demands, func(d *demand) bool { return d.service == ps.queue.Service })
		d.service = ps.queue.Service
		need, count := ps.step.Allocation(), int64(len(ps.tasks))
		d.need = d.need.Add(batch.Amount{CPU: need.CPU * count, Memory: need.Memory * count, GPU: need.GPU * count})
		if !ps.takesTurns() {
			continue
		}
		rank := ps.rank()
		g := find(&groups, func(g *turnGroup) bool { return g.demand == d && g.rank == rank })
		if g.waits == nil {
			g.demand, g.rank, g.waits = d, rank, make([]bool, len(p.teamNames))
		}
		if !g.waits[ps.job.team] {
			g.waits[ps.job.team] = true
			g.teams = append(g.teams, ps.job.job.Team)
		}
		ps.group = g
	}
	for i, w := range p.workers {
		for _, d := range demands {
			if w.usable(p.now, d.service) {
				d.free = d.free.Add(p.free[i])
			}
		}
	}
	return groups
}

// find returns the item of a short list that matches, or a new one that it adds.
func find[T any](list *[]*T, match func(*T) bool) *T {
	for _, item := range *list {
		if match(item) {
			return item
		}
	}
	item := new(T)
	*list = append(*list, item)
	return item
}
