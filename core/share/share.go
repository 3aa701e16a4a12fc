package share

import (
	"math"
	"time"

	"wagtailhoist/core/model"
)

const (
	// HalfLife is the time in which usage loses half of its weight.
	HalfLife = 10 * time.Second
	// forgotten is the usage, in accelerator seconds, below which a team isn't listed any more.
	forgotten = 0.01
)

// Usage is what teams have used recently, in accelerator seconds, and their weights. The zero value is empty, and all teams
// have weight 1.
type Usage struct {
	teams   map[model.Team]*entry
	weights map[model.Team]int64
}

// entry is a team's usage as of a time.
type entry struct {
	amount float64
	at     time.Time
}

// decayed returns the usage as of now. A time before that of the entry counts as the same time.
func (e *entry) decayed(now time.Time) float64 {
	age := now.Sub(e.at)
	if age <= 0 {
		return e.amount
	}
	return e.amount * math.Exp2(-age.Seconds()/HalfLife.Seconds())
}

// SetWeights sets the weights of the teams; weights below 1 and those of other teams are 1.
func (u *Usage) SetWeights(weights map[model.Team]int64) { u.weights = weights }

// Weight returns the weight of a team.
func (u *Usage) Weight(team model.Team) int64 { return max(1, u.weights[team]) }

// Use adds what a team has used, in accelerator seconds.
func (u *Usage) Use(now time.Time, team model.Team, amount float64) {
	e := u.teams[team]
	if e == nil {
		if u.teams == nil {
			u.teams = map[model.Team]*entry{}
		}
		e = &entry{at: now}
		u.teams[team] = e
	}
	e.amount = e.decayed(now) + amount
	if now.After(e.at) {
		e.at = now
	}
}

// Amount returns what a team has used recently, in accelerator seconds.
func (u *Usage) Amount(now time.Time, team model.Team) float64 {
	if e := u.teams[team]; e != nil {
		return e.decayed(now)
	}
	return 0
}

// Rank returns the usage of a team by its weight, in steps of a factor of two, the lowest first. It is 0 below one accelerator
// second for each unit of weight.
func (u *Usage) Rank(now time.Time, team model.Team) int {
	return step(u.Amount(now, team) / float64(u.Weight(team)))
}

// CommonRank returns the rank of several teams together: their whole usage by their whole weight. It is 0 for no teams.
func (u *Usage) CommonRank(now time.Time, teams []model.Team) int {
	amount, weight := 0.0, int64(0)
	for _, team := range teams {
		amount += u.Amount(now, team)
		weight += u.Weight(team)
	}
	return step(amount / float64(max(1, weight)))
}

// step returns the number of a step of a factor of two: 0 below 1, then 1 below 2, 2 below 4, and so on.
func step(usage float64) int {
	if usage < 1 {
		return 0
	}
	_, exponent := math.Frexp(usage)
	return exponent
}

// Amounts returns what each team has used recently, and forgets the teams that have used next to nothing.
func (u *Usage) Amounts(now time.Time) map[model.Team]float64 {
	amounts := make(map[model.Team]float64, len(u.teams))
	for team, e := range u.teams {
		amount := e.decayed(now)
		if amount < forgotten {
			delete(u.teams, team)
			continue
		}
		amounts[team] = amount
	}
	return amounts
}
