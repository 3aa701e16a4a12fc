package retry

import (
	"testing"
	"time"
)

// A request that may have run must not be sent again unless it is idempotent, and must not be reported as not run.
func TestCanSendAndOutcomeAfterResults(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, tc := range []struct {
		name       string
		idempotent bool
		results    []Result
		canSend    bool
		want       Outcome
	}{
		{"none", false, nil, true, OutcomeNotRun},
		{"not run", false, []Result{NotRun}, true, OutcomeNotRun},
		{"unknown", false, []Result{Unknown}, false, OutcomeUnknown},
		{"unknown, idempotent", true, []Result{Unknown}, true, OutcomeUnknown},
		{"not run after unknown", true, []Result{Unknown, NotRun}, true, OutcomeUnknown},
		{"answered after unknown", true, []Result{Unknown, Answered}, false, OutcomeAnswered},
		{"too many", true, []Result{NotRun, NotRun, NotRun, NotRun}, false, OutcomeNotRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			attempts := Attempts{Idempotent: tc.idempotent, Deadline: now.Add(time.Second)}
			for _, result := range tc.results {
				attempts.Record(result)
			}
			if got := attempts.CanSend(now); got != tc.canSend {
				t.Errorf("CanSend: got %v, want %v", got, tc.canSend)
			}
			if got := attempts.Outcome(); got != tc.want {
				t.Errorf("Outcome: got %v, want %v", got, tc.want)
			}
			// An entry that was paused until after the deadline must not send the request.
			if attempts.CanSend(now.Add(time.Second)) {
				t.Error("CanSend at the deadline: got true, want false")
			}
		})
	}
}
