package owner

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"wagtailhoist/core/model"
)

const (
	// usageInterval is the interval at which the metric of the teams' usage is set.
	usageInterval = time.Second
	// usageLogInterval is the shortest interval between two log lines about the teams' usage: its half-life.
	usageLogInterval = 10 * time.Second
	// maxLoggedTeams bounds the teams in a log line.
	maxLoggedTeams = 8
)

// usageState is what a term has reported of the teams' usage. It is used only by the goroutine of run.
type usageState struct {
	reportedAt, loggedAt time.Time
	// reported holds the teams whose metric was set in this term.
	reported map[model.Team]bool
}

// reportUsage sets the metric of the teams' usage, and logs the teams with the highest usage, if teams take turns.
func (t *term) reportUsage(now time.Time) {
	if now.Sub(t.usage.reportedAt) < usageInterval {
		return
	}
	amounts := t.scheduler.TeamUsage(now)
	if amounts == nil {
		return
	}
	t.usage.reportedAt = now
	if t.usage.reported == nil {
		t.usage.reported = map[model.Team]bool{}
	}
	for team := range amounts {
		t.usage.reported[team] = true
	}
	for team := range t.usage.reported {
		t.owner.Meter.TeamUsage(team, amounts[team])
	}
	if len(amounts) > 1 && now.Sub(t.usage.loggedAt) >= usageLogInterval {
		t.usage.loggedAt = now
		t.owner.Log.Info("usage by team", "teams", len(amounts), "highest", highestUsage(amounts), "fence", t.fence)
	}
}

// highestUsage returns the teams with the highest usage, in accelerator seconds.
func highestUsage(amounts map[model.Team]float64) string {
	teams := slices.SortedFunc(maps.Keys(amounts), func(a, b model.Team) int {
		return cmp.Or(cmp.Compare(amounts[b], amounts[a]), cmp.Compare(a, b))
	})
	var parts []string
	for _, team := range teams[:min(maxLoggedTeams, len(teams))] {
		parts = append(parts, fmt.Sprintf("%s %.1f", team, amounts[team]))
	}
	return strings.Join(parts, ", ")
}

// endUsageMetrics ends the metrics of the teams, so that they don't contradict those of a later owner.
func (t *term) endUsageMetrics() {
	for team := range t.usage.reported {
		t.owner.Meter.TeamUsage(team, math.NaN())
	}
	clear(t.usage.reported)
}
