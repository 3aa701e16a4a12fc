package plan

import (
	"testing"
	"time"

	"wagtailhoist/core/model"
)

// Covers three faults of the headroom. A slow borrower on an anchor counted twice, so that large jobs with a grace of
// 30 s waited for hours. A team could fill its quota with slow jobs, so that its urgent jobs waited. A slow job that
// ran alone was stopped and started again and again.
func TestHeadroomCountsAnchorsAndSlowJobsOnce(t *testing.T) {
	slow := func(id model.JobID, team model.Team, tasks int) model.JobSpec {
		j := job(id, tasks, 8)
		j.Team, j.Grace = team, 30*time.Second
		return j
	}
	for _, tc := range []struct {
		name string
		jobs []model.JobSpec
		want map[model.JobID]Code
	}{
		{"beside anchors and on them", []model.JobSpec{slow("x", "b", 2), slow("y", "b", 2)}, map[model.JobID]Code{}},
		{"too little is left", []model.JobSpec{slow("x", "b", 2), slow("y", "b", 2), slow("z", "b", 2)}, map[model.JobID]Code{"z": BelowHeadroom}},
		{"alone", []model.JobSpec{slow("x", "b", 6)}, map[model.JobID]Code{}},
		{"fills the quota of the team", []model.JobSpec{slow("x", "c", 2), slow("y", "c", 1)}, map[model.JobID]Code{"y": BelowHeadroom}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := rackGuarantee(3)
			r := newFixture(t, 6, teams(model.TeamSpec{Name: "a", Guarantees: g}, model.TeamSpec{Name: "b"}, model.TeamSpec{Name: "c", Quota: 24}))
			r.submit(tc.jobs...)
			for range 3 {
				r.now = r.now.Add(91 * time.Minute)
				r.step()
			}
			for _, s := range tc.jobs {
				if got := r.waitingReason(s.ID); got.Code != tc.want[s.ID] || (got.Code == 0) != (r.Jobs[s.ID].Phase == Running) {
					t.Errorf("job %s is %v: %v, want code %v", s.ID, r.Jobs[s.ID].Phase, got, tc.want[s.ID])
				}
			}
		})
	}
}

// A claim of one worker split a rack needed by a large job although a single worker elsewhere held only borrowers. A
// waiting claim must also not move to other workers and wait for a second grace period.
func TestClaimDoesNotSplitRack(t *testing.T) {
	r := newFixture(t, 4, teams(model.TeamSpec{Name: "a", Guarantees: rackGuarantee(1)}, model.TeamSpec{Name: "b"}))
	lone := r.Workers["w00003"].Worker
	r.Apply(r.now, Event{Kind: WorkerLost, Workers: []model.WorkerID{lone.ID}})
	r.Apply(r.now, Event{Kind: WorkerSeen, Worker: &lone})
	if got := r.Anchors[0].Slots; len(got) != 1 || got[0].Worker == lone.ID {
		t.Fatalf("anchor after the loss: got %+v, want a worker of the rack", got)
	}
	borrower := job("borrower", 1, 8)
	borrower.Team, borrower.Checkpoint, borrower.Grace = "b", true, 5*time.Second
	r.submit(borrower)
	r.step()
	if got := r.Jobs["borrower"].Slots[0].Worker; got != lone.ID {
		t.Fatalf("borrower runs on %s, want %s", got, lone.ID)
	}
	claim := job("claim", 1, 8)
	claim.Guarantee = "base"
	r.submit(claim)
	r.step()
	if got := r.Anchors[0].Slots[0].Worker; got != lone.ID || r.Jobs["borrower"].Phase != Stopping {
		t.Fatalf("anchor on %s, borrower %v; want the lone worker cleared", got, r.Jobs["borrower"].Phase)
	}
	other := job("other", 1, 8)
	other.Team = "b"
	r.submit(other)
	for _, a := range r.step() {
		if a.Verb == Anchored || a.Job == "claim" {
			t.Errorf("the claim moved to other workers while it waited: %+v", a)
		}
	}
	r.Apply(r.now, Event{Kind: Stopped, Jobs: []model.JobID{"borrower"}, Saved: true})
	r.step()
	if j := r.Jobs["claim"]; j.Phase != Running || !j.Anchored {
		t.Errorf("claim: got phase %v, want it running on its anchor", j.Phase)
	}
}
