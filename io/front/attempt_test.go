package front

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wagtailhoist/core/ledger"
	"wagtailhoist/core/model"
	"wagtailhoist/core/retry"
	"wagtailhoist/core/route"
	"wagtailhoist/io/link"
)

// fakeAgent is an agent whose behaviour a test sets; n is the number of the link, from 0.
type fakeAgent struct {
	incarnation func(n int) model.Incarnation
	handle      func(n int, l *link.Link, f link.Frame)

	mu     sync.Mutex
	frames []link.Frame
}

// count returns how many frames of kind k the agent received.
func (s *fakeAgent) count(k link.Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, f := range s.frames {
		if f.Kind() == k {
			n++
		}
	}
	return n
}

// start serves links to the agent and returns its record.
func (s *fakeAgent) start(t *testing.T, id model.NodeID) model.Record {
	t.Helper()
	var links atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := int(links.Add(1)) - 1
		hello := link.Hello{Node: id, Incarnation: 1}
		if s.incarnation != nil {
			hello.Incarnation = s.incarnation(n)
		}
		l, err := link.Accept(w, r, link.Settings{Self: hello, Token: "t"})
		if err != nil {
			return
		}
		defer l.Close()
		for {
			f, err := l.Receive()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.frames = append(s.frames, f)
			s.mu.Unlock()
			s.handle(n, l, f)
		}
	}))
	t.Cleanup(server.Close)
	return model.Record{ID: id, Incarnation: 1, Service: DefaultService, Address: strings.TrimPrefix(server.URL, "http://")}
}

func answerTo(a model.Attempt, body []byte) link.Answer {
	return link.Answer{Attempt: a, Status: 200, Length: len(body), Sum: link.Sum(body), Body: link.FirstFramePart(body)}
}

// sequentialRouter is a Router that picks the records in order, and then the last one repeatedly.
type sequentialRouter struct {
	records []model.Record
	picks   int
}

// Pick returns the next record.
func (r *sequentialRouter) Pick(time.Time, route.Request) (model.Record, error) {
	r.picks++
	return r.records[min(r.picks, len(r.records))-1], nil
}

// Report does nothing.
func (r *sequentialRouter) Report(time.Time, model.NodeID, route.Result) {}

// Suspect does nothing.
func (r *sequentialRouter) Suspect(time.Time, model.NodeID) {}

// dispatch sends a request to the agents of the records.
func dispatch(t *testing.T, idempotent bool, timeout time.Duration, records ...model.Record) (Reply, *Pool) {
	t.Helper()
	d := &Dispatcher{Self: 9, Router: &sequentialRouter{records: records}, Pool: &Pool{Settings: link.Settings{Token: "t"}}}
	t.Cleanup(d.Pool.Close)
	return d.Dispatch(context.Background(), Call{
		Service: DefaultService, Method: "POST", Path: "/", Idempotent: idempotent, Deadline: time.Now().Add(timeout),
	}, d.NextAttempt()), d.Pool
}

// The outcome that the caller gets must match what the agent did with the attempt.
func TestAttemptEnds(t *testing.T) {
	ownBody := []byte("mine")
	longBody := bytes.Repeat([]byte("long"), link.ChunkBytes)
	for _, tc := range []struct {
		name      string
		fakeAgent *fakeAgent
		want      retry.Outcome
		body      []byte
		dropped   uint64
	}{
		{name: "answered", fakeAgent: &fakeAgent{handle: func(_ int, l *link.Link, f link.Frame) {
			if b, ok := f.(link.Begin); ok {
				_ = l.Send(link.Accepted{Attempt: b.Attempt})
				_ = l.Send(answerTo(b.Attempt, longBody))
				_ = l.SendBodyFrames(b.Attempt, longBody)
			}
		}}, want: retry.OutcomeAnswered, body: longBody},
		{name: "answers of other attempts come first", fakeAgent: &fakeAgent{handle: func(_ int, l *link.Link, f link.Frame) {
			if b, ok := f.(link.Begin); ok {
				other := b.Attempt
				other.Sequence += 1000
				_ = l.Send(answerTo(other, []byte("crossed")))
				_ = l.Send(link.Data{Attempt: other, Bytes: []byte("crossed")})
				_ = l.Send(link.Data{Attempt: b.Attempt, Bytes: []byte("early")})
				_ = l.Send(answerTo(b.Attempt, ownBody))
			}
		}}, want: retry.OutcomeAnswered, body: ownBody, dropped: 2},
		{name: "altered answer is fetched again", fakeAgent: &fakeAgent{handle: func(_ int, l *link.Link, f link.Frame) {
			switch f := f.(type) {
			case link.Begin:
				a := answerTo(f.Attempt, ownBody)
				a.Body = []byte("mixe")
				_ = l.Send(a)
			case link.Fence:
				_ = l.Send(link.Fenced{Attempt: f.Attempt, State: uint8(ledger.Finished)})
			case link.Attach:
				_ = l.Send(answerTo(f.Attempt, ownBody))
			}
		}}, want: retry.OutcomeAnswered, body: ownBody},
		{name: "refused", fakeAgent: &fakeAgent{handle: func(_ int, l *link.Link, f link.Frame) {
			if b, ok := f.(link.Begin); ok {
				_ = l.Send(link.Refuse{Attempt: b.Attempt, Reason: "full"})
			}
		}}, want: retry.OutcomeNotRun},
		{name: "never begun", fakeAgent: &fakeAgent{handle: func(n int, l *link.Link, f link.Frame) {
			if b, ok := f.(link.Fence); ok && n > 0 {
				_ = l.Send(link.Fenced{Attempt: b.Attempt, State: uint8(ledger.NeverBegun)})
			}
		}}, want: retry.OutcomeNotRun},
		{name: "link breaks while it runs", fakeAgent: &fakeAgent{handle: func(n int, l *link.Link, f link.Frame) {
			switch f := f.(type) {
			case link.Begin:
				_ = l.Send(link.Accepted{Attempt: f.Attempt})
				l.Close()
			case link.Fence:
				_ = l.Send(link.Fenced{Attempt: f.Attempt, State: uint8(ledger.Running)})
			case link.Attach:
				_ = l.Send(answerTo(f.Attempt, ownBody))
			}
		}}, want: retry.OutcomeAnswered, body: ownBody},
		{name: "agent restarts", fakeAgent: &fakeAgent{
			incarnation: func(n int) model.Incarnation { return model.Incarnation(n + 1) },
			handle: func(_ int, l *link.Link, f link.Frame) {
				if _, ok := f.(link.Begin); ok {
					l.Close()
				}
			},
		}, want: retry.OutcomeUnknown},
		{name: "agent has dropped the answer", fakeAgent: &fakeAgent{handle: func(_ int, l *link.Link, f link.Frame) {
			switch f := f.(type) {
			case link.Begin:
				l.Close()
			case link.Fence:
				_ = l.Send(link.Fenced{Attempt: f.Attempt, State: uint8(ledger.Unknown)})
			}
		}}, want: retry.OutcomeUnknown},
		{name: "minion failed", fakeAgent: &fakeAgent{handle: func(_ int, l *link.Link, f link.Frame) {
			if b, ok := f.(link.Begin); ok {
				_ = l.Send(link.Fail{Attempt: b.Attempt, Ran: true, Reason: "broken"})
			}
		}}, want: retry.OutcomeUnknown},
		{name: "minion could not be reached", fakeAgent: &fakeAgent{handle: func(_ int, l *link.Link, f link.Frame) {
			if b, ok := f.(link.Begin); ok {
				_ = l.Send(link.Fail{Attempt: b.Attempt, Reason: "refused"})
			}
		}}, want: retry.OutcomeNotRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, pool := dispatch(t, false, 8*time.Second, tc.fakeAgent.start(t, "a"))
			if got.Outcome != tc.want {
				t.Errorf("outcome: got %s (%s), want %s", got.Outcome, got.Reason, tc.want)
			}
			if !bytes.Equal(got.Body, tc.body) {
				t.Errorf("body: got %.20q of %d bytes, want %.20q of %d", got.Body, len(got.Body), tc.body, len(tc.body))
			}
			if n := pool.UnmatchedFrames.Load(); n != tc.dropped {
				t.Errorf("dropped frames: got %d, want %d", n, tc.dropped)
			}
			if tc.want == retry.OutcomeUnknown && tc.fakeAgent.count(link.KindBegin) != 1 {
				t.Errorf("begins: got %d, want 1", tc.fakeAgent.count(link.KindBegin))
			}
		})
	}
}

// An idempotent request whose agent is lost must be retried at another agent.
func TestIdempotentRequestIsRetriedAtOtherAgent(t *testing.T) {
	lost := &fakeAgent{
		incarnation: func(n int) model.Incarnation { return model.Incarnation(n + 1) },
		handle: func(_ int, l *link.Link, f link.Frame) {
			if _, ok := f.(link.Begin); ok {
				l.Close()
			}
		},
	}
	healthy := &fakeAgent{handle: func(_ int, l *link.Link, f link.Frame) {
		if b, ok := f.(link.Begin); ok {
			_ = l.Send(answerTo(b.Attempt, []byte("ok")))
		}
	}}
	a, b := lost.start(t, "a"), healthy.start(t, "b")
	if got, _ := dispatch(t, true, 5*time.Second, a, b); got.Outcome != retry.OutcomeAnswered {
		t.Errorf("outcome: got %s (%s), want answered", got.Outcome, got.Reason)
	}
	if lost.count(link.KindBegin) == 0 {
		t.Error("the lost agent was never tried")
	}
}

// An agent may send an answer and close the link at once; the entry must not lose an answer that it has received.
func TestAnswerBeforeEndOfLink(t *testing.T) {
	s := &fakeAgent{handle: func(int, *link.Link, link.Frame) {}}
	rec := s.start(t, "a")
	for range 40 { // select takes one of several ready channels at random
		p := &Pool{Settings: link.Settings{Token: "t"}}
		conn, err := p.Get(context.Background(), rec.Address)
		if err != nil {
			t.Fatal(err)
		}
		attempt := agentAttempt{pool: p, record: rec, begin: link.Begin{Attempt: model.Attempt{Sequence: 1}, Incarnation: 9}}
		attempt.listenOn(conn)
		attempt.collector.handleFrame(answerTo(attempt.begin.Attempt, []byte("held")))
		p.Close()
		if got := attempt.awaitResult(context.Background()); got.result != retry.Answered {
			t.Fatalf("end: got %v (%s), want %v", got.result, got.reason, retry.Answered)
		}
	}
}

// If an agent's new process has announced itself while the link to the earlier process still looks open, a request sent
// over that link would be lost and its outcome unknown.
func TestRestartedAgentGetsFreshLink(t *testing.T) {
	s := &fakeAgent{
		incarnation: func(n int) model.Incarnation { return model.Incarnation(n + 1) },
		handle: func(n int, l *link.Link, f link.Frame) {
			if b, ok := f.(link.Begin); ok && n == 1 {
				_ = l.Send(answerTo(b.Attempt, []byte("new process")))
			}
		},
	}
	rec := s.start(t, "a")
	rec.Incarnation = 2
	if got, _ := dispatch(t, false, 2*time.Second, rec); got.Outcome != retry.OutcomeAnswered {
		t.Errorf("outcome: got %s (%s), want %s", got.Outcome, got.Reason, retry.OutcomeAnswered)
	}
}

// An address may be reused by another agent, which may provide another service; the request must not be sent there.
func TestReusedAddressGetsNoRequest(t *testing.T) {
	s := &fakeAgent{handle: func(_ int, l *link.Link, f link.Frame) {
		if b, ok := f.(link.Begin); ok {
			_ = l.Send(answerTo(b.Attempt, []byte("wrong agent")))
		}
	}}
	rec := s.start(t, "b")
	rec.ID = "a"
	if got, _ := dispatch(t, false, time.Second, rec); got.Outcome != retry.OutcomeNotRun {
		t.Errorf("outcome: got %s, want %s", got.Outcome, retry.OutcomeNotRun)
	}
	if got := s.count(link.KindBegin); got != 0 {
		t.Errorf("begins: got %d, want 0", got)
	}
}

// An entry that was paused until after the deadline must not send the request.
func TestNothingIsSentPastDeadline(t *testing.T) {
	s := &fakeAgent{handle: func(int, *link.Link, link.Frame) {}}
	if got, _ := dispatch(t, true, -time.Second, s.start(t, "a")); got.Outcome != retry.OutcomeNotRun {
		t.Errorf("outcome: got %s, want %s", got.Outcome, retry.OutcomeNotRun)
	}
	if got := s.count(link.KindBegin); got != 0 {
		t.Errorf("begins: got %d, want 0", got)
	}
}
