package cell

import (
	"testing"
	"time"

	"wagtailhoist/core/model"
)

// A decision that stops a placement for an evacuation must stop it only before its release, since a job that runs goes on.
func TestEvacuationStopsOnlyWhatIsNotReleased(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for phase, want := range map[Phase]int{Waiting: 0, Placed: 1, Released: 0, Stopping: 0} {
		c := New(Defaults("west", "e1"), now)
		c.role, c.leaseEnd = owner, now.Add(time.Second)
		c.journal.plan = &Plan{Jobs: map[model.JobID]*Job{"j": {Spec: model.JobSpec{ID: "j"}, Phase: phase, Placement: 1}}}
		c.applyDecision(now, DecisionMade{Actions: []Action{{Job: "j", Cause: Evacuated}}})
		if got := c.journal.ownerChanges; len(got) != want || want > 0 && (got[0].Kind != JobStopRequested || got[0].Cause != Evacuated) {
			t.Errorf("%s job: got changes %+v, want %d", phase, got, want)
		}
	}
}
