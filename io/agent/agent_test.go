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

// blockingRunner echoes the body once release is closed, and counts its runs; while it is down, it refuses connections.
type blockingRunner struct {
	runs    atomic.Int32
	release chan struct{}
	down    atomic.Bool
}

// CheckReachable fails while the runner is down.
func (r *blockingRunner) CheckReachable(context.Context) error {
	if r.down.Load() {
		return syscall.ECONNREFUSED
	}
	return nil
}

// Do waits until release is closed or ctx ends.
func (r *blockingRunner) Do(ctx context.Context, _ link.Begin, body []byte) Result {
	if r.down.Load() {
		return Result{Err: syscall.ECONNREFUSED, Down: true}
	}
	r.runs.Add(1)
	select {
	case <-r.release:
	case <-ctx.Done():
	}
	return Result{Status: 200, Body: body, Ran: true}
}

const testIncarnation = model.Incarnation(5)

// startAgent serves an agent with the given slots and returns it, its runner and a function that opens a link to it.
func startAgent(t *testing.T, slots int) (*Agent, *blockingRunner, func() *link.Link) {
	t.Helper()
	r := &blockingRunner{release: make(chan struct{})}
	a := New(model.Record{ID: "a", Incarnation: testIncarnation, Load: model.Load{Slots: slots}}, r, slog.New(slog.DiscardHandler))
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

func beginFrame(n uint64, body []byte) link.Begin {
	return link.Begin{
		Attempt: model.Attempt{Entry: 1, Sequence: n}, Incarnation: testIncarnation, Deadline: time.Now().Add(10 * time.Second),
		Method: "POST", Path: "/", Length: len(body), Sum: link.Sum(body), Body: link.FirstFramePart(body),
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

// receiveAnswer receives an answer with its body.
func receiveAnswer(t *testing.T, l *link.Link) (link.Answer, []byte) {
	t.Helper()
	head := receive[link.Answer](t, l)
	body, err := link.NewBody(head.Attempt, head.Length, head.Sum, head.Body)
	for err == nil && !body.Complete() {
		err = body.Add(receive[link.Data](t, l))
	}
	if err != nil {
		t.Fatal(err)
	}
	return head, body.Bytes()
}

// A Begin frame that a silent connection delivers after the fence must be refused.
func TestLateBeginIsRefused(t *testing.T) {
	_, r, dial := startAgent(t, 1)
	old, fresh := dial(), dial()
	b := beginFrame(1, []byte("x"))
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

// An attempt whose Begin frame arrives twice must not run twice.
func TestDuplicateBeginRunsOnce(t *testing.T) {
	_, r, dial := startAgent(t, 4)
	l := dial()
	b := beginFrame(1, []byte("x"))
	send(t, l, b, b)
	receive[link.Accepted](t, l)
	receive[link.Accepted](t, l)
	close(r.release)
	receiveAnswer(t, l)
	send(t, l, b)
	receive[link.Accepted](t, l)
	if got, want := r.runs.Load(), int32(1); got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// A request addressed to an earlier process of the node must not run at the current one: its entry cannot fence it any
// more.
func TestOtherIncarnationIsRefused(t *testing.T) {
	_, _, dial := startAgent(t, 1)
	l := dial()
	b := beginFrame(1, nil)
	b.Incarnation--
	send(t, l, b, fenceOf(b))
	receive[link.Refuse](t, l)
	if got, want := ledger.State(receive[link.Fenced](t, l).State), ledger.Unknown; got != want {
		t.Errorf("state: got %v, want %v", got, want)
	}
}

// An answer must not be lost when the link of its Begin frame closes, whether it is ready before or after the Attach frame.
func TestAttachGetsWholeAnswer(t *testing.T) {
	for _, early := range []bool{true, false} {
		_, r, dial := startAgent(t, 1)
		body := bytes.Repeat([]byte("0123456789"), 100_000)
		b := beginFrame(1, body)
		old, fresh := dial(), dial()
		send(t, old, b)
		if err := old.SendBodyFrames(b.Attempt, body); err != nil {
			t.Fatal(err)
		}
		receive[link.Accepted](t, old)
		for r.runs.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		old.Close()
		if early {
			close(r.release)
		}
		send(t, fresh, fenceOf(b))
		if got := ledger.State(receive[link.Fenced](t, fresh).State); got != ledger.Running && got != ledger.Finished {
			t.Fatalf("state: got %v, want running or finished", got)
		}
		send(t, fresh, link.Attach{Attempt: b.Attempt})
		if !early {
			close(r.release)
		}
		if _, got := receiveAnswer(t, fresh); !bytes.Equal(got, body) {
			t.Errorf("early %v: body of %d bytes differs from the request's", early, len(got))
		}
	}
}

// An attempt whose body stops arriving must neither run nor keep its slot.
func TestIncompleteBodyFreesSlot(t *testing.T) {
	_, r, dial := startAgent(t, 1)
	old, fresh := dial(), dial()
	body := make([]byte, 3*link.ChunkBytes)
	b := beginFrame(1, body)
	send(t, old, b, link.Data{Attempt: b.Attempt, Bytes: body[:link.ChunkBytes]})
	receive[link.Accepted](t, old)
	send(t, fresh, fenceOf(b))
	if got, want := ledger.State(receive[link.Fenced](t, fresh).State), ledger.NeverBegun; got != want {
		t.Errorf("state: got %v, want %v", got, want)
	}
	c := beginFrame(2, body)
	send(t, old, c)
	receive[link.Accepted](t, old)
	old.Close()
	close(r.release)
	d := beginFrame(3, nil)
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
	t.Error("the slot of the attempt with the incomplete body was not freed")
}

// Large bodies must not exceed the memory limit of an agent, and a refused or fenced one must not count towards it.
func TestBodiesAreBounded(t *testing.T) {
	a, r, dial := startAgent(t, 8)
	l := dial()
	large := func(n uint64) link.Begin {
		b := beginFrame(n, nil)
		b.Length = link.MaxBodyBytes // declared, not sent
		return b
	}
	fits := uint64(maxTotalBodyBytes / link.MaxBodyBytes)
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
		left := a.bodyBytes
		a.mu.Unlock()
		if left == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bodyBytes != 0 || r.runs.Load() != 0 {
		t.Errorf("after the link closed: %d bytes held, %d runs; want 0, 0", a.bodyBytes, r.runs.Load())
	}
}

// A draining agent must finish the attempts that it accepted and refuse new ones.
func TestDrainFinishesAccepted(t *testing.T) {
	a, r, dial := startAgent(t, 2)
	l := dial()
	b := beginFrame(1, []byte("x"))
	send(t, l, b)
	receive[link.Accepted](t, l)
	done := make(chan error, 1)
	go func() { done <- a.Drain(context.Background()) }()
	for a.Ready() {
		time.Sleep(time.Millisecond)
	}
	send(t, l, beginFrame(2, nil))
	if got, want := receive[link.Refuse](t, l).Reason, string(ledger.Draining); got != want {
		t.Errorf("reason: got %q, want %q", got, want)
	}
	time.Sleep(minDrainTime)
	select {
	case <-done:
		t.Fatal("Drain returned while a request ran")
	default:
	}
	close(r.release)
	receiveAnswer(t, l)
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

// A dead minion must fail one request, not one for each entry and probe. Refusals must carry the sequence of the last
// announcement, so that entries can order them. The minion's return must end the refusals, but not draining.
func TestDeadMinionIsRefusedAndAnnounced(t *testing.T) {
	a, r, dial := startAgent(t, 2)
	close(r.release)
	r.down.Store(true)
	l := dial()
	before, changed := a.nextRecord()
	send(t, l, beginFrame(1, nil))
	if f := receive[link.Fail](t, l); f.Ran {
		t.Error("a request that could not reach the minion was reported as run")
	}
	<-changed
	send(t, l, beginFrame(2, nil))
	if got := receive[link.Refuse](t, l); got.Reason != string(ledger.Down) || got.Sequence != before.Sequence {
		t.Errorf("refusal: got %+v, want %q after record %d", got, ledger.Down, before.Sequence)
	}
	if rec, _ := a.nextRecord(); rec.State != model.Down || a.Ready() {
		t.Errorf("announced state: got %v, want %v", rec.State, model.Down)
	}
	r.down.Store(false)
	for !a.Ready() {
		time.Sleep(time.Millisecond)
	}
	send(t, l, beginFrame(3, nil))
	receiveAnswer(t, l)
	r.down.Store(true)
	send(t, l, beginFrame(4, nil))
	receive[link.Fail](t, l)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Drain(ctx) }()
	defer func() { cancel(); <-done }()
	for a.State() != model.Draining {
		time.Sleep(time.Millisecond)
	}
	r.down.Store(false)
	time.Sleep(2 * minionCheckInterval)
	if got := a.State(); got != model.Draining {
		t.Errorf("state after the minion's return: got %v, want %v", got, model.Draining)
	}
}

// Agents of a region must be spread over its entries, and must change only the entries that failed.
func TestChooseEntries(t *testing.T) {
	var known []link.Entry
	for _, a := range []string{"a", "b", "c", "d", "e"} {
		known = append(known, link.Entry{Address: a, Region: "r"})
	}
	known = append(known, link.Entry{Address: "far", Region: "s"})
	all := func(string) bool { return true }
	first := chooseEntries("n", "r", known, []string{"seed"}, all)
	if len(first) != entriesPerAgent || slices.Contains(first, "far") || slices.Contains(first, "seed") {
		t.Fatalf("choice: got %v, want three of a to e", first)
	}
	second := chooseEntries("n", "r", known, nil, func(a string) bool { return a != first[1] })
	if second[0] != first[0] || second[1] != first[2] || slices.Contains(second, first[1]) {
		t.Errorf("choice without %s: got %v after %v", first[1], second, first)
	}
	if got := chooseEntries("n", "r", nil, []string{"seed"}, all); !slices.Equal(got, []string{"seed"}) {
		t.Errorf("choice without known entries: got %v, want the seed", got)
	}
}

// Exactly one entry, the one that forwards the record, must get it every second. Otherwise it could get the record too late
// to forward it to the others.
func TestFirstEntryGetsShortestInterval(t *testing.T) {
	a := New(model.Record{ID: "a"}, nil, slog.New(slog.DiscardHandler))
	none := func() {}
	n := &announcer{agent: a, links: map[string]context.CancelFunc{"1:1": none, "2:2": none, "3:3": none}}
	for len(n.links) > 0 {
		var first []string
		for address := range n.links {
			if n.intervalFor(address) == announceInterval {
				first = append(first, address)
			}
		}
		if len(first) != 1 {
			t.Fatalf("entries announced to every second, of %d: got %q, want one", len(n.links), first)
		}
		delete(n.links, first[0])
	}
}
