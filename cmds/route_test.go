package cmds

import (
	"errors"
	"strings"
	"testing"

	"wagtailhoist/core/admit"
	"wagtailhoist/core/claim"
	"wagtailhoist/core/route"
)

// Refusals are counted by the text of the error before its colon. A value of the request in that text would let
// callers create a metric series for each value, until the real reasons fall into the overflow series.
func TestRefusalReasonsContainNoRequestValues(t *testing.T) {
	const value = "chosen by a caller"
	for _, err := range []error{
		&route.NoCandidateError{Service: value},
		&route.ByteBudgetError{Service: value},
		&route.RetryBudgetError{Service: value},
		&admit.FullError{Team: value},
		&admit.DeadlineError{Team: value},
		&claim.DuplicateError{Team: value, Key: value},
		&claim.UnavailableError{Key: value, Cause: errors.New("x")},
	} {
		reason, details, found := strings.Cut(err.Error(), ":")
		if !found || strings.Contains(reason, value) || strings.ContainsAny(reason, "0123456789") {
			t.Errorf("%T: got reason %q", err, reason)
		}
		if !strings.Contains(details, value) {
			t.Errorf("%T: got details %q, want the value", err, details)
		}
	}
}
