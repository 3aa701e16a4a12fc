package model

import "testing"

// A restarted agent counts its sequence from zero; if only sequences were compared, its records would be ignored until
// their sequence exceeds that from before the restart.
func TestNewerComparesIncarnationFirst(t *testing.T) {
	old := Record{Incarnation: 1, Sequence: 900}
	for _, tc := range []struct {
		name string
		rec  Record
		want bool
	}{
		{"restart", Record{Incarnation: 2, Sequence: 0}, true},
		{"later sequence", Record{Incarnation: 1, Sequence: 901}, true},
		{"same record", old, false},
		{"earlier sequence", Record{Incarnation: 1, Sequence: 899}, false},
		{"earlier incarnation", Record{Incarnation: 0, Sequence: 999}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.rec.Newer(old); got != tc.want {
				t.Errorf("Newer: got %v, want %v", got, tc.want)
			}
		})
	}
}
