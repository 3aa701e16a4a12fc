package jobs

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
	"wagtailhoist/core/room"
	"wagtailhoist/io/mirror"
	"wagtailhoist/io/store"
)

// memoryStore applies changes one after the other. A commit may be lost or applied later.
type memoryStore struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]store.Item
	history  []store.Item
	changed  chan struct{}
	// fault returns what goes wrong with a commit; nil means nothing.
	fault func(store.Change) commitFault
	// late are the commits that are still under way.
	late []store.Change
	// grants counts the leases; refuseGrants refuses further ones.
	grants       int
	refuseGrants bool
}

type commitFault int

const (
	noFault commitFault = iota
	// refuse has no effect.
	refuse
	// loseAnswer applies the commit, and loses the answer.
	loseAnswer
	// applyLate gives no answer and keeps the commit under way.
	applyLate
)

func newMemoryStore() *memoryStore {
	info, err := batch.Encode(mirror.EntryInfo{ID: "o", Address: "127.0.0.1:1"})
	if err != nil {
		panic(err)
	}
	s := &memoryStore{items: map[string]store.Item{}, changed: make(chan struct{})}
	s.apply(store.Change{Sets: []store.Set{{Key: mirror.OwnerKey, Value: info}}})
	return s
}

// apply applies a change; the caller holds s.mu unless the store isn't shared yet.
func (s *memoryStore) apply(c store.Change) (uint64, error) {
	failed := false
	var current []store.Item
	for _, check := range c.Checks {
		item := s.items[check.Key]
		if item.Version != 0 {
			current = append(current, item)
		}
		failed = failed || item.Version != check.Version
	}
	if failed {
		return 0, &store.CheckError{Items: current}
	}
	s.revision++
	for _, set := range c.Sets {
		s.put(store.Item{Key: set.Key, Value: set.Value, Lease: set.Lease, Version: s.revision})
	}
	for _, key := range c.Deletes {
		s.put(store.Item{Key: key})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision, nil
}

func (s *memoryStore) put(item store.Item) {
	s.items[item.Key] = item
	recorded := item
	if item.Version == 0 {
		delete(s.items, item.Key)
	}
	s.history = append(s.history, recorded)
}

func (s *memoryStore) Commit(_ context.Context, c store.Change) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := noFault
	if s.fault != nil {
		fault = s.fault(c)
	}
	switch fault {
	case refuse:
		return 0, &store.RefusedError{Op: "commit", Status: 503}
	case loseAnswer:
		_, _ = s.apply(c)
		return 0, &store.UnavailableError{Op: "commit", Cause: errors.New("reset")}
	case applyLate:
		s.late = append(s.late, c)
		return 0, &store.UnavailableError{Op: "commit", Cause: errors.New("reset")}
	}
	return s.apply(c)
}

// applyLate applies the i-th commit that is under way.
func (s *memoryStore) applyLate(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.late[i]
	s.late = append(s.late[:i:i], s.late[i+1:]...)
	_, _ = s.apply(c)
}

func (s *memoryStore) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Version != 0
}

func (s *memoryStore) Get(_ context.Context, key string) (store.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if item := s.items[key]; item.Version != 0 {
		return item, nil
	}
	return store.Item{}, &store.NotFoundError{Key: key}
}

func (s *memoryStore) Grant(context.Context, time.Duration) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuseGrants {
		return 0, &store.RefusedError{Op: "grant", Status: 503}
	}
	s.grants++
	return uint64(s.grants), nil
}

func (s *memoryStore) List(context.Context, string) ([]store.Item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []store.Item
	for _, item := range s.items {
		items = append(items, item)
	}
	return items, s.revision, nil
}

func (s *memoryStore) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) ([]store.Item, uint64, error) {
	for {
		s.mu.Lock()
		revision, changed := s.revision, s.changed
		// All changes are returned again; the last one of each key counts.
		items := append([]store.Item(nil), s.history...)
		s.mu.Unlock()
		if revision > after {
			return items, revision, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, after, ctx.Err()
		}
	}
}

// gateEntry is an entry with a gate whose forecast refuses all jobs while full is set.
type gateEntry struct {
	*Service
	store *memoryStore
	full  bool
}

func newGateEntry(t *testing.T, s *memoryStore) *gateEntry {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	m := &mirror.Mirror{Store: s, Log: log}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	e := &gateEntry{store: s, full: true}
	number := uint64(0)
	e.Service = &Service{Store: s, Mirror: m, Gate: &Gate{
		Store: s, Leases: s, Mirror: m, Log: log,
		Policy: func() (batch.Policy, uint64) {
			return batch.Policy{Teams: map[model.Team]batch.Team{"g": {Name: "g", Guarantee: 8}}}, 1
		},
		Own: func() (room.Forecast, bool) {
			number++
			wait := time.Duration(0)
			if e.full {
				wait = time.Hour
			}
			return room.Forecast{Fence: 1, Number: number, Queues: []room.QueueForecast{{
				Name: "q", Sizes: []room.Size{{}}, Objectives: []time.Duration{0}, Waits: []time.Duration{wait},
			}}}, true
		},
	}}
	e.awaitMirror(t)
	return e
}

// awaitMirror waits until the entry's mirror has all changes.
func (e *gateEntry) awaitMirror(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond / 4) {
		e.store.mu.Lock()
		revision := e.store.revision
		e.store.mu.Unlock()
		if have, _, ok := e.Mirror.Status(); ok && have >= revision {
			return
		}
	}
	t.Fatal("the mirror is behind the store")
}

// submit submits a job within timeout.
func (e *gateEntry) submit(id model.JobID, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return e.Submit(ctx, gateJob(id, "a"))
}

func gateJob(id model.JobID, team model.Team) *batch.Job {
	queue := batch.Queue{Name: "q", Service: "svc", Priority: 1, Stretch: 2, Target: time.Second}
	return &batch.Job{ID: id, Queue: "q", Team: team, QueueConfig: queue, Steps: []batch.Step{{Count: 1, Estimate: time.Second}}}
}

// isRefusal reports whether a job was refused for lack of capacity, by this attempt or by another one.
func isRefusal(err error) bool {
	var noCapacity *NoCapacityError
	return errors.As(err, &noCapacity) || errors.Is(err, errRefusedElsewhere)
}

const longTimeout = 20 * time.Second

// A job that can't start in time must be refused at once, with nothing of it stored, and a later request with its ID may be accepted.
func TestRefusedJobIsNotStored(t *testing.T) {
	s := newMemoryStore()
	a, b := newGateEntry(t, s), newGateEntry(t, s)
	var noCapacity *NoCapacityError
	if err := a.submit("j", longTimeout); !errors.As(err, &noCapacity) || noCapacity.RetryAfter < time.Second {
		t.Fatalf("got %v, want a NoCapacityError with the time after which the caller may return", err)
	}
	if s.has(batch.JobKey("j")) {
		t.Error("the refused job is stored")
	}
	b.awaitMirror(t)
	b.full = false
	if err := b.submit("j", longTimeout); err != nil || !s.has(batch.JobKey("j")) {
		t.Errorf("later request: got %v, want the job stored", err)
	}
	if s.has(batch.RefusedKey("j")) {
		t.Error("the mark of the earlier refusal is left beside the accepted job")
	}
}

// A job that is stored must never be refused: its caller repeats the request because an answer was lost.
func TestStoredJobIsNeverRefused(t *testing.T) {
	s := newMemoryStore()
	a, b := newGateEntry(t, s), newGateEntry(t, s)
	a.full = false
	if err := a.submit("before", longTimeout); err != nil {
		t.Fatal(err)
	}
	for _, behind := range []bool{false, true} {
		if !behind {
			b.awaitMirror(t)
		}
		if err := b.submit("before", longTimeout); err != nil {
			t.Errorf("stored through another entry before, mirror behind: %v: got %v, want success", behind, err)
		}
	}
	// Another entry stores the job after the decision to refuse it, but before the mark.
	s.fault = func(c store.Change) commitFault {
		if len(c.Sets) == 1 && c.Sets[0].Key == batch.RefusedKey("during") {
			value, err := batch.Encode(gateJob("during", "a"))
			if err != nil {
				t.Error(err)
			}
			_, _ = s.apply(store.Change{Sets: []store.Set{{Key: batch.JobKey("during"), Value: value}}})
		}
		return noFault
	}
	if err := b.submit("during", longTimeout); err != nil {
		t.Errorf("stored through another entry during the decision: got %v, want success", err)
	}
	// The first attempt at this entry had an unknown outcome, and the job is stored.
	s.fault = func(store.Change) commitFault { return loseAnswer }
	var unknown *UnknownOutcomeError
	if err := a.submit("unknown", time.Millisecond); !errors.As(err, &unknown) {
		t.Fatalf("got %v, want an UnknownOutcomeError", err)
	}
	s.fault = nil
	for _, e := range []*gateEntry{a, b} {
		e.full = true
		if err := e.submit("unknown", longTimeout); err != nil {
			t.Errorf("repeated after an attempt with an unknown outcome: got %v, want success", err)
		}
	}
}

// A commit of an earlier attempt may still be under way when the repeated submission is refused. If it were applied afterwards, a
// refused job would run.
func TestEarlierAttemptIsNotStoredAfterARefusal(t *testing.T) {
	s := newMemoryStore()
	a, b := newGateEntry(t, s), newGateEntry(t, s)
	a.full = false
	s.fault = func(store.Change) commitFault { return applyLate }
	var unknown *UnknownOutcomeError
	if err := a.submit("j", time.Millisecond); !errors.As(err, &unknown) {
		t.Fatalf("got %v, want an UnknownOutcomeError", err)
	}
	s.fault = nil
	var noCapacity *NoCapacityError
	if err := b.submit("j", longTimeout); !errors.As(err, &noCapacity) {
		t.Fatalf("got %v, want a NoCapacityError", err)
	}
	for len(s.late) > 0 {
		s.applyLate(0)
	}
	if s.has(batch.JobKey("j")) {
		t.Error("a commit from before the refusal has stored the job")
	}
	// An attempt that began before the refusal and goes on must end with a refusal too.
	s.fault = func(c store.Change) commitFault {
		if len(c.Checks) == 2 && !s.marked("k") {
			_, _ = s.apply(store.Change{Sets: []store.Set{{Key: batch.RefusedKey("k"), Value: []byte{}}}})
		}
		return noFault
	}
	var notRun *NotRunError
	if err := a.submit("k", longTimeout); !errors.As(err, &notRun) || s.has(batch.JobKey("k")) {
		t.Errorf("attempt from before a refusal: got %v, want a NotRunError", err)
	}
}

// marked reports whether a job has a mark; the caller holds s.mu.
func (s *memoryStore) marked(id model.JobID) bool { return s.items[batch.RefusedKey(id)].Version != 0 }

// A mark that has expired since the mirror saw it must not keep the job out for good.
func TestExpiredMarkIsNoObstacle(t *testing.T) {
	s := newMemoryStore()
	a := newGateEntry(t, s)
	if err := a.submit("j", longTimeout); !isRefusal(err) {
		t.Fatalf("got %v, want a refusal", err)
	}
	a.awaitMirror(t)
	a.full = false
	s.fault = func(c store.Change) commitFault {
		if s.marked("j") {
			_, _ = s.apply(store.Change{Deletes: []string{batch.RefusedKey("j")}})
		}
		return noFault
	}
	if err := a.submit("j", longTimeout); err != nil || !s.has(batch.JobKey("j")) {
		t.Errorf("got %v, want the job stored", err)
	}
}

// Without the store's word that a job isn't stored, it may not be refused; and the store's failure must not be hidden by a refusal for
// lack of capacity.
func TestNothingIsRefusedWithoutTheStore(t *testing.T) {
	s := newMemoryStore()
	a := newGateEntry(t, s)
	isMark := func(c store.Change) bool { return len(c.Sets) == 1 && c.Sets[0].Lease != 0 }
	for _, fault := range []commitFault{refuse, applyLate} {
		id := model.JobID(fmt.Sprint("mark-", fault))
		s.fault = func(c store.Change) commitFault {
			if isMark(c) {
				return fault
			}
			return noFault
		}
		if err := a.submit(id, longTimeout); err != nil || !s.has(batch.JobKey(id)) {
			t.Errorf("fault %d of the mark: got %v, want the job stored", fault, err)
		}
	}
	// A mark that is applied after all must not come beside the stored job.
	for len(s.late) > 0 {
		s.applyLate(0)
	}
	if s.has(batch.RefusedKey("mark-3")) {
		t.Error("a late mark was applied to a stored job")
	}
	s.fault, s.refuseGrants = nil, true
	b := newGateEntry(t, s)
	if err := b.submit("lease", longTimeout); err != nil || !s.has(batch.JobKey("lease")) {
		t.Errorf("no lease: got %v, want the job stored", err)
	}
	s.fault = func(store.Change) commitFault { return refuse }
	var notRun *NotRunError
	if err := b.submit("down", longTimeout); !errors.As(err, &notRun) {
		t.Errorf("store down: got %v, want a NotRunError", err)
	}
}

// Work with a guarantee must be accepted however full the installation is, and each entry accepts all without a forecast.
func TestGateAcceptsWhatIsNeverRefused(t *testing.T) {
	s := newMemoryStore()
	a := newGateEntry(t, s)
	job := gateJob("g", "g")
	job.QueueConfig.Priority = 0
	if err := a.Submit(context.Background(), job); err != nil {
		t.Errorf("urgent job of a team with a guarantee: got %v, want success", err)
	}
	a.Gate.Own = func() (room.Forecast, bool) { return room.Forecast{}, false }
	b := newGateEntry(t, s)
	b.Gate.Own = a.Gate.Own
	if err := b.submit("j", longTimeout); err != nil {
		t.Errorf("without a forecast: got %v, want success", err)
	}
}

// One lease serves many marks: a lease for each refusal would double the calls of the store while capacity is short.
func TestMarksShareALease(t *testing.T) {
	s := newMemoryStore()
	a := newGateEntry(t, s)
	for i := range 20 {
		if err := a.submit(model.JobID(fmt.Sprint("j", i)), longTimeout); !isRefusal(err) {
			t.Fatalf("got %v, want a refusal", err)
		}
	}
	if s.grants != 1 {
		t.Errorf("got %d leases, want 1", s.grants)
	}
}

// Property: whatever is lost or late, no commit of an attempt is applied after a request that came later was refused. Attempts at
// the same jobs come in turn through two entries, whose mirrors may be behind.
func TestRefusalsAreTrue(t *testing.T) {
	refusals, stored := 0, 0
	for seed := range int64(40) {
		rng := rand.New(rand.NewSource(seed))
		s := newMemoryStore()
		entries := []*gateEntry{newGateEntry(t, s), newGateEntry(t, s)}
		// refused holds the jobs that were refused and of which no later request has begun.
		refused := map[model.JobID]bool{}
		check := func(step int, what string) {
			for id := range refused {
				if s.has(batch.JobKey(id)) {
					t.Fatalf("seed %d, step %d: %s has stored job %s after its refusal", seed, step, what, id)
				}
			}
		}
		for step := range 30 {
			switch rng.Intn(4) {
			case 0:
				if len(s.late) > 0 {
					s.applyLate(rng.Intn(len(s.late)))
					check(step, "a late commit")
				}
			case 1:
				entries[rng.Intn(2)].awaitMirror(t)
			default:
				e := entries[rng.Intn(2)]
				e.full = rng.Intn(3) > 0
				faults := []commitFault{noFault, noFault, commitFault(rng.Intn(4)), commitFault(rng.Intn(4))}
				s.mu.Lock()
				s.fault = func(store.Change) commitFault { return faults[rng.Intn(len(faults))] }
				s.mu.Unlock()
				// A timeout that is over at once allows one commit.
				timeout := time.Nanosecond
				if rng.Intn(4) == 0 {
					timeout = longTimeout
				}
				id := model.JobID(fmt.Sprint("j", rng.Intn(8)))
				wasStored := s.has(batch.JobKey(id))
				delete(refused, id)
				err := e.submit(id, timeout)
				if isRefusal(err) {
					refusals++
					refused[id] = true
				}
				if wasStored && refused[id] {
					t.Fatalf("seed %d, step %d: the stored job %s was refused: %v", seed, step, id, err)
				}
				check(step, "an attempt")
			}
		}
		s.mu.Lock()
		s.fault = nil
		s.mu.Unlock()
		for len(s.late) > 0 {
			s.applyLate(0)
			check(-1, "a late commit")
		}
		for i := range 8 {
			if s.has(batch.JobKey(model.JobID(fmt.Sprint("j", i)))) {
				stored++
			}
		}
	}
	t.Logf("%d refusals, %d stored jobs", refusals, stored)
	if refusals < 50 || stored < 50 {
		t.Errorf("got %d refusals and %d stored jobs, want at least 50 each", refusals, stored)
	}
}

// The owner sends its forecast with the answer to a notification, and an entry takes it only from the owner that it knows. Processes
// without forecasts must go on working beside those with them.
func TestForecastComesWithTheAnswer(t *testing.T) {
	ownerMirror := newSyncedMirror(t)
	log := slog.New(slog.DiscardHandler)
	forecast := room.Forecast{Fence: 3, Number: 1, Queues: []room.QueueForecast{{
		Name: "q", Sizes: []room.Size{{}}, Objectives: []time.Duration{0}, Waits: []time.Duration{time.Hour},
	}}}
	ok := true
	receiver := &Notifier{Mirror: ownerMirror, Token: "t", Log: log, Forecast: func() (room.Forecast, bool) { return forecast, ok }}
	server := httptest.NewServer(receiver)
	t.Cleanup(server.Close)
	info, err := batch.Encode(mirror.EntryInfo{ID: "o", Address: server.Listener.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	entryMirror := newSyncedMirror(t, store.Item{Key: mirror.OwnerKey, Value: info, Version: 3})
	gate := &Gate{Mirror: entryMirror, Log: log, Policy: func() (batch.Policy, uint64) { return batch.Policy{}, 1 }}
	sender := &Notifier{Mirror: entryMirror, Token: "t", HTTP: http.DefaultClient, Log: log, TakeForecast: gate.TakeForecast}
	item := store.Item{Key: batch.JobPrefix + "x", Version: 7}
	if item.Value, err = batch.Encode(&batch.Job{ID: "x"}); err != nil {
		t.Fatal(err)
	}
	send := func() {
		t.Helper()
		if err := sender.sendItem(entryMirror.Owner(), item); err != nil {
			t.Fatal(err)
		}
	}
	refused := func() bool {
		_, refused := gate.decide(gateJob("j", "a"))
		return refused
	}
	ok = false
	send()
	if refused() {
		t.Error("refused without a forecast")
	}
	ok = true
	forecast.Fence = 2
	send()
	if refused() {
		t.Error("refused by the forecast of a former owner")
	}
	forecast.Fence = 3
	// On a machine that stands still meanwhile, the forecast expires before it is used; it is then sent again.
	got := false
	for end := time.Now().Add(longTimeout); !got && time.Now().Before(end); forecast.Number++ {
		send()
		got = refused()
	}
	if !got {
		t.Error("accepted in spite of the forecast")
	}
}
