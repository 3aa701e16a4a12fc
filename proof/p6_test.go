package proof

import (
	"syscall"
	"testing"
	"time"
)

// newWorkLimit is the time after which an agent that shuts down must get no new requests (P6).
const newWorkLimit = 3 * time.Second

// An agent that shuts down must get no new requests after newWorkLimit, even if the entry was paused while the agent
// announced its shutdown, or if the announcements were lost.
func TestLeavingAgentGetsNoWork(t *testing.T) {
	for _, tc := range []struct {
		name string
		// received says which of the agent's announcements the entry receives.
		received string
	}{{"announced", "all"}, {"entry paused meanwhile", "late"}, {"announcements lost", "nothing"}} {
		t.Run(tc.name, func(t *testing.T) {
			limitFleets(t)
			f := newFleet(t, 1, 2)
			var announcements *process
			if tc.received == "nothing" {
				announcements = f.announceThroughRelay(0)
			}
			l := startLoad("load", 4, 8*time.Second, f.entries...)
			// The agent doesn't exit before these long requests end, so that it could get new ones.
			var long []*load
			for n := range 4 {
				long = append(long, startLongRequest(f, n, 6*time.Second))
			}
			time.Sleep(500 * time.Millisecond)
			switch tc.received {
			case "late":
				f.entries[0].pause()
			case "nothing":
				post(t, announcements.url("control")+"/faults", map[string]any{"mode": "silent"})
			}
			left := time.Now()
			f.agents[0].signal(syscall.SIGTERM)
			if tc.received == "late" {
				time.Sleep(time.Second)
				f.entries[0].resume()
			}
			<-f.agents[0].done
			shutdownTime := time.Since(left)
			results := l.finish()
			var last time.Duration
			for _, e := range executions(t, f.minions[0]) {
				last = max(last, e.Time.Sub(left))
			}
			t.Logf("%d requests: %v; agent ended after %v, last work began %v after it began to leave",
				len(results), outcomes(results), shutdownTime, last)
			if last > newWorkLimit {
				t.Errorf("last work after %v, want within %v", last, newWorkLimit)
			}
			if shutdownTime < newWorkLimit+time.Second {
				t.Errorf("agent ended after %v, so it could not have got work after %v", shutdownTime, newWorkLimit)
			}
			for _, one := range long {
				results = append(results, one.finish()...)
			}
			checkAnswers(t, results, false)
			checkExecutions(t, results, f.executionCounts())
			if got := outcomes(results); got["answered"] != len(results) {
				t.Errorf("outcomes: got %v, want all of %d answered", got, len(results))
			}
		})
	}
}
