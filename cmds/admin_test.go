package cmds

import (
	"testing"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/io/admin"
	"wagtailhoist/io/conf"
)

// A process behind a partition must not drop out of the status, and one that stopped as planned must
// not be waited for.
func TestLostProcessesStayForAWhile(t *testing.T) {
	f := &fleet{exchange: &conf.Exchange{}}
	start := time.Unix(1000, 0)
	states := func(now time.Time, live ...admin.Process) map[model.NodeID]string {
		processes := map[model.NodeID]admin.Process{}
		for _, p := range live {
			processes[p.ID] = p
		}
		out := map[model.NodeID]string{}
		for _, p := range f.withLost(now, processes) {
			out[p.ID] = p.State
		}
		return out
	}
	ready := admin.Process{ID: "ready", State: "ready", Revision: 3}
	leaving := admin.Process{ID: "leaving", State: "draining"}
	states(start, ready, leaving)
	for _, tc := range []struct {
		name string
		at   time.Duration
		live []admin.Process
		want map[model.NodeID]string
	}{
		{"vanished", time.Second, nil, map[model.NodeID]string{"ready": stateLost}},
		{"still lost", lostTime, nil, map[model.NodeID]string{"ready": stateLost}},
		{"back", lostTime, []admin.Process{ready}, map[model.NodeID]string{"ready": "ready"}},
		{"forgotten", 2*lostTime + 1, nil, map[model.NodeID]string{}},
	} {
		got := states(start.Add(tc.at), tc.live...)
		if len(got) != len(tc.want) || got["ready"] != tc.want["ready"] {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}
