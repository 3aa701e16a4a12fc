package query

import (
	"fmt"

	"wagtailhoist/core/plan"
)

// showUsage lists the declared and the observed size of each task of the jobs of which usage is known.
func showUsage(f filter, snap Snapshot) Answer {
	a := Answer{Columns: []string{"job", "team", "phase", "declared", "observed", "counted", "state"}}
	centres := centresOf(snap)
	for _, j := range snap.Jobs {
		if j.Size == (plan.Size{}) || !f.takes(j.Spec.Team) || !f.touches(j.Slots, centres) {
			continue
		}
		state := "settling"
		switch {
		case j.Last.Code != 0:
			state = j.Last.String()
		case j.Size.Settled:
			state = "settled"
		case len(j.Slots) == 0:
			state = "sized by earlier reports"
		}
		a.Rows = append(a.Rows, []string{
			string(j.Spec.ID), string(j.Spec.Team), j.Phase.String(), amount(j.Size.Declared), amount(j.Size.Observed),
			amount(j.Size.Effective), state,
		})
	}
	a.Notes = append(a.Notes, "cores and GB of the largest task")
	return a
}

func amount(a plan.Amount) string { return fmt.Sprintf("%d cores %d GB", a.Cores, a.Memory) }

// stopped says why a job was last stopped, if that was for its usage.
func stopped(j Job) string {
	if j.Last.Code == 0 {
		return ""
	}
	return "; " + j.Last.String()
}
