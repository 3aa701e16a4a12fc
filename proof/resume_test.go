package proof

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// An entry that was paused for longer than agents stay candidates without an announcement must not refuse
// requests until they have linked again, whatever became of an agent meanwhile.
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
			inLane(t)
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
			checkWhole(t, results, false)
			checkRuns(t, results, f.ran())
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
