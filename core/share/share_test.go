package share

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wagtailhoist/core/model"
)

var startTime = time.UnixMilli(1_000_000)

// Usage that didn't fade, or faded at another rate for teams that are charged more often, would hold a burst against its team
// for ever, or favour one team.
func TestUsageIsTheDecayedSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type use struct {
			at     time.Time
			team   model.Team
			amount float64
		}
		var u Usage
		var uses []use
		now := startTime
		for range rapid.IntRange(0, 40).Draw(t, "uses") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			one := use{now, model.Team(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")), rapid.Float64Range(0, 1000).Draw(t, "amount")}
			uses = append(uses, one)
			u.Use(one.at, one.team, one.amount)
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 60000).Draw(t, "later")) * time.Millisecond)
		for _, team := range []model.Team{"a", "b", "c", "d"} {
			want := 0.0
			for _, one := range uses {
				if one.team == team {
					want += one.amount * math.Pow(0.5, now.Sub(one.at).Seconds()/10)
				}
			}
			if got := u.Amount(now, team); math.Abs(got-want) > 1e-9*max(1, want) {
				t.Fatalf("usage of %s: got %v, want %v", team, got, want)
			}
		}
	})
}

// A rank is a step of a factor of two of the usage by weight. Finer steps would change the order with each run.
func TestRanksAreStepsOfTwo(t *testing.T) {
	var u Usage
	u.SetWeights(map[model.Team]int64{"heavy": 10, "none": 0, "wrong": -3})
	for _, tc := range []struct {
		team   model.Team
		amount float64
		want   int
	}{
		{"unused", 0, 0},
		{"below", 0.99, 0},
		{"one", 1, 1},
		{"almost two", 1.99, 1},
		{"two", 2, 2},
		{"four", 4, 3},
		{"much", 1000, 10},
		{"heavy", 40, 3},
		{"none", 4, 3},
		{"wrong", 4, 3},
	} {
		u.Use(startTime, tc.team, tc.amount)
		if got := u.Rank(startTime, tc.team); got != tc.want {
			t.Errorf("rank of %s with %v: got %d, want %d", tc.team, tc.amount, got, tc.want)
		}
	}
	later := startTime.Add(2 * HalfLife)
	if got, want := u.Rank(later, "four"), 1; got != want {
		t.Errorf("rank after two half-lives: got %d, want %d", got, want)
	}
	if got, want := u.CommonRank(startTime, []model.Team{"four", "heavy"}), 3; got != want {
		t.Errorf("common rank of 44 by a weight of 11: got %d, want %d", got, want)
	}
	if got := u.CommonRank(startTime, nil); got != 0 {
		t.Errorf("common rank of no teams: got %d, want 0", got)
	}
}

// Times that are out of order, as those of reports can be, must not raise or lower a usage.
func TestEarlierTimesDontDecay(t *testing.T) {
	var u Usage
	u.Use(startTime, "a", 8)
	u.Use(startTime.Add(-time.Minute), "a", 1)
	if got, want := u.Amount(startTime, "a"), 9.0; got != want {
		t.Errorf("usage: got %v, want %v", got, want)
	}
}

// Teams that are gone must not be listed and kept for ever.
func TestUnusedTeamsAreForgotten(t *testing.T) {
	var u Usage
	u.Use(startTime, "gone", 1)
	later := startTime.Add(20 * HalfLife)
	u.Use(later, "here", 1)
	if got, want := fmt.Sprint(u.Amounts(later)), "map[here:1]"; got != want {
		t.Errorf("usage by team: got %s, want %s", got, want)
	}
	if got := len(u.teams); got != 1 {
		t.Errorf("teams that are kept: got %d, want 1", got)
	}
}
