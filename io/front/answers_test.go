package front

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/core/retry"
	"wagtailhoist/io/link"
)

// While the memory for answers is full, the answer without progress of the caller that holds the most must be given up, not that of an
// ordinary caller, and the sum must stay within the limit.
func TestAnswersWithoutProgressAreGivenUp(t *testing.T) {
	a := &Answers{Limit: 1000}
	stalled, read := a.newRoom("crowd"), a.newRoom("crowd")
	for _, r := range []*answerRoom{stalled, read} {
		if !r.resize(300) {
			t.Fatal("answer within the limit: got no room, want room")
		}
	}
	stalled.resize(350)
	read.noteProgress()
	ordinary := a.newRoom("ordinary")
	if !ordinary.resize(400) {
		t.Error("answer to another caller: got no room, want room")
	}
	select {
	case <-stalled.givenUp:
	default:
		t.Error("answer without progress: got it kept, want it given up")
	}
	if !read.resize(300) {
		t.Error("answer with progress: got it given up, want it kept")
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		control := http.NewResponseController(w)
		if stalled.startWriting(control, time.Now().Add(time.Minute)) {
			t.Error("writing an answer that was given up: got true, want false")
		}
	}))
	defer server.Close()
	if resp, err := http.Get(server.URL); err != nil {
		t.Error(err)
	} else {
		resp.Body.Close()
	}
	if got, want := a.Held(), int64(700); got != want {
		t.Errorf("bytes held: got %d, want %d", got, want)
	}
	// Of equal progress, the answer of the caller that holds the most goes first.
	if !a.Evict() || !read.resize(300) || ordinary.resize(400) {
		t.Error("answer given up for a connection: got another one, want that of the caller with the most bytes")
	}
	for _, r := range []*answerRoom{stalled, read, ordinary} {
		r.release()
	}
	if a.Evict() {
		t.Error("answer given up while there is none: got true, want false")
	}
	if got := a.Held(); got != 0 {
		t.Errorf("bytes held after the release: got %d, want 0", got)
	}
}

// An answer that was given up has run at its minion: the outcome must be unknown, and the request must not be sent again, even an
// idempotent one. The agent must be told to free its copy.
func TestAnswerWithoutRoomHasAnUnknownOutcome(t *testing.T) {
	long := bytes.Repeat([]byte("long"), 8*link.ChunkBytes)
	agent := &fakeAgent{handle: func(_ int, l *link.Link, f link.Frame) {
		if b, ok := f.(link.Begin); ok {
			_ = l.Send(answerTo(b.Attempt, long))
			_ = l.SendBodyFrames(b.Attempt, long)
		}
	}}
	d := &Dispatcher{
		Self: 9, Router: &sequentialRouter{records: []model.Record{agent.start(t, "a")}}, Pool: &Pool{Settings: link.Settings{Token: "t"}},
	}
	t.Cleanup(d.Pool.Close)
	s := &Server{MaxBodyBytes: 100, Handle: WithClaims(NoClaims{}, d.Dispatch, d.NextAttempt), Answers: &Answers{Limit: 1 << 20}}
	server := httptest.NewServer(s)
	defer server.Close()
	resp, err := http.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if got, want := resp.Header.Get(HeaderOutcome), string(retry.OutcomeUnknown); got != want || resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("answer without room: got %s with status %d, want %s with 504", got, resp.StatusCode, want)
	}
	for end := time.Now().Add(10 * time.Second); agent.count(link.KindDone) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the agent was not told that the answer is done")
		}
	}
	if got := agent.count(link.KindBegin); got != 1 {
		t.Errorf("attempts: got %d, want 1", got)
	}
	if got := s.Answers.Held(); got != 0 {
		t.Errorf("bytes held: got %d, want 0", got)
	}
}
