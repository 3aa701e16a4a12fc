package agent

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"wagtailhoist/core/ledger"
	"wagtailhoist/core/model"
	"wagtailhoist/io/link"
)

// slowRunner echoes the body once it is let go, and counts its runs; while it is down, it takes no connections.
type slowRunner struct {
	runs atomic.Int32
	let  chan struct{}
	down atomic.Bool
}

// Reach fails while the runner is down.
func (r *slowRunner) Reach(context.Context) error {
	if r.down.Load() {
		return syscall.ECONNREFUSED
	}
	return nil
}

// Do waits until let is closed.
func (r *slowRunner) Do(ctx context.Context, _ link.Begin, body []byte) Result {
	if r.down.Load() {
		return Result{Err: syscall.ECONNREFUSED, Down: true}
	}
	r.runs.Add(1)
	select {
	case <-r.let:
	case <-ctx.Done():
	}
	return Result{Status: 200, Body: body, Ran: true}
}

const testSelf = model.Incarnation(5)

// start serves an agent with the slots and returns it, its runner and a function that links to it.
func start(t *testing.T, slots int) (*Agent, *slowRunner, func() *link.Link) {
	t.Helper()
	r := &slowRunner{let: make(chan struct{})}
	a := New(model.Record{ID: "a", Incarnation: testSelf, Load: model.Load{Slots: slots}}, r, slog.New(slog.DiscardHandler))
	s := link.Settings{Token: "t"}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if l, err := link.Accept(w, req, s); err == nil {
			a.Serve(l)
		}
	}))
	t.Cleanup(server.Close)
	return a, r, func() *link.Link {
		l, err := link.Dial(context.Background(), strings.TrimPrefix(server.URL, "http://"), s)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		return l
	}
}

func begin(n uint64, body []byte) link.Begin {
	return link.Begin{
		Attempt: model.Attempt{Entry: 1, Sequence: n}, Incarnation: testSelf, Deadline: time.Now().Add(10 * time.Second),
		Method: "POST", Path: "/", Length: len(body), Sum: link.Sum(body), Body: link.First(body),
	}
}

func fenceOf(b link.Begin) link.Fence {
	return link.Fence{Attempt: b.Attempt, Incarnation: b.Incarnation, Deadline: b.Deadline}
}

func send(t *testing.T, l *link.Link, frames ...link.Frame) {
	t.Helper()
	for _, f := range frames {
		if err := l.Send(f); err != nil {
			t.Fatal(err)
		}
	}
}

func receive[F link.Frame](t *testing.T, l *link.Link) F {
	t.Helper()
	f, err := l.Receive()
	if err != nil {
		t.Fatal(err)
	}
	got, ok := f.(F)
	if !ok {
		t.Fatalf("frame: got %T %+v, want %T", f, f, got)
	}
	return got
}

// answer reads an answer with its body.
func answer(t *testing.T, l *link.Link) (link.Answer, []byte) {
	t.Helper()
	head := receive[link.Answer](t, l)
	body, err := link.NewBody(head.Attempt, head.Length, head.Sum, head.Body)
	for err == nil && !body.Whole() {
		err = body.Add(receive[link.Data](t, l))
	}
	if err != nil {
		t.Fatal(err)
	}
	return head, body.Bytes()
}

// A Begin that a silent connection delivers after the fence must be refused.
func TestLateBeginIsRefused(t *testing.T) {
	_, r, dial := start(t, 1)
	old, fresh := dial(), dial()
	b := begin(1, []byte("x"))
	send(t, fresh, fenceOf(b))
	if got, want := ledger.State(receive[link.Fenced](t, fresh).State), ledger.NeverBegun; got != want {
		t.Fatalf("state: got %v, want %v", got, want)
	}
	send(t, old, b)
	if got, want := receive[link.Refuse](t, old).Reason, string(ledger.FencedOff); got != want {
		t.Errorf("reason: got %q, want %q", got, want)
	}
	if got := r.runs.Load(); got != 0 {
		t.Errorf("runs: got %d, want 0", got)
	}
}

// A Begin that arrives twice must not run twice.
func TestDuplicateBeginRunsOnce(t *testing.T) {
	_, r, dial := start(t, 4)
	l := dial()
	b := begin(1, []byte("x"))
	send(t, l, b, b)
	receive[link.Accepted](t, l)
	receive[link.Accepted](t, l)
	close(r.let)
	answer(t, l)
	send(t, l, b)
	receive[link.Accepted](t, l)
	if got, want := r.runs.Load(), int32(1); got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// A request addressed to an earlier process of the node must not run at the present one:
// its entry cannot fence it any more.
func TestOtherIncarnationIsRefused(t *testing.T) {
	_, _, dial := start(t, 1)
	l := dial()
	b := begin(1, nil)
	b.Incarnation--
	send(t, l, b, fenceOf(b))
	receive[link.Refuse](t, l)
	if got, want := ledger.State(receive[link.Fenced](t, l).State), ledger.Unknown; got != want {
		t.Errorf("state: got %v, want %v", got, want)
	}
}

// An answer must not be lost with the link of its Begin, whether it came before or after the Attach.
func TestAttachGetsWholeAnswer(t *testing.T) {
	for _, early := range []bool{true, false} {
		_, r, dial := start(t, 1)
		body := bytes.Repeat([]byte("0123456789"), 100_000)
		b := begin(1, body)
		old, fresh := dial(), dial()
		send(t, old, b)
		if err := old.SendRest(b.Attempt, body); err != nil {
			t.Fatal(err)
		}
		receive[link.Accepted](t, old)
		for r.runs.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		old.Close()
		if early {
			close(r.let)
		}
		send(t, fresh, fenceOf(b))
		if got := ledger.State(receive[link.Fenced](t, fresh).State); got != ledger.Running && got != ledger.Finished {
			t.Fatalf("state: got %v, want running or finished", got)
		}
		send(t, fresh, link.Attach{Attempt: b.Attempt})
		if !early {
			close(r.let)
		}
		if _, got := answer(t, fresh); !bytes.Equal(got, body) {
			t.Errorf("early %v: body of %d bytes differs from the request's", early, len(got))
		}
	}
}

// A body that stops arriving must neither run nor hold its slot.
func TestIncompleteBodyFreesSlot(t *testing.T) {
	_, r, dial := start(t, 1)
	old, fresh := dial(), dial()
	body := make([]byte, 3*link.Chunk)
	b := begin(1, body)
	send(t, old, b, link.Data{Attempt: b.Attempt, Bytes: body[:link.Chunk]})
	receive[link.Accepted](t, old)
	send(t, fresh, fenceOf(b))
	if got, want := ledger.State(receive[link.Fenced](t, fresh).State), ledger.NeverBegun; got != want {
		t.Errorf("state: got %v, want %v", got, want)
	}
	c := begin(2, body)
	send(t, old, c)
	receive[link.Accepted](t, old)
	old.Close()
	close(r.let)
	d := begin(3, nil)
	deadline := time.Now().Add(2 * time.Second)
	for time.Now().Before(deadline) {
		send(t, fresh, d)
		f, err := fresh.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if _, refused := f.(link.Refuse); !refused {
			if got := r.runs.Load(); got > 1 {
				t.Errorf("runs: got %d, want at most 1", got)
			}
			return
		}
		d.Attempt.Sequence++
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the slot of the broken body was not freed")
}

// Large bodies must not take more memory than an agent may use, and a refused one must leave its room.
func TestBodiesAreBounded(t *testing.T) {
	a, r, dial := start(t, 8)
	l := dial()
	large := func(n uint64) link.Begin {
		b := begin(n, nil)
		b.Length = link.MaxBody // only announced
		return b
	}
	fits := uint64(bodyRoom / link.MaxBody)
	for n := range fits {
		send(t, l, large(n))
		receive[link.Accepted](t, l)
	}
	send(t, l, large(fits))
	if got, want := receive[link.Refuse](t, l).Reason, string(ledger.Full); got != want {
		t.Errorf("reason: got %q, want %q", got, want)
	}
	send(t, l, fenceOf(large(0)))
	receive[link.Fenced](t, l)
	send(t, l, large(fits+1))
	receive[link.Accepted](t, l)
	l.Close()
	for range 200 {
		a.mu.Lock()
		left := a.bodies
		a.mu.Unlock()
		if left == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bodies != 0 || r.runs.Load() != 0 {
		t.Errorf("after the link closed: %d bytes held, %d runs; want 0, 0", a.bodies, r.runs.Load())
	}
}

// A stopping agent must finish what it accepted and refuse the rest.
func TestDrainFinishesAccepted(t *testing.T) {
	a, r, dial := start(t, 2)
	l := dial()
	b := begin(1, []byte("x"))
	send(t, l, b)
	receive[link.Accepted](t, l)
	done := make(chan error, 1)
	go func() { done <- a.Drain(context.Background()) }()
	for a.Ready() {
		time.Sleep(time.Millisecond)
	}
	send(t, l, begin(2, nil))
	if got, want := receive[link.Refuse](t, l).Reason, string(ledger.Draining); got != want {
		t.Errorf("reason: got %q, want %q", got, want)
	}
	time.Sleep(linger)
	select {
	case <-done:
		t.Fatal("Drain returned while a request ran")
	default:
	}
	close(r.let)
	answer(t, l)
	select {
	case <-done:
		t.Fatal("Drain returned before the answer was read")
	case <-time.After(200 * time.Millisecond):
	}
	send(t, l, link.Done{Attempt: b.Attempt})
	if err := <-done; err != nil {
		t.Errorf("Drain: %v", err)
	}
}

// A dead minion must cost one request, not one of each entry and probe, and the refusals have to be told
// apart from announcements made before them; the minion's return must end them, but not the draining.
func TestDeadMinionIsRefusedAndAnnounced(t *testing.T) {
	a, r, dial := start(t, 2)
	close(r.let)
	r.down.Store(true)
	l := dial()
	before, changed := a.next()
	send(t, l, begin(1, nil))
	if f := receive[link.Fail](t, l); f.Ran {
		t.Error("a request that met no minion counts as run")
	}
	<-changed
	send(t, l, begin(2, nil))
	if got := receive[link.Refuse](t, l); got.Reason != string(ledger.Down) || got.Sequence != before.Sequence {
		t.Errorf("refusal: got %+v, want %q after record %d", got, ledger.Down, before.Sequence)
	}
	if rec, _ := a.next(); rec.State != model.Down || a.Ready() {
		t.Errorf("announced state: got %v, want %v", rec.State, model.Down)
	}
	r.down.Store(false)
	for !a.Ready() {
		time.Sleep(time.Millisecond)
	}
	send(t, l, begin(3, nil))
	answer(t, l)
	r.down.Store(true)
	send(t, l, begin(4, nil))
	receive[link.Fail](t, l)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Drain(ctx) }()
	defer func() { cancel(); <-done }()
	for a.State() != model.Draining {
		time.Sleep(time.Millisecond)
	}
	r.down.Store(false)
	time.Sleep(2 * reachEvery)
	if got := a.State(); got != model.Draining {
		t.Errorf("state after the minion's return: got %v, want %v", got, model.Draining)
	}
}

// Agents of one region have to spread over its entries, and move only from entries that failed.
func TestChooseEntries(t *testing.T) {
	var known []link.Entry
	for _, a := range []string{"a", "b", "c", "d", "e"} {
		known = append(known, link.Entry{Address: a, Region: "r"})
	}
	known = append(known, link.Entry{Address: "far", Region: "s"})
	all := func(string) bool { return true }
	first := choose("n", "r", known, []string{"seed"}, all)
	if len(first) != homes || slices.Contains(first, "far") || slices.Contains(first, "seed") {
		t.Fatalf("choice: got %v, want three of a to e", first)
	}
	second := choose("n", "r", known, nil, func(a string) bool { return a != first[1] })
	if second[0] != first[0] || second[1] != first[2] || slices.Contains(second, first[1]) {
		t.Errorf("choice without %s: got %v after %v", first[1], second, first)
	}
	if got := choose("n", "r", nil, []string{"seed"}, all); !slices.Equal(got, []string{"seed"}) {
		t.Errorf("choice without known entries: got %v, want the seed", got)
	}
}

// If no entry got the record every second, the entry that forwards it could hear it too late for the others.
func TestFirstEntryIsAnnouncedToMost(t *testing.T) {
	a := New(model.Record{ID: "a"}, nil, slog.New(slog.DiscardHandler))
	none := func() {}
	h := &homing{agent: a, open: map[string]context.CancelFunc{"1:1": none, "2:2": none, "3:3": none}}
	for len(h.open) > 0 {
		var first []string
		for address := range h.open {
			if h.interval(address) == announceEvery {
				first = append(first, address)
			}
		}
		if len(first) != 1 {
			t.Fatalf("entries announced to every second, of %d: got %q, want one", len(h.open), first)
		}
		delete(h.open, first[0])
	}
}
