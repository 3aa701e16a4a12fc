package conf

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wagtailhoist/core/config"
	"wagtailhoist/core/model"
	"wagtailhoist/io/store"
	"wagtailhoist/stand/fault"
	"wagtailhoist/stand/plat"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture runs a store with fault injection for the managers of a test.
type fixture struct {
	t      *testing.T
	ctx    context.Context
	url    string
	faults *fault.Set
}

func newFixture(t *testing.T) *fixture {
	p := plat.New(nil, 0)
	ctx, cancel := context.WithCancel(t.Context())
	expired := make(chan struct{})
	go func() {
		defer close(expired)
		for pause(ctx, 10*time.Millisecond) {
			p.Keys.Expire(time.Now())
		}
	}()
	server := httptest.NewServer(p.Handler())
	t.Cleanup(func() {
		cancel()
		<-expired
		server.CloseClientConnections()
		server.Close()
	})
	return &fixture{t: t, ctx: t.Context(), url: server.URL, faults: p.Faults}
}

func (b *fixture) client() *store.Client {
	return &store.Client{URL: b.url, Timeout: 300 * time.Millisecond, HTTP: b.http()}
}

// start runs a manager until the returned function is called.
func (b *fixture) start(id model.NodeID, region model.Region, s Store) (*Manager, func()) {
	m := New(Options{ID: id, Region: region, Incarnation: model.NewIncarnation(time.Now()), Store: s})
	ctx, cancel := context.WithCancel(b.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	stop := sync.OnceFunc(func() {
		cancel()
		<-done
	})
	b.t.Cleanup(stop)
	return m, stop
}

// directLink delivers messages to another manager without a network.
type directLink struct {
	from model.NodeID
	to   *Manager
}

func (w directLink) Send(m config.Message) error {
	w.to.Receive(w.from, m)
	return nil
}

func connect(a, b *Manager) {
	a.LinkUp(b.opts.ID, directLink{a.opts.ID, b}, false)
	b.LinkUp(a.opts.ID, directLink{b.opts.ID, a}, false)
}

// eventually waits until ok returns true, at most for limit.
func eventually(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// usesRevision returns a condition: m uses revision r, which the store has confirmed or not, as given.
func (m *Manager) usesRevision(r model.Revision, confirmed bool) func() bool {
	return func() bool {
		s, _ := m.Status()
		return s.Ready && s.InUse == r && s.Confirmed == confirmed
	}
}

const (
	recordPath = "/kv/config"
	doc1       = "teams: [{name: a, weight: 1}]\n"
	doc2       = "teams: [{name: b, weight: 1}]\n"
)

// During an upgrade an older process may receive a document that it can't parse. It has to report that, keep the revision
// before it in use, and send the unchanged document to the newer process that replaces it.
func TestOlderProcessForwardsDocumentItCannotParse(t *testing.T) {
	b := newFixture(t)
	newerDocument := doc2 + "# comment\nsetting-of-a-newer-version: 1\n"
	client := b.client()
	write := func(r model.Revision, document string) {
		value, err := config.Record{Snapshot: config.Snapshot{Revision: r, Document: document}}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		version := uint64(0)
		if item, err := client.Get(b.ctx, config.Key); err == nil {
			version = item.Version
		}
		if _, err := client.Put(b.ctx, config.Key, value, version, 0); err != nil {
			t.Fatal(err)
		}
	}
	write(1, doc1)
	old, _ := b.start("old", "r", client)
	eventually(t, 5*time.Second, "revision 1", old.usesRevision(1, true))
	write(2, newerDocument)
	eventually(t, 5*time.Second, "a fault", func() bool { s, _ := old.Status(); return s.Fault != "" })
	s, _ := old.Status()
	if s.InUse != 1 || s.Highest != 2 || s.Confirmed || !s.Ready || strings.Contains(s.Fault, "\n") {
		t.Errorf("status of the older process: got %+v, want revision 1 in use, 2 held, ready", s)
	}
	if c, d, _ := old.InUse(); c.Revision != 1 || len(d.Teams) != 1 || d.Teams[0].Name != "a" {
		t.Errorf("in use: got %d %v, want the declaration of revision 1", c.Revision, d.Teams)
	}
	// The newer process is linked only to the older one and has no access to the store.
	upgraded, _ := b.start("new", "r", nil)
	upgraded.mu.Lock()
	upgraded.state.CheckReadable = func(c config.Snapshot) error {
		if c.Revision == 2 && c.Document != newerDocument {
			t.Errorf("document: got %q, want %q", c.Document, newerDocument)
		}
		return nil
	}
	upgraded.mu.Unlock()
	began := time.Now()
	connect(old, upgraded)
	eventually(t, 5*time.Second, "the newer process uses revision 2", upgraded.usesRevision(2, true))
	t.Logf("newer process uses the document after %v", time.Since(began))
	_, peers := upgraded.Status()
	if got := peers["old"]; got.Fault == "" || got.InUse != 1 {
		t.Errorf("older process seen by the newer one: got %+v, want revision 1 with a fault", got)
	}
	write(3, doc2)
	eventually(t, 5*time.Second, "a document that the older process can read", old.usesRevision(3, true))
}

// A writer that treats a lost answer as a failure, or the refusal of a duplicate delivery as a conflict, would report the
// opposite of what happened to the operator.
func TestApplyUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fault  fault.Fault
		effect bool
		err    any
	}{
		{"no fault", fault.Fault{Mode: fault.Slow, Count: 1}, true, nil},
		{"down before the effect, once", fault.Fault{Mode: fault.Down, Method: "PUT", Count: 1}, true, nil},
		{"down for all reads", fault.Fault{Mode: fault.Down, Method: "GET"}, false, new(*store.UnavailableError)},
		{"down for all writes", fault.Fault{Mode: fault.Down, Method: "PUT"}, false, new(*UnknownOutcomeError)},
		{"answer lost after the effect", fault.Fault{Mode: fault.LoseAnswer, Method: "PUT", Count: 1}, true, nil},
		{"answer lost after the effect each time", fault.Fault{Mode: fault.LoseAnswer, Method: "PUT"}, true, nil},
		{"no answer after the effect", fault.Fault{Mode: fault.WithholdAnswer, Method: "PUT", Count: 1}, true, nil},
		{"no answer and no effect", fault.Fault{Mode: fault.Silent, Method: "PUT", Count: 1}, true, nil},
		{"slower than the timeout", fault.Fault{Mode: fault.Slow, Method: "PUT", Delay: 500, Count: 1}, true, nil},
		{"slow", fault.Fault{Mode: fault.Slow, Delay: 100}, true, nil},
		{"written twice", fault.Fault{Mode: fault.Twice, Method: "PUT", Count: 1}, true, nil},
		{"connection refused", fault.Fault{Mode: fault.Refuse, Method: "PUT", Count: 1}, true, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newFixture(t)
			m := New(Options{ID: "e1", Store: b.client()})
			tc.fault.Service, tc.fault.Path = "store", recordPath
			b.faults.Add(tc.fault)
			ctx, cancel := context.WithTimeout(b.ctx, 2*time.Second)
			defer cancel()
			got, err := m.Apply(ctx, config.Write{Change: "c1", Author: "ann", Document: doc1})
			b.faults.Add(fault.Fault{Mode: fault.Clear})
			if tc.err == nil && (err != nil || got != 1) {
				t.Fatalf("apply: got %d, %v, want revision 1", got, err)
			}
			if tc.err != nil && !errors.As(err, tc.err) {
				t.Fatalf("apply: got %v, want %T", err, tc.err)
			}
			record, _, err := readRecord(b.ctx, b.client())
			if err != nil {
				t.Fatal(err)
			}
			if has := record.Revision == 1 && record.Change == "c1"; has != tc.effect {
				t.Errorf("effect: got %v (revision %d), want %v", has, record.Revision, tc.effect)
			}
			s, _ := m.Status()
			if has := s.InUse == 1 && s.Confirmed; has != tc.effect {
				t.Errorf("revision 1 in force and confirmed: got %v in %+v, want %v", has, s, tc.effect)
			}
		})
	}
}

// A writer that retries after a lost answer must find its change in the record even if other changes were written since.
func TestRetriedChangeIsFoundBehindLaterChanges(t *testing.T) {
	b := newFixture(t)
	m := New(Options{ID: "e1", Store: b.client()})
	for i := range 3 {
		if _, err := m.Apply(b.ctx, config.Write{Base: model.Revision(i), Change: fmt.Sprint("c", i), Document: doc1}); err != nil {
			t.Fatal(err)
		}
	}
	got, err := m.Apply(b.ctx, config.Write{Base: 0, Change: "c0", Document: doc1})
	if err != nil || got != 1 {
		t.Errorf("second try of the first change: got %d, %v, want revision 1", got, err)
	}
}

// Of several operators who change the same revision concurrently, one must succeed and the others get a conflict.
func TestConcurrentChangesConflict(t *testing.T) {
	b := newFixture(t)
	const operators = 8
	errs := make([]error, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			m := New(Options{ID: "e", Store: &store.Client{URL: b.url, HTTP: b.http()}})
			author := fmt.Sprint("operator", i)
			_, errs[i] = m.Apply(b.ctx, config.Write{Change: author, Author: author, Document: doc1})
		})
	}
	wg.Wait()
	record, _, err := readRecord(b.ctx, b.client())
	if err != nil {
		t.Fatal(err)
	}
	wins := 0
	for i, err := range errs {
		var conflict *config.ConflictError
		switch {
		case err == nil:
			wins++
			if got, want := record.Author, fmt.Sprint("operator", i); got != want {
				t.Errorf("author in the store: got %s, want the winner %s", got, want)
			}
		case !errors.As(err, &conflict) || conflict.Base != 0 || conflict.Have != 1 || conflict.Author != record.Author:
			t.Errorf("loser %d: got %v, want a conflict of 0 with 1 by %s", i, err, record.Author)
		}
	}
	if wins != 1 || record.Revision != 1 {
		t.Errorf("got %d winners and revision %d, want one of each", wins, record.Revision)
	}
}

// Only one process of a region watches the store; the others, among them agents, receive revisions over links.
func TestRevisionReachesLinkedProcesses(t *testing.T) {
	b := newFixture(t)
	e1, _ := b.start("e1", "west", b.client())
	e2, _ := b.start("e2", "west", b.client())
	agent, _ := b.start("a1", "west", nil)
	connect(e1, e2)
	connect(e2, agent)
	eventually(t, 10*time.Second, "agent ready", agent.Ready)
	eventually(t, 10*time.Second, "one watch", func() bool {
		s1, _ := e1.Status()
		s2, _ := e2.Status()
		return (s1.Watch == "west") != (s2.Watch == "west")
	})
	outside := New(Options{ID: "x", Store: b.client()})
	if _, err := outside.Apply(b.ctx, config.Write{Change: "c", Document: doc1}); err != nil {
		t.Fatal(err)
	}
	for _, m := range []*Manager{e1, e2, agent} {
		eventually(t, 8*time.Second, string(m.opts.ID)+" has revision 1", m.usesRevision(1, true))
	}
	if _, d, _ := agent.InUse(); len(d.Teams) != 1 || d.Teams[0].Name != "a" {
		t.Errorf("declaration of the agent: got %v, want the team a", d)
	}
}

// A connection may stop delivering answers without an error. The reads besides the watch keep the bound of 8 s.
func TestSilentWatchDoesNotDelayChanges(t *testing.T) {
	b := newFixture(t)
	b.faults.Add(fault.Fault{Mode: fault.Silent, Service: "store", Path: "/watch"})
	e1, _ := b.start("e1", "west", b.client())
	eventually(t, 10*time.Second, "ready", e1.Ready)
	eventually(t, 10*time.Second, "watching", func() bool {
		s, _ := e1.Status()
		return s.Watch == "west"
	})
	if _, err := New(Options{Store: b.client()}).Apply(b.ctx, config.Write{Change: "c", Document: doc1}); err != nil {
		t.Fatal(err)
	}
	eventually(t, 8*time.Second, "revision 1", e1.usesRevision(1, true))
}

// ReadSince must not count an answer of the store from before the time: a new owner relies on it.
func TestReadSinceWaitsForTheStore(t *testing.T) {
	b := newFixture(t)
	m, _ := b.start("e1", "west", b.client())
	eventually(t, 10*time.Second, "ready", m.Ready)
	if m.ReadSince(time.Now()) {
		t.Error("the store counts as read at once")
	}
	now := time.Now()
	eventually(t, 2*time.Second, "the store is read", func() bool { return m.ReadSince(now) })
	b.faults.Add(fault.Fault{Mode: fault.Down, Service: "store"})
	time.Sleep(500 * time.Millisecond)
	down := time.Now()
	for range 20 {
		if m.ReadSince(down) {
			t.Fatal("the store counts as read while it is down")
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.faults.Add(fault.Fault{Mode: fault.Clear})
	eventually(t, 8*time.Second, "the store is read again", func() bool { return m.ReadSince(down) })
}

// A process that restarts while the store is down must not use the lower revision of the peer that answers first.
func TestRestartWithStoreDownTakesHighestOfPeers(t *testing.T) {
	b := newFixture(t)
	high, _ := b.start("high", "west", b.client())
	eventually(t, 10*time.Second, "ready", high.Ready)
	low, _ := b.start("low", "east", nil)
	// Without a link, low receives revision 1 only.
	for i, doc := range []string{doc1, doc2} {
		if _, err := high.Apply(b.ctx, config.Write{Base: model.Revision(i), Change: doc, Document: doc}); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			c, _, _ := high.InUse()
			now := time.Now()
			low.update(func(time.Time) []config.Effect { return low.state.Store(now, now, c) })
		}
	}
	b.faults.Add(fault.Fault{Mode: fault.Down, Service: "store"})
	fresh, _ := b.start("fresh", "west", b.client())
	fresh.ExpectPeer("high", "low")
	connect(fresh, low)
	time.Sleep(config.PeerDiscoveryTime + 500*time.Millisecond)
	if fresh.Ready() {
		t.Fatal("ready before the second peer was heard")
	}
	connect(fresh, high)
	eventually(t, 10*time.Second, "revision 2 unconfirmed", fresh.usesRevision(2, false))
	b.faults.Add(fault.Fault{Mode: fault.Clear})
	eventually(t, 8*time.Second, "revision 2 confirmed", fresh.usesRevision(2, true))
}

// A message that arrives after the last link has ended must not mark the peer as linked: it would be regarded as the
// holder of its region's watch for good.
func TestLateMessageDoesNotRevivePeer(t *testing.T) {
	m := New(Options{ID: "e1", Region: "west"})
	first := m.LinkUp("e2", directLink{"e1", m}, false)
	second := m.LinkUp("e2", directLink{"e1", m}, false)
	m.Receive("e2", config.Message{Watch: "west", Age: -1})
	second()
	m.Receive("e2", config.Message{Watch: "west", Age: -1})
	first()
	if _, peers := m.Status(); len(peers) != 0 || m.state.PeerWatches("west") {
		t.Errorf("peers after the last link ended: got %v, want none", peers)
	}
}

// http returns a client whose idle connections are closed at the end of the test.
func (b *fixture) http() *http.Client {
	transport := &http.Transport{}
	b.t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}
