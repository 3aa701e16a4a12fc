package retry

import (
	"testing"
	"time"
)

// A request that may have run must neither be tried again without being idempotent, nor be reported as not run.
func TestOutcomes(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, tc := range []struct {
		name       string
		idempotent bool
		ends       []Result
		may        bool
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
			s := Attempts{Idempotent: tc.idempotent, Deadline: now.Add(time.Second)}
			for _, e := range tc.ends {
				s.Record(e)
			}
			if got := s.CanSend(now); got != tc.may {
				t.Errorf("May: got %v, want %v", got, tc.may)
			}
			if got := s.Outcome(); got != tc.want {
				t.Errorf("Outcome: got %v, want %v", got, tc.want)
			}
			// An entry that was paused past the deadline must send nothing.
			if s.CanSend(now.Add(time.Second)) {
				t.Error("May at the deadline: got true, want false")
			}
		})
	}
}
