package proof

import (
	"syscall"
	"testing"
	"time"
)

// leaveLimit is the bound of P6.
const leaveLimit = 3 * time.Second

// An agent that leaves must get no new work after a few seconds, also if the entries do not hear that it leaves.
func TestLeavingAgentGetsNoWork(t *testing.T) {
	for _, tc := range []struct {
		name string
		// hear is what the entry hears of the announcement.
		hear string
	}{{"announced", "all"}, {"entry paused meanwhile", "late"}, {"announcements lost", "nothing"}} {
		t.Run(tc.name, func(t *testing.T) {
			inLane(t)
			f := newFleet(t, 1, 2)
			var announcements *process
			if tc.hear == "nothing" {
				announcements = f.hide(0)
			}
			l := startLoad("load", 4, 8*time.Second, f.entries...)
			// Long requests keep the agent alive, so that it could get new work.
			var long []*load
			for n := range 4 {
				long = append(long, longRequest(f, n, 6*time.Second))
			}
			time.Sleep(500 * time.Millisecond)
			switch tc.hear {
			case "late":
				f.entries[0].pause()
			case "nothing":
				post(t, announcements.url("control")+"/faults", map[string]any{"mode": "silent"})
			}
			left := time.Now()
			f.agents[0].signal(syscall.SIGTERM)
			if tc.hear == "late" {
				time.Sleep(time.Second)
				f.entries[0].resume()
			}
			<-f.agents[0].done
			lived := time.Since(left)
			results := l.finish()
			var last time.Duration
			for _, e := range executions(t, f.minions[0]) {
				last = max(last, e.Time.Sub(left))
			}
			t.Logf("%d requests: %v; agent ended after %v, last work began %v after it began to leave", len(results), outcomes(results), lived, last)
			if last > leaveLimit {
				t.Errorf("last work after %v, want within %v", last, leaveLimit)
			}
			if lived < leaveLimit+time.Second {
				t.Errorf("agent ended after %v, so it could not have got work after %v", lived, leaveLimit)
			}
			for _, one := range long {
				results = append(results, one.finish()...)
			}
			checkWhole(t, results, false)
			checkRuns(t, results, f.ran())
			if got := outcomes(results); got["answered"] != len(results) {
				t.Errorf("outcomes: got %v, want all of %d answered", got, len(results))
			}
		})
	}
}
