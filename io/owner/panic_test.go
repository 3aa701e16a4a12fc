package owner

import (
	"testing"

	"wagtailhoist/core/batch"
)

// An unexpected error in the decisions must not take the process down, which also serves callers; another entry takes over.
func TestPanicEndsTheTermOnly(t *testing.T) {
	s := newMemoryStore()
	panicking := func(o *Owner) {
		policy := o.Policy
		o.Policy = func() (batch.Policy, uint64) {
			o.mu.Lock()
			leading := o.term != nil
			o.mu.Unlock()
			if leading {
				panic("unexpected")
			}
			return policy()
		}
	}
	newEntry(t, s, "e1", batch.Policy{}, panicking)
	waitFor(t, "election", func() bool { return ownerID(t, s) == "e1" })
	newEntry(t, s, "e2", batch.Policy{}, nil)
	waitFor(t, "election of the other entry", func() bool { return ownerID(t, s) == "e2" })
}
