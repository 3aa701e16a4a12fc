package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/core/query"
	"wagtailhoist/io/conf"
	"wagtailhoist/io/meter"
	"wagtailhoist/io/store"
	"wagtailhoist/stand/fault"
	"wagtailhoist/stand/plat"
)

const (
	testToken = "operator-secret"
	doc       = "teams: [{name: a, weight: 1}]\n"
)

// fakeFleet and fakeJobs record the changes that the API carries out.
type fakeFleet struct {
	workers []model.Worker
	err     error
	calls   []string
}

func (f *fakeFleet) Processes() []Process {
	return []Process{{ID: "z", State: "ready"}, {ID: "e1", State: "ready"}}
}
func (f *fakeFleet) Records() []model.Record { return []model.Record{{ID: "m1", Service: "s"}} }
func (f *fakeFleet) Workers(context.Context) ([]model.Worker, error) {
	return f.workers, f.err
}

func (f *fakeFleet) Drain(_ context.Context, id model.NodeID) error {
	if id != "m1" {
		return &query.MissingError{Kind: "process", Name: string(id)}
	}
	f.calls = append(f.calls, "drain m1")
	return nil
}

type fakeJobs struct{ fleet *fakeFleet }

func (j fakeJobs) record(format string, args ...any) error {
	j.fleet.calls = append(j.fleet.calls, fmt.Sprintf(format, args...))
	return nil
}

// Submit reports all jobs as stored but the job "late".
func (j fakeJobs) Submit(_ context.Context, job model.JobSpec) (bool, error) {
	return job.ID != "late", j.record("submit %s", job.ID)
}

func (j fakeJobs) Cancel(_ context.Context, ids []model.JobID) (bool, error) {
	return true, j.record("cancel %v", ids)
}

func (j fakeJobs) SetQuarantined(_ context.Context, id model.WorkerID, quarantined bool) (bool, error) {
	return true, j.record("aside %s %v", id, quarantined)
}

func (j fakeJobs) Cells() []CellStatus {
	return []CellStatus{{Cell: "c", Owner: "e1", Fragmentation: 0.25}}
}

func (j fakeJobs) Observe(_ context.Context, s *query.Snapshot) {
	s.Workers = append(s.Workers, query.Worker{Worker: model.Worker{ID: "w1", GPUs: 8, Up: true}})
}

// fixture is a server with a client, on a simulated platform that can have faults.
type fixture struct {
	fleet  *fakeFleet
	faults *fault.Set
	client *Client
	ctx    context.Context
}

// newFixture starts the server and the configuration of an entry, and waits until the configuration is ready.
func newFixture(t *testing.T) *fixture {
	p := plat.New(nil, 0)
	platform := httptest.NewServer(p.Handler())
	t.Cleanup(platform.Close)
	m := conf.New(conf.Options{ID: "e1", Store: &store.Client{URL: platform.URL, Timeout: 300 * time.Millisecond}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	processMeter := meter.New()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = processMeter.Close()
	})
	for !m.Ready() {
		time.Sleep(time.Millisecond)
	}
	fleet := &fakeFleet{}
	s := &Server{ID: "e1", Token: testToken, Config: m, Fleet: fleet, Jobs: fakeJobs{fleet}, Meter: processMeter}
	api := httptest.NewServer(s.Handler())
	t.Cleanup(api.Close)
	return &fixture{fleet, p.Faults, &Client{URL: api.URL, Token: testToken}, t.Context()}
}

// kindOf returns the kind of a Failure, empty for other errors.
func kindOf(err error) Kind {
	var f *Failure
	if errors.As(err, &f) {
		return f.Kind
	}
	return ""
}

func (b *fixture) runQuery(text string) (QueryAnswer, error) {
	return b.client.Query(b.ctx, QueryRequest{Text: text, Author: "ann"})
}

// Without the check on every path, a caller without the token could read the plan or stop jobs.
func TestEveryPathNeedsTheToken(t *testing.T) {
	b := newFixture(t)
	for _, token := range []string{"", "wrong", testToken + "x"} {
		for _, path := range []string{"/status", "/config", "/metrics"} {
			c := &Client{URL: b.client.URL, Token: token}
			if got := kindOf(c.call(b.ctx, http.MethodGet, path, nil, nil)); got != KindDenied {
				t.Errorf("%s with token %q: got %q, want denied", path, token, got)
			}
		}
	}
	c := &Client{URL: b.client.URL, Token: "wrong"}
	if _, err := c.Query(b.ctx, QueryRequest{Text: "cancel j"}); kindOf(err) != KindDenied {
		t.Errorf("change with a wrong token: got %v, want denied", err)
	}
	if len(b.fleet.calls) > 0 {
		t.Errorf("carried out without the token: %v", b.fleet.calls)
	}
}

// Calls without the token must be limited, so that guesses take long, and must not count against the limit of calls with it.
func TestCallsAreLimited(t *testing.T) {
	b := newFixture(t)
	counts := map[Kind]int{}
	for range deniedBurst + 50 {
		counts[kindOf((&Client{URL: b.client.URL}).call(b.ctx, http.MethodGet, "/status", nil, nil))]++
	}
	if counts[KindTooMany] < 40 {
		t.Errorf("calls without the token: got %v, want at least 40 refused as too many", counts)
	}
	if _, err := b.client.Status(b.ctx); err != nil {
		t.Errorf("call with the token: got %v, want no error", err)
	}
	limit := newTokenBucket(2, 10)
	now := time.Unix(100, 0)
	for i, want := range []bool{true, true, false} {
		if got := limit.allow(now); got != want {
			t.Errorf("call %d at once: got %v, want %v", i, got, want)
		}
	}
	if !limit.allow(now.Add(100*time.Millisecond)) || limit.allow(now.Add(110*time.Millisecond)) {
		t.Error("after a tenth of a second: want one more call of ten a second")
	}
}

// Each failure must reach the client with its kind and a text that names the cause, and refused changes must not be carried out.
func TestFailuresKeepTheirKind(t *testing.T) {
	b := newFixture(t)
	apply := func(base model.Revision, document string) error {
		_, err := b.client.Apply(b.ctx, ApplyRequest{Base: base, Document: document, Author: "ann"})
		return err
	}
	if err := apply(0, doc); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name string
		err  error
		want Kind
		text string
	}{
		{"stale base", apply(0, doc), KindConflict, "made for revision 0, but the latest is revision 1 by ann"},
		{"faulty document", apply(1, "teams: [{name: A, weight: 1}]"), KindInvalid, "1:16: teams[0].name"},
		{"too large", apply(1, strings.Repeat(" ", maxBodyBytes)), KindTooLarge, "larger"},
		{"long author", func() error {
			_, err := b.client.Apply(b.ctx, ApplyRequest{Author: strings.Repeat("a", 999), Document: doc})
			return err
		}(), KindInvalid, "at most 128 bytes"},
		{"author with control characters", func() error {
			_, err := b.client.Apply(b.ctx, ApplyRequest{Base: 1, Author: "a\x1b[2J", Document: doc})
			return err
		}(), KindInvalid, "printable"},
		{"unknown field", b.client.call(b.ctx, http.MethodPost, "/query", map[string]int{"x": 1}, nil), KindInvalid, "unknown field"},
		{"syntax", func() error { _, err := b.runQuery("show nothing"); return err }(), KindInvalid, "1:6: found"},
		{"no such job", func() error { _, err := b.runQuery("why j"); return err }(), KindMissing, `no job "j"`},
		{"no such process", func() error { _, err := b.runQuery("drain x"); return err }(), KindMissing, `no process "x"`},
		{"change for an old revision", func() error { _, err := b.runQuery("cancel j at 0"); return err }(), KindConflict, "revision 0"},
		{"edit for an old revision", func() error { _, err := b.runQuery("team a weight 2 at 0"); return err }(), KindConflict, "revision 0"},
		{"edit out of range", func() error { _, err := b.runQuery("team a weight 0"); return err }(), KindInvalid, "teams[0].weight"},
		{"no entry", func() error {
			_, err := (&Client{URL: "http://127.0.0.1:1"}).Query(b.ctx, QueryRequest{})
			return err
		}(), KindUnavailable, "can't be reached"},
	} {
		if got := kindOf(tc.err); got != tc.want || !strings.Contains(tc.err.Error(), tc.text) {
			t.Errorf("%s: got %q, %.200v; want %q with %q", tc.name, got, tc.err, tc.want, tc.text)
		}
	}
	if len(b.fleet.calls) > 0 {
		t.Errorf("refused changes were carried out: %v", b.fleet.calls)
	}
}

// Guarantees that don't fit on the workers together must be refused: once accepted, not all of them could be met.
func TestGuaranteesAreCheckedAgainstTheWorkers(t *testing.T) {
	b := newFixture(t)
	b.fleet.workers = []model.Worker{{ID: "w1", Centre: "c", Rack: "r", GPUs: 8, Cores: 8, Memory: 8, Up: true}}
	two := "teams: [{name: a, weight: 1, guarantees: [{name: g, grace: 5s, shape: {tasks: 1, gpus: 8}}]}," +
		" {name: b, weight: 1, guarantees: [{name: h, grace: 5s, shape: {tasks: 1, gpus: 8}}]}]"
	_, err := b.client.Apply(b.ctx, ApplyRequest{Document: two})
	if kindOf(err) != KindInvalid || !strings.Contains(err.Error(), "a/g") || !strings.Contains(err.Error(), "b/h") {
		t.Errorf("two guarantees on one worker: got %v, want a refusal that names both", err)
	}
	b.fleet.err = errors.New("down")
	if _, err := b.client.Apply(b.ctx, ApplyRequest{Document: two}); kindOf(err) != KindUnavailable {
		t.Errorf("without the list of workers: got %v, want unavailable", err)
	}
}

// A data centre of which nothing is known is probably a mistake in the name: the operator must be told, and the change must be
// accepted all the same, because the data centre may be down.
func TestUnknownEvacuatedCentreIsNoted(t *testing.T) {
	b := newFixture(t)
	b.fleet.workers = []model.Worker{{ID: "w1", Centre: "lausanne", Rack: "r", GPUs: 8, Up: true}}
	got, err := b.client.Apply(b.ctx, ApplyRequest{Document: doc + "evacuate: [lausanne, nowhere, nowhere]\n"})
	want := `[evacuated data centre "nowhere": no worker or minion there is known]`
	if err != nil || fmt.Sprint(got.Notes) != want {
		t.Errorf("notes: got %v, %v, want %s", got.Notes, err, want)
	}
}

// A write to a store that is down must fail as unavailable, and a write whose answer is lost must be applied once.
func TestStoreFailuresKeepTheirKind(t *testing.T) {
	b := newFixture(t)
	b.faults.Add(fault.Fault{Mode: fault.Down, Service: "store"})
	if _, err := b.client.Apply(b.ctx, ApplyRequest{Document: doc}); kindOf(err) != KindUnavailable {
		t.Errorf("store down: got %v, want unavailable", err)
	}
	b.faults.Add(fault.Fault{Mode: fault.Clear})
	b.faults.Add(fault.Fault{Mode: fault.LoseAnswer, Service: "store", Method: "PUT", Path: "/kv/config", Count: 1})
	got, err := b.client.Apply(b.ctx, ApplyRequest{Document: doc, Change: "c"})
	if err != nil || got.Revision != 1 {
		t.Errorf("answer lost after the effect: got %+v, %v, want revision 1", got, err)
	}
	again, err := b.client.Apply(b.ctx, ApplyRequest{Document: doc, Change: "c"})
	if err != nil || again.Revision != 1 {
		t.Errorf("same change again: got %+v, %v, want revision 1", again, err)
	}
}

// Each statement must reach the part that carries it out, and a change that is not stored yet must be reported as unstored.
func TestStatementsAreDispatched(t *testing.T) {
	b := newFixture(t)
	for text, want := range map[string]string{
		"show workers":          "[w1   8 0 up]",
		"show minions":          "[m1 s  ready 0 0 0]",
		"team a weight 3":       "accepted as revision 1",
		"job j of a 1x8 urgent": "submitted j",
		"drain m1":              "draining m1",
		"job late of a 1x8":     "submitted late, unstored",
	} {
		got, err := b.runQuery(text)
		shown := got.Done
		if got.Answer != nil {
			shown = fmt.Sprint(got.Rows[0])
		}
		if got.Unstored {
			shown += ", unstored"
		}
		if err != nil || shown != want {
			t.Errorf("%s: got %q, %v, want %q", text, shown, err, want)
		}
	}
	b.fleet.calls = nil
	for _, text := range []string{"job j of a 1x8", "cancel j k", "aside w1", "back w1", "drain m1"} {
		if _, err := b.runQuery(text); err != nil {
			t.Fatalf("%s: %v", text, err)
		}
	}
	want := "[submit j cancel [j k] aside w1 true aside w1 false drain m1]"
	if got := fmt.Sprint(b.fleet.calls); got != want {
		t.Errorf("carried out: got %s, want %s", got, want)
	}
	status, err := b.client.Status(b.ctx)
	if err != nil || len(status.Processes) != 2 || status.Processes[0].ID != "e1" || len(status.Cells) != 0 {
		t.Errorf("status: got %+v, %v, want two processes by name without cells", status, err)
	}
	if status, err = b.client.StatusWithCells(b.ctx); err != nil || len(status.Cells) != 1 || status.Cells[0].Fragmentation != 0.25 {
		t.Errorf("status with cells: got %+v, %v, want one cell", status, err)
	}
}
