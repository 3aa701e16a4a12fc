package front

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"wagtailhoist/core/claim"
	"wagtailhoist/core/model"
	"wagtailhoist/core/retry"
	"wagtailhoist/io/intake"
	"wagtailhoist/io/link"
)

// A response without a minion's answer must state the outcome in its status, its outcome header and its body.
func TestOutcomesOverHTTP(t *testing.T) {
	for _, tc := range []struct {
		name   string
		method string
		header map[string]string
		body   string
		reply  Reply
		status int
		want   retry.Outcome
	}{
		{"not run", "GET", nil, "", Reply{Outcome: retry.OutcomeNotRun}, 503, retry.OutcomeNotRun},
		{"queue full", "GET", nil, "", Reply{Outcome: retry.OutcomeNotRun, Code: 429}, 429, retry.OutcomeNotRun},
		{"unknown", "GET", nil, "", Reply{Outcome: retry.OutcomeUnknown}, 504, retry.OutcomeUnknown},
		{"duplicate", "POST", nil, "", Reply{Outcome: retry.OutcomeDuplicate}, 409, retry.OutcomeDuplicate},
		{"timeout not a number", "GET", map[string]string{HeaderTimeout: "soon"}, "", Reply{}, 400, retry.OutcomeNotRun},
		{"timeout too long", "GET", map[string]string{HeaderTimeout: "600001"}, "", Reply{}, 400, retry.OutcomeNotRun},
		{"timeout 0", "GET", map[string]string{HeaderTimeout: "0"}, "", Reply{}, 400, retry.OutcomeNotRun},
		{"empty key", "POST", map[string]string{HeaderKey: ""}, "", Reply{}, 400, retry.OutcomeNotRun},
		{"body too large", "POST", nil, strings.Repeat("x", 101), Reply{}, 413, retry.OutcomeNotRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(&Server{MaxBodyBytes: 100, Handle: func(context.Context, Call) Reply { return tc.reply }})
			defer server.Close()
			req, err := http.NewRequest(tc.method, server.URL, strings.NewReader(tc.body))
			if err != nil {
				t.Fatal(err)
			}
			for k, v := range tc.header {
				req.Header.Set(k, v)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != tc.status {
				t.Errorf("status: got %d, want %d", resp.StatusCode, tc.status)
			}
			if got := resp.Header.Get(HeaderOutcome); got != string(tc.want) {
				t.Errorf("outcome header: got %q, want %q", got, tc.want)
			}
			var o outcomeBody
			if err := json.NewDecoder(resp.Body).Decode(&o); err != nil || o.Outcome != tc.want {
				t.Errorf("body: got %+v (%v), want outcome %s", o, err, tc.want)
			}
		})
	}
}

// Bodies are read before requests are admitted; without a limit, large ones could use up the memory. Callers that declare a
// body and send none of it must not use up the limit.
func TestBodiesAreBounded(t *testing.T) {
	started, release := make(chan struct{}, 4), make(chan struct{})
	const size = 64 << 10
	// One body fits, with its header, and two don't.
	s := &Server{MaxBodyBytes: size, Bodies: &intake.Bodies{Limit: 100 << 10}, Handle: func(context.Context, Call) Reply {
		started <- struct{}{}
		<-release
		return Reply{Outcome: retry.OutcomeAnswered, Status: 200}
	}}
	server := httptest.NewServer(s)
	defer server.Close()
	post := func() int {
		resp, err := http.Post(server.URL, "text/plain", strings.NewReader(strings.Repeat("x", size)))
		if err != nil {
			t.Error(err)
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	for range 2 {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size))
	}
	time.Sleep(100 * time.Millisecond) // the server reads the headers
	first := make(chan int, 1)
	go func() { first <- post() }()
	select {
	case <-started:
	case got := <-first:
		t.Fatalf("body, while other callers declared theirs and sent nothing: got status %d, want the request to run", got)
	}
	if got, want := post(), http.StatusServiceUnavailable; got != want {
		t.Errorf("second body: got status %d, want %d", got, want)
	}
	close(release)
	if got, want := <-first, http.StatusOK; got != want {
		t.Errorf("first body: got status %d, want %d", got, want)
	}
	if got, want := post(), http.StatusOK; got != want {
		t.Errorf("body after the first: got status %d, want %d", got, want)
	}
}

// A request must be served while bodies that stop short of their end fill the memory budget: these give way.
func TestStalledBodiesGiveWay(t *testing.T) {
	const size = 64 << 10
	s := &Server{MaxBodyBytes: size, Bodies: &intake.Bodies{Limit: 256 << 10}, Handle: func(context.Context, Call) Reply {
		return Reply{Outcome: retry.OutcomeAnswered, Status: 200}
	}}
	server := httptest.NewServer(s)
	defer server.Close()
	for range 16 {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-16))
	}
	for end := time.Now().Add(10 * time.Second); s.Bodies.Held() < 128<<10; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("bytes held by stalled bodies: got %d, want at least %d", s.Bodies.Held(), 128<<10)
		}
	}
	resp, err := http.Post(server.URL, "text/plain", strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if got, want := resp.StatusCode, http.StatusOK; got != want {
		t.Errorf("whole body beside stalled ones: got status %d, want %d", got, want)
	}
}

// Request targets without a path must be refused: at a minion they could name another host.
func TestTargetsWithoutPathAreRefused(t *testing.T) {
	server := httptest.NewServer(&Server{MaxBodyBytes: 100, Handle: func(_ context.Context, c Call) Reply {
		t.Errorf("call: got path %q, want none", c.Path)
		return Reply{Outcome: retry.OutcomeNotRun}
	}})
	defer server.Close()
	for _, line := range []string{"GET http:@other.example/ HTTP/1.1", "OPTIONS * HTTP/1.1", "CONNECT other.example:80 HTTP/1.1"} {
		c, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "%s\r\nHost: x\r\nContent-Length: 0\r\n\r\n", line)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		resp.Body.Close()
		c.Close()
		// net/http itself answers OPTIONS * with 200 and an empty body.
		if resp.StatusCode != http.StatusBadRequest && !strings.HasPrefix(line, "OPTIONS") {
			t.Errorf("%s: got status %d, want %d", line, resp.StatusCode, http.StatusBadRequest)
		}
	}
}

// The minion's answer must reach the caller unchanged, with a length and a checksum by which the caller can verify that it
// is complete.
func TestAnswerOverHTTP(t *testing.T) {
	var seen Call
	reply := Reply{
		Outcome: retry.OutcomeAnswered, Status: 207, Body: []byte("the answer"),
		Header: map[string][]string{"X-Own": {"1", "2"}, "Connection": {"X-Hop"}, "X-Hop": {"h"}, "Content-Length": {"99"}, HeaderOutcome: {"forged"}},
	}
	server := httptest.NewServer(&Server{MaxBodyBytes: 100, Handle: func(_ context.Context, c Call) Reply { seen = c; return reply }})
	defer server.Close()
	req, err := http.NewRequest("PUT", server.URL+"/a%20b?c=d", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(HeaderTeam, "hotel")
	req.Header.Set("Te", "trailers")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != 207 || string(body) != "the answer" || resp.ContentLength != int64(len(body)) {
		t.Errorf("answer: got %d, %q, length %d", resp.StatusCode, body, resp.ContentLength)
	}
	if got, want := resp.Header.Get(HeaderSum), strconv.FormatUint(link.Sum(body), 16); got != want {
		t.Errorf("sum: got %s, want %s", got, want)
	}
	if got := resp.Header[http.CanonicalHeaderKey(HeaderOutcome)]; len(got) != 1 || got[0] != "answered" {
		t.Errorf("outcome header: got %v, want answered", got)
	}
	if got := resp.Header["X-Own"]; len(got) != 2 || resp.Header.Get("X-Hop") != "" {
		t.Errorf("headers: got %v", resp.Header)
	}
	if seen.Team != "hotel" || seen.Path != "/a%20b?c=d" || string(seen.Body) != "body" || !seen.Idempotent || seen.Header["Te"] != nil {
		t.Errorf("call: got %+v", seen)
	}
}

// The answer to HEAD must have the length of the body that GET would return, without the body.
func TestHeadOverHTTP(t *testing.T) {
	server := httptest.NewServer(&Server{MaxBodyBytes: 100, Handle: func(context.Context, Call) Reply {
		return Reply{Outcome: retry.OutcomeAnswered, Status: 200, Header: map[string][]string{"Content-Length": {"99"}}}
	}})
	defer server.Close()
	resp, err := http.Head(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.ContentLength != 99 {
		t.Errorf("length: got %d, want 99", resp.ContentLength)
	}
}

// fakeClaims counts claims and releases of keys.
type fakeClaims struct {
	err      error
	claimed  int
	released int
}

// Claim counts the call.
func (f *fakeClaims) Claim(context.Context, model.Team, string, model.Attempt) error {
	f.claimed++
	return f.err
}

// Release counts the call.
func (f *fakeClaims) Release(context.Context, model.Team, string, model.Attempt) error {
	f.released++
	return nil
}

// A key must be released only if its request cannot have run, and a request with a key must not run without a claim.
func TestClaiming(t *testing.T) {
	for _, tc := range []struct {
		name     string
		key      string
		err      error
		outcome  retry.Outcome
		want     retry.Outcome
		runs     int
		released int
	}{
		{"no key", "", errors.New("down"), retry.OutcomeAnswered, retry.OutcomeAnswered, 1, 0},
		{"answered", "k", nil, retry.OutcomeAnswered, retry.OutcomeAnswered, 1, 0},
		{"unknown", "k", nil, retry.OutcomeUnknown, retry.OutcomeUnknown, 1, 0},
		{"not run", "k", nil, retry.OutcomeNotRun, retry.OutcomeNotRun, 1, 1},
		{"duplicate", "k", &claim.DuplicateError{Key: "k"}, "", retry.OutcomeDuplicate, 0, 0},
		{"store down", "k", errors.New("down"), "", retry.OutcomeNotRun, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			claims, runs := &fakeClaims{err: tc.err}, 0
			h := WithClaims(claims, func(context.Context, Call, model.Attempt) Reply {
				runs++
				return Reply{Outcome: tc.outcome}
			}, func() model.Attempt { return model.Attempt{Entry: 1} })
			if got := h(context.Background(), Call{Key: tc.key}); got.Outcome != tc.want {
				t.Errorf("outcome: got %s, want %s", got.Outcome, tc.want)
			}
			if runs != tc.runs || claims.released != tc.released {
				t.Errorf("runs %d, releases %d; want %d, %d", runs, claims.released, tc.runs, tc.released)
			}
		})
	}
}

// A draining entry must ask callers to close their connections, and refuse new requests once it stops.
func TestStoppingEntry(t *testing.T) {
	stop := false
	handle := Chain(func(context.Context, Call) Reply { return Reply{Outcome: retry.OutcomeAnswered, Status: 200} },
		RefuseWhileStopping(func() bool { return stop }))
	server := httptest.NewServer(&Server{MaxBodyBytes: 100, Handle: handle, AskToClose: func() bool { return true }})
	defer server.Close()
	for _, want := range []int{200, 503} {
		resp, err := http.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want || !resp.Close {
			t.Errorf("status %d, close %v; want %d, true", resp.StatusCode, resp.Close, want)
		}
		stop = true
	}
}

// A caller that sends a request while a stopping entry closes its idle connection must be told that it was not run, and
// a caller whose request is running must get the answer.
func TestStoppingEntryAnswersIdleConnections(t *testing.T) {
	for _, tc := range []struct {
		name string
		// sent is what the caller has sent when the entry stops; runs is set if the request is running by then.
		sent string
		runs bool
		want int
	}{
		{"nothing was sent since the last answer", "", false, http.StatusRequestTimeout},
		{"part of a request", "POST / HTTP/1.1\r\nHost: a\r\n", false, http.StatusRequestTimeout},
		{"request runs", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", true, http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			running, finish := make(chan struct{}), make(chan struct{})
			p := &GracefulListener{Listener: l}
			server := &http.Server{ConnState: p.TrackConnState, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.Method == "POST" {
					close(running)
					<-finish
				}
			})}
			go func() { _ = server.Serve(p) }()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			answers := bufio.NewReader(c)
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			if _, err := http.ReadResponse(answers, nil); err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(c, tc.sent)
			if tc.runs {
				<-running
				time.AfterFunc(50*time.Millisecond, func() { close(finish) })
			}
			time.Sleep(20 * time.Millisecond)
			p.AnswerIdleOnClose()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			stopped := make(chan error, 1)
			go func() { stopped <- server.Shutdown(ctx) }()
			resp, err := http.ReadResponse(answers, nil)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != tc.want || !tc.runs && (resp.Header.Get(HeaderOutcome) != string(retry.OutcomeNotRun) || !resp.Close) {
				t.Errorf("answer: got %d %v, want %d", resp.StatusCode, resp.Header, tc.want)
			}
			_, _ = io.WriteString(c, "a request that crosses the answer")
			c.Close()
			if err := <-stopped; err != nil {
				t.Error(err)
			}
			p.Wait()
		})
	}
}

// Links without requests must be closed; otherwise an entry would keep one to each agent of a fleet.
func TestSweepClosesIdleLinks(t *testing.T) {
	s := &fakeAgent{handle: func(int, *link.Link, link.Frame) {}}
	rec := s.start(t, "a")
	p := &Pool{Settings: link.Settings{Token: "t"}}
	defer p.Close()
	conn, err := p.Get(context.Background(), rec.Address)
	if err != nil {
		t.Fatal(err)
	}
	p.Sweep(time.Now())
	if !conn.alive() {
		t.Fatal("a new link was closed")
	}
	p.Sweep(time.Now().Add(idleTimeout + time.Second))
	if conn.alive() {
		t.Error("an idle link is still open")
	}
	// Addresses of agents that have left, and of agents that were never linked, must be removed too.
	for n := range 100 {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if _, err := p.Get(ctx, fmt.Sprintf("127.0.0.1:%d", n+1)); err == nil {
			t.Fatal("got a link to nowhere")
		}
	}
	p.Sweep(time.Now())
	if got := len(p.slots); got != 0 {
		t.Errorf("addresses kept: got %d, want 0", got)
	}
}
