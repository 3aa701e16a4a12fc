package peers

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wagtailhoist/core/member"
	"wagtailhoist/core/model"
	"wagtailhoist/core/route"
	"wagtailhoist/io/link"
	"wagtailhoist/io/store"
)

// TestMain fails if a goroutine outlives the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeStore is an in-memory store of leased keys; while down is set, all calls fail.
type fakeStore struct {
	mu    sync.Mutex
	down  bool
	last  uint64
	items map[string]store.Item
}

// do runs fn unless the store is down.
func (f *fakeStore) do(op string, fn func() error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return &store.UnavailableError{Op: op}
	}
	f.last++
	return fn()
}

func (f *fakeStore) Put(_ context.Context, key string, value []byte, version, lease uint64) (now uint64, err error) {
	err = f.do("put", func() error {
		now = f.last
		if have := f.items[key].Version; have != version {
			return &store.ConflictError{Key: key, Want: version, Have: have}
		}
		f.items[key] = store.Item{Key: key, Value: value, Version: now, Lease: lease}
		return nil
	})
	return now, err
}

func (f *fakeStore) Get(_ context.Context, key string) (item store.Item, err error) {
	err = f.do("get", func() error {
		if item = f.items[key]; item.Version == 0 {
			return &store.NotFoundError{Key: key}
		}
		return nil
	})
	return item, err
}

func (f *fakeStore) List(context.Context, string) (items []store.Item, _ uint64, err error) {
	err = f.do("list", func() error {
		for _, item := range f.items {
			items = append(items, item)
		}
		return nil
	})
	return items, 0, err
}

func (f *fakeStore) Grant(context.Context, time.Duration) (lease uint64, err error) {
	err = f.do("grant", func() error {
		lease = f.last
		return nil
	})
	return lease, err
}

func (f *fakeStore) Renew(context.Context, uint64) error {
	return f.do("renew", func() error { return nil })
}

func (f *fakeStore) Revoke(_ context.Context, lease uint64) error {
	return f.do("revoke", func() error {
		for key, item := range f.items {
			if item.Lease == lease {
				delete(f.items, key)
			}
		}
		return nil
	})
}

// entry is an entry's Peers with its link listener.
type entry struct {
	*Peers
	address string
	stop    func()
}

// hello returns the Hello of a process that starts now.
func hello(id string, role link.Role, region, address string) link.Hello {
	return link.Hello{
		Node: model.NodeID(id), Incarnation: model.NewIncarnation(time.Now()), Role: role,
		Region: model.Region(region), Centre: model.Centre(region + "-a"), Address: address,
	}
}

// newEntry starts the Peers of an entry, which stop at the end of the test or by stop.
func newEntry(t testing.TB, id, region string, s Store, join ...string) *entry {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	settings := link.Settings{Self: hello(id, link.RoleEntry, region, address), Token: "t"}
	p := &Peers{Settings: settings, Store: s, Join: join, Members: &Members{
		Table: member.Table{Region: model.Region(region), Centre: model.Centre(region + "-a")},
		Relay: member.Relay{Address: address},
	}}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l, err := link.Accept(w, r, settings); err == nil {
			p.Serve(l)
		}
	})}
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	e := &entry{Peers: p, address: address, stop: sync.OnceFunc(func() {
		cancel()
		<-done
		_ = server.Close()
	})}
	t.Cleanup(e.stop)
	return e
}

// newAgent links an agent that announces its record, and records of the nodes in alsoAnnounced, to an
// entry every 200 ms until stop is called. It returns the lists of entries that the agent receives.
func newAgent(t *testing.T, id, region string, e *entry, alsoAnnounced ...model.NodeID) (stop func(), known <-chan link.EntryList) {
	t.Helper()
	s := link.Settings{Self: hello(id, link.RoleAgent, region, "127.0.0.1:9"), Token: "t"}
	l, err := link.Dial(t.Context(), e.address, s)
	if err != nil {
		t.Fatal(err)
	}
	lists := make(chan link.EntryList, 100)
	var work sync.WaitGroup
	work.Go(func() {
		for {
			f, err := l.Receive()
			if err != nil {
				return
			}
			if k, ok := f.(link.EntryList); ok {
				lists <- k
			}
		}
	})
	work.Go(func() {
		for sequence := uint64(1); ; sequence++ {
			var records []model.Record
			for _, id := range append(alsoAnnounced, s.Self.Node) {
				records = append(records, model.Record{
					ID: id, Incarnation: s.Self.Incarnation, Sequence: sequence, Region: s.Self.Region,
					Centre: s.Self.Centre, Address: s.Self.Address, Service: "plan", Load: model.Load{Slots: 8},
				})
			}
			if l.Send(link.Announce{Records: records}) != nil {
				return
			}
			select {
			case <-l.Done():
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	})
	stop = sync.OnceFunc(func() {
		l.Close()
		work.Wait()
	})
	t.Cleanup(stop)
	return stop, lists
}

// candidates returns the identifiers of the agents that may get work, separated by spaces.
func (e *entry) candidates() string {
	var ids []string
	for _, r := range e.Members.Candidates(time.Now(), "plan") {
		ids = append(ids, string(r.ID))
	}
	return strings.Join(ids, " ")
}

// within waits until ok returns true and returns the time that it took; the test fails after limit.
func within(t *testing.T, limit time.Duration, what string, ok func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// An agent announces itself in its region only. All entries of both regions must learn of it and of its
// loss, whichever entry it is linked to.
func TestRecordsReachAllEntries(t *testing.T) {
	s := &fakeStore{items: map[string]store.Item{}}
	entries := []*entry{newEntry(t, "e1", "w", s), newEntry(t, "e2", "w", s), newEntry(t, "e3", "e", s)}
	within(t, 8*time.Second, "entries are linked", func() bool {
		for _, e := range entries {
			near, far := e.linksByRegion()
			if len(near)+len(far) != 2 {
				return false
			}
		}
		return true
	})
	stop, _ := newAgent(t, "m1", "w", entries[1])
	for _, e := range entries {
		within(t, 5*time.Second, fmt.Sprintf("%s sees the agent", e.Settings.Self.Node), func() bool { return e.candidates() == "m1" })
	}
	for range 30 { // load is not forwarded to the other region; the record must stay a candidate there
		time.Sleep(100 * time.Millisecond)
		if got := entries[2].candidates(); got != "m1" {
			t.Fatalf("candidates in the other region: got %q", got)
		}
	}
	if rec, err := entries[2].Members.Pick(time.Now(), route.Request{Service: "plan"}); err != nil || rec.ID != "m1" {
		t.Errorf("pick from the other region: got %q, %v", rec.ID, err)
	}
	stop()
	for _, e := range entries[:2] {
		within(t, 4500*time.Millisecond, "the own region drops the agent", func() bool { return e.candidates() == "" })
	}
	within(t, 3*time.Second, "the other region drops the agent", func() bool { return entries[2].candidates() == "" })
}

// Records of a region must end when none of its entries is heard from any more.
func TestRecordsEndWithEntriesOfRegion(t *testing.T) {
	s := &fakeStore{items: map[string]store.Item{}}
	west, east := newEntry(t, "e1", "w", s), newEntry(t, "e2", "e", s)
	newAgent(t, "m1", "w", west)
	within(t, 8*time.Second, "the other region sees the agent", func() bool { return east.candidates() == "m1" })
	west.stop()
	within(t, 4500*time.Millisecond, "its records end", func() bool { return east.candidates() == "" })
}

// While the store is down, a new entry must find all others through any one of them, and agents must still
// get the list of entries.
func TestEntriesFindEachOtherWithoutStore(t *testing.T) {
	s := &fakeStore{items: map[string]store.Item{}, down: true}
	first := newEntry(t, "e5", "w", s)
	entries := []*entry{first}
	for _, id := range []string{"e1", "e9", "e3"} {
		entries = append(entries, newEntry(t, id, "w", s, first.address))
	}
	for _, e := range entries {
		within(t, 15*time.Second, "all entries are linked", func() bool { return e.Entries() == 4 })
	}
	_, lists := newAgent(t, "m1", "w", first)
	if got := (<-lists).Entries; len(got) != 4 {
		t.Errorf("list of entries sent to an agent: got %v, want four", got)
	}
	entries[3].stop()
	within(t, 8*time.Second, "an entry that stopped leaves the list", func() bool {
		return len((<-lists).Entries) == 3
	})
}

// An agent must not be able to write the record of another agent.
func TestAgentAnnouncesOnlyItself(t *testing.T) {
	e := newEntry(t, "e1", "w", nil)
	newAgent(t, "m1", "w", e, "m2")
	within(t, 3*time.Second, "the agent is seen", func() bool { return e.candidates() != "" })
	time.Sleep(300 * time.Millisecond)
	if got := e.candidates(); got != "m1" {
		t.Errorf("candidates: got %q, want m1", got)
	}
}
