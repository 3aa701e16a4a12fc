package store

import (
	"errors"
	"testing"
)

// A call that was refused on one path and unanswered on another may have had an effect. A caller that takes it for not
// done would report a change as not made although it was.
func TestCallUnansweredOnOnePathMayHaveEffect(t *testing.T) {
	refused := &RefusedError{Op: "commit", Status: 503}
	tests := []struct {
		name string
		err  error
		want bool
	}{
		{"refused", refused, true},
		{"unknown", &UnavailableError{Op: "commit", Cause: errors.New("reset")}, false},
		{"unknown, then refused", &UnavailableError{Op: "commit", Cause: refused}, false},
		{"check", &CheckError{}, false},
	}
	for _, test := range tests {
		if got := HadNoEffect(test.err); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}
