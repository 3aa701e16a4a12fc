package tries

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
		ends       []End
		may        bool
		want       Outcome
	}{
		{"none", false, nil, true, OutcomeNotRun},
		{"not run", false, []End{NotRun}, true, OutcomeNotRun},
		{"unknown", false, []End{Unknown}, false, OutcomeUnknown},
		{"unknown, idempotent", true, []End{Unknown}, true, OutcomeUnknown},
		{"not run after unknown", true, []End{Unknown, NotRun}, true, OutcomeUnknown},
		{"answered after unknown", true, []End{Unknown, Answered}, false, OutcomeAnswered},
		{"too many", true, []End{NotRun, NotRun, NotRun, NotRun}, false, OutcomeNotRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := Tries{Idempotent: tc.idempotent, Deadline: now.Add(time.Second)}
			for _, e := range tc.ends {
				s.Record(e)
			}
			if got := s.May(now); got != tc.may {
				t.Errorf("May: got %v, want %v", got, tc.may)
			}
			if got := s.Outcome(); got != tc.want {
				t.Errorf("Outcome: got %v, want %v", got, tc.want)
			}
			// An entry that was paused past the deadline must send nothing.
			if s.May(now.Add(time.Second)) {
				t.Error("May at the deadline: got true, want false")
			}
		})
	}
}
