package cmds

import (
	"errors"
	"strings"
	"testing"

	"wagtailhoist/core/admit"
	"wagtailhoist/core/claim"
	"wagtailhoist/core/route"
)

// Refusals are counted by the text before the colon. A value of a request in it, which callers
// choose, would make a series for each and push the real reasons into the shared one.
func TestReasonsAreCountedWithoutValues(t *testing.T) {
	const value = "chosen by a caller"
	for _, err := range []error{
		&route.NoCandidateError{Service: value},
		&route.BytesError{Service: value},
		&route.RetryError{Service: value},
		&admit.FullError{Team: value},
		&admit.LateError{Team: value},
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
