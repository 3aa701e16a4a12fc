package query

import (
	"fmt"

	"wagtailhoist/core/plan"
)

// showUsage lists the declared, observed and counted size of the largest task of each job with reported usage.
func showUsage(f filter, snap Snapshot) Answer {
	a := Answer{Columns: []string{"job", "team", "phase", "declared", "observed", "counted", "state"}}
	centres := centreOfWorkers(snap)
	for _, j := range snap.Jobs {
		if j.Size == (plan.Size{}) || !f.matchesTeam(j.Spec.Team) || !f.matchesSlots(j.Slots, centres) {
			continue
		}
		state := "settling"
		switch {
		case j.LastStop.Code != 0:
			state = j.LastStop.String()
		case j.Size.Settled:
			state = "settled"
		case len(j.Slots) == 0:
			state = "sized by earlier reports"
		}
		a.Rows = append(a.Rows, []string{
			string(j.Spec.ID), string(j.Spec.Team), j.Phase.String(), formatAmount(j.Size.Declared), formatAmount(j.Size.Observed),
			formatAmount(j.Size.Effective), state,
		})
	}
	a.Notes = append(a.Notes, "sizes are the cores and GB of the largest task")
	return a
}

// formatAmount returns the cores and the memory of an amount.
func formatAmount(a plan.Amount) string { return fmt.Sprintf("%d cores %d GB", a.Cores, a.Memory) }

// lastStopSuffix returns a suffix with the reason why the job was last stopped, if that was for its usage, and otherwise an
// empty string.
func lastStopSuffix(j Job) string {
	if j.LastStop.Code == 0 {
		return ""
	}
	return "; " + j.LastStop.String()
}
