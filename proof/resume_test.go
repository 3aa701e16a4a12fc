package proof

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// All agent records of an entry expire while it is paused for long. After it resumes, it must not refuse requests until
// the agents have linked to it again, even if an agent was killed or replaced during the pause.
func TestResumedEntryUsesWhatItKnew(t *testing.T) {
	for _, tc := range []struct {
		name      string
		meanwhile func(f *fleet)
	}{
		{"agents unchanged", func(*fleet) {}},
		{"an agent killed", func(f *fleet) { f.agents[0].kill() }},
		{"an agent replaced", func(f *fleet) {
			f.agents[0].kill()
			f.restartAgent(0)
		}},
		{"a minion killed", func(f *fleet) { f.minions[0].kill() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			limitFleets(t)
			f := newFleet(t, 1, 3)
			f.entries[0].pause()
			tc.meanwhile(f)
			time.Sleep(pauseTime)
			f.entries[0].resume()
			resumed := time.Now()
			var results []result
			for n := 0; time.Since(resumed) < 2*time.Second; n++ {
				results = append(results, send(f.entries[0].url("listen"), request{
					id: fmt.Sprintf("resumed-%d", n), method: http.MethodPost, body: 64, timeout: 5 * time.Second,
				}))
			}
			checkAnswers(t, results, false)
			checkExecutions(t, results, f.executionCounts())
			if got := outcomes(results); got["answered"] != len(results) {
				t.Errorf("outcomes after the pause: got %v, want all answered", got)
				for _, r := range results {
					if r.outcome != "answered" {
						t.Logf("%s after %v: %s %s", r.id, r.sent.Sub(resumed), r.outcome, r.reason)
					}
				}
			}
		})
	}
}
