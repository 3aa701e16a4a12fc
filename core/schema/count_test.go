package schema

import (
	"encoding/json"
	"testing"
)

// TestCountElements checks the count that bounds the steps: one that is too high would refuse a job inside the limits.
func TestCountElements(t *testing.T) {
	for text, want := range map[string]int{
		`[{}]`:     1,
		`[{},{}]`:  2,
		`[1,2,3 ]`: 3,
		`[{"image":"a,b\\\",[{","after":[1,2,3]},{"after":[]}]`: 2,
		`["\\",",","\"",[[1,2],[3,4]]]`:                         4,
	} {
		if !json.Valid([]byte(text)) {
			t.Errorf("%s is not JSON", text)
		}
		if got := countElements([]byte(text)); got != want {
			t.Errorf("%s: got %d, want %d", text, got, want)
		}
	}
}
