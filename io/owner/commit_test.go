package owner

import (
	"fmt"
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
	"wagtailhoist/core/pace"
)

// A slow store must not serialize the starts: with one commit at a time, a burst of jobs waited for one round trip after the
// other.
func TestSlowStoreGetsSeveralCommits(t *testing.T) {
	const jobCount = 4 * maxRecordsPerCommit
	s := newMemoryStore()
	queue := batch.Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2, Target: time.Second}
	for i := range jobCount {
		putJob(t, s, model.JobID(fmt.Sprintf("%016x", i)), queue, batch.Step{Count: 1, Need: batch.Amount{CPU: 1}, Estimate: time.Hour})
	}
	e := newEntry(t, s, "e1", batch.Policy{}, nil)
	waitFor(t, "election", func() bool { return ownerID(t, s) == "e1" })
	s.mu.Lock()
	s.delay = 2 * time.Second
	s.mu.Unlock()
	started := map[model.JobID]bool{}
	var agent *agentLink
	var running []batch.RunStatus
	waitFor(t, "start of all jobs", func() bool {
		if agent == nil {
			agent = dialOwner(t, e.Self.Address, "n1")
		}
		o, err := agent.report(running...)
		if err != nil {
			agent = nil
			return false
		}
		for _, start := range o.Starts {
			if started[start.Task.Job] {
				t.Errorf("job %s was ordered twice", start.Task.Job)
			}
			started[start.Task.Job] = true
			running = append(running, batch.RunStatus{RunID: start.RunID})
		}
		return len(started) == jobCount
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mostRunning < 2 || s.mostRunning > pace.MaxCommits {
		t.Errorf("got up to %d commits at a time, want 2 to %d", s.mostRunning, pace.MaxCommits)
	}
}
