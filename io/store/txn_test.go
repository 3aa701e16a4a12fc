package store

import (
	"errors"
	"testing"
)

// Guards against "not run" for a call of which one way was refused and another had no answer.
func TestNotDone(t *testing.T) {
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
		if got := NotDone(test.err); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}
