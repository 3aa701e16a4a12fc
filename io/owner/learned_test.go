package owner

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/learn"
	"wagtailhoist/core/model"
	"wagtailhoist/io/link"
	"wagtailhoist/io/mirror"
	"wagtailhoist/io/store"
)

// messages collects the messages of a log.
type messages struct {
	slog.Handler
	mu   sync.Mutex
	list []string
}

func newMessages() *messages { return &messages{Handler: slog.DiscardHandler} }

func (m *messages) Enabled(context.Context, slog.Level) bool { return true }

func (m *messages) WithAttrs([]slog.Attr) slog.Handler { return m }

func (m *messages) Handle(_ context.Context, r slog.Record) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = append(m.list, r.Message)
	return nil
}

func (m *messages) contain(message string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.list, message)
}

// learner returns a change of an entry that stores what it learns at short intervals, and logs to m.
func learner(m *messages) func(*Owner) {
	return func(o *Owner) {
		o.learnInterval = 10 * time.Millisecond
		o.Log = slog.New(m)
	}
}

// fencedStore reports commits of learned run times that aren't conditional on the owner key and the value.
type fencedStore struct {
	*memoryStore
	t *testing.T
}

func (s *fencedStore) Commit(ctx context.Context, c store.Change) (uint64, error) {
	for _, set := range c.Sets {
		if set.Key != batch.LearnedKey {
			continue
		}
		if len(c.Checks) != 2 || c.Checks[0].Key != mirror.OwnerKey || c.Checks[0].Version == 0 || c.Checks[1].Key != batch.LearnedKey {
			s.t.Errorf("learned run times stored under the conditions %+v, want the owner key and the value", c.Checks)
		}
		if len(set.Value) > learn.MaxEncoded {
			s.t.Errorf("learned run times have %d bytes, want at most %d", len(set.Value), learn.MaxEncoded)
		}
	}
	return s.memoryStore.Commit(ctx, c)
}

// learnedItem returns the stored run times, with version 0 if there are none.
func learnedItem(s *memoryStore) store.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[batch.LearnedKey]
}

// runJob lets the owner start a job and ends its run.
func runJob(t *testing.T, s *memoryStore, address string, id model.JobID) {
	t.Helper()
	queue := batch.Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2, Target: time.Second}
	putJob(t, s, id, queue, batch.Step{Count: 1, Need: batch.Amount{CPU: 1}, Estimate: time.Second})
	agent := dialOwner(t, address, "n-"+string(id))
	defer agent.Close()
	defer time.AfterFunc(testTimeout, agent.Close).Stop()
	var run batch.RunID
	for listed := 0; listed < 2; {
		var running []batch.RunStatus
		if run.Run > 0 {
			running = append(running, batch.RunStatus{RunID: run})
			listed++
		}
		o, err := agent.report(running...)
		if err != nil {
			t.Fatal(err)
		}
		for _, start := range o.Starts {
			run = start.RunID
		}
	}
	agent.sequence++
	ended := []batch.End{{Number: 1, RunID: run, Cause: batch.EndDone}}
	if err := agent.Send(link.Report{Report: batch.Report{Sequence: agent.sequence, Worker: agent.worker, Listed: true, Ended: ended}}); err != nil {
		t.Fatal(err)
	}
	// The answer shows that the owner has applied the end.
	if _, err := agent.Receive(); err != nil {
		t.Fatal(err)
	}
}

// awaitTerm waits until an entry decides.
func awaitTerm(t *testing.T, e *entry) {
	t.Helper()
	waitFor(t, "start of the term", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.term != nil
	})
}

// A successor had only the records of the last jobs to learn from. What was learned has to be stored, under the fence, and the
// successor has to begin with it; deleting the key has to reset it.
func TestLearnedRunTimesReachTheSuccessor(t *testing.T) {
	s := newMemoryStore()
	first, second := newMessages(), newMessages()
	e1 := newEntry(t, s, "e1", batch.Policy{}, func(o *Owner) {
		learner(first)(o)
		o.Store = &fencedStore{s, t}
	})
	awaitTerm(t, e1)
	runJob(t, s, e1.Self.Address, "0000000000000001")
	waitFor(t, "stored run times", func() bool { return learnedItem(s).Version != 0 })
	if !first.contain("run times learned") {
		t.Error("what was learned wasn't logged")
	}
	m, err := learn.Decode(learnedItem(s).Value)
	if err != nil || len(m.Summary()) != 1 || m.Summary()[0].Queue != "q" {
		t.Fatalf("stored run times: got %+v with error %v, want those of queue q", m, err)
	}
	e1.stop()
	<-e1.done
	e2 := newEntry(t, s, "e2", batch.Policy{}, learner(second))
	awaitTerm(t, e2)
	waitFor(t, "restored run times", func() bool { return second.contain("run times restored") })
	if _, err := s.Commit(context.Background(), store.Change{Deletes: []string{batch.LearnedKey}}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "reset", func() bool { return second.contain("run times reset: the stored value was deleted") })
	runJob(t, s, e2.Self.Address, "0000000000000002")
	waitFor(t, "run times stored after the reset", func() bool { return learnedItem(s).Version != 0 })
	if m, err := learn.Decode(learnedItem(s).Value); err != nil || m.Summary()[0].Samples != 1 {
		t.Errorf("stored run times after the reset: got %+v with error %v, want one sample", m, err)
	}
}

// A value that can't be decoded, of another version or written by hand, must not keep an owner from deciding, and has to be
// replaced.
func TestLearnedRunTimesThatCantBeDecoded(t *testing.T) {
	s := newMemoryStore()
	if _, err := s.Commit(context.Background(), store.Change{Sets: []store.Set{{Key: batch.LearnedKey, Value: []byte("text")}}}); err != nil {
		t.Fatal(err)
	}
	log := newMessages()
	e := newEntry(t, s, "e1", batch.Policy{}, learner(log))
	awaitTerm(t, e)
	runJob(t, s, e.Self.Address, "0000000000000001")
	waitFor(t, "replaced value", func() bool {
		_, err := learn.Decode(learnedItem(s).Value)
		return err == nil
	})
	if !log.contain("stored run times can't be decoded; learning from the records of jobs") {
		t.Error("the value that can't be decoded wasn't logged")
	}
}

// While the store is down, learning goes on in memory, and what was learned is stored afterwards.
func TestLearnedRunTimesOutliveAnOutage(t *testing.T) {
	s := newMemoryStore()
	log := newMessages()
	e := newEntry(t, s, "e1", batch.Policy{}, learner(log))
	awaitTerm(t, e)
	runJob(t, s, e.Self.Address, "0000000000000001")
	waitFor(t, "stored run times", func() bool { return learnedItem(s).Version != 0 })
	s.setDown(true, false)
	time.Sleep(50 * time.Millisecond)
	s.setDown(false, false)
	version := learnedItem(s).Version
	runJob(t, s, e.Self.Address, "0000000000000002")
	waitFor(t, "run times stored after the outage", func() bool { return learnedItem(s).Version > version })
	if m, err := learn.Decode(learnedItem(s).Value); err != nil || m.Summary()[0].Samples != 2 {
		t.Errorf("stored run times after the outage: got %+v with error %v, want two samples", m, err)
	}
}
