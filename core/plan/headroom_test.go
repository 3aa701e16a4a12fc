package plan

import (
	"testing"
	"time"

	"wagtailhoist/core/model"
)

// A slow borrower on an anchor counted twice against the headroom, so that large jobs with a grace of
// 30 s waited for hours. A team's quota filled with its slow work kept its urgent jobs waiting. A slow
// job that ran alone was stopped again at once.
func TestHeadroomCountsWhatUrgentWorkCanHave(t *testing.T) {
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
		{"too little is left", []model.JobSpec{slow("x", "b", 2), slow("y", "b", 2), slow("z", "b", 2)}, map[model.JobID]Code{"z": Headroom}},
		{"alone", []model.JobSpec{slow("x", "b", 6)}, map[model.JobID]Code{}},
		{"fills the quota of the team", []model.JobSpec{slow("x", "c", 2), slow("y", "c", 1)}, map[model.JobID]Code{"y": Headroom}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := guarantee(3)
			r := newRig(t, 6, teams(model.TeamSpec{Name: "a", Guarantees: g}, model.TeamSpec{Name: "b"}, model.TeamSpec{Name: "c", Quota: 24}))
			r.submit(tc.jobs...)
			for range 3 {
				r.now = r.now.Add(91 * time.Minute)
				r.step()
			}
			for _, s := range tc.jobs {
				if got := r.reason(s.ID); got.Code != tc.want[s.ID] || (got.Code == 0) != (r.Jobs[s.ID].Phase == Running) {
					t.Errorf("job %s is %v: %v, want code %v", s.ID, r.Jobs[s.ID].Phase, got, tc.want[s.ID])
				}
			}
		})
	}
}
