package intake

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"wagtailhoist/core/budget"
)

// hangTimeout ends a test whose peer waits for something that never comes. It is below MaxArrival, so that a body isn't ended by
// its time limit instead of the rule under test.
const hangTimeout = 20 * time.Second

// testServer reads the body of each request for the holder that the header "Holder" names and answers with its length, or with the
// status of the error.
type testServer struct {
	*httptest.Server
	bodies Bodies
	// maxBytes is the limit of a body.
	maxBytes int64
	// deadline is the time limit of a body; 0 means MaxArrival.
	deadline time.Duration
	// refuses makes the server refuse requests by their header.
	refuses bool

	mu sync.Mutex
	// cancelled counts the requests whose context had ended when they were answered.
	cancelled int
}

func newTestServer(t *testing.T, limit, maxBytes int64) *testServer {
	s := &testServer{maxBytes: maxBytes}
	s.bodies.Limit = limit
	s.Server = httptest.NewServer(s)
	t.Cleanup(s.Close)
	return s
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.refuses {
		DropBody(w, r)
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	deadline := s.deadline
	if deadline == 0 {
		deadline = MaxArrival
	}
	body, err := s.bodies.Read(w, r, r.Header.Get("Holder"), s.maxBytes, time.Now().Add(deadline))
	if err != nil {
		w.WriteHeader(StatusCode(err))
		return
	}
	defer body.Release()
	if r.Context().Err() != nil {
		s.mu.Lock()
		s.cancelled++
		s.mu.Unlock()
	}
	_, _ = io.WriteString(w, strconv.Itoa(len(body.Bytes())))
}

// client is a connection to a testServer that sends and receives raw bytes.
type client struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (s *testServer) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(hangTimeout))
	return &client{c, t, bufio.NewReader(c)}
}

// send sends the header of a POST and the first bytes of its body.
func (c *client) send(holder string, length, sent int, more ...string) {
	c.t.Helper()
	header := fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nHolder: %s\r\nContent-Length: %d\r\n", holder, length)
	if _, err := io.WriteString(c, header+strings.Join(more, "")+"\r\n"+strings.Repeat("x", sent)); err != nil {
		c.t.Fatal(err)
	}
}

// answer returns the status of the next answer, its body, and whether the connection is closed after it.
func (c *client) answer() (int, string, bool) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), resp.Close
}

// awaitHeld waits until bodies hold at least n bytes.
func (s *testServer) awaitHeld(t *testing.T, n int64) {
	t.Helper()
	for end := time.Now().Add(hangTimeout); s.bodies.Held() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("bodies hold %d bytes, want at least %d", s.bodies.Held(), n)
		}
	}
}

// TestStalledBodyIsEvicted checks that a body that stops short of its end gives way to an ordinary one of another holder and of its
// own, and that its own request is then answered at once: otherwise open connections keep the budget used up.
func TestStalledBodyIsEvicted(t *testing.T) {
	for _, holder := range []string{"flood", "ordinary"} {
		s := newTestServer(t, 9<<10, 6000)
		stalled := s.dial(t)
		stalled.send("flood", 6000, 5999)
		s.awaitHeld(t, 5999)
		other := s.dial(t)
		other.send(holder, 4000, 4000)
		if code, body, _ := other.answer(); code != http.StatusOK || body != "4000" {
			t.Errorf("body of %s beside a stalled one: got %d %s, want 200", holder, code, body)
		}
		if code, _, closed := stalled.answer(); code != http.StatusServiceUnavailable || !closed {
			t.Errorf("stalled body: got %d, connection closed %v, want 503 and a closed connection", code, closed)
		}
		if got := s.bodies.Held(); got != 0 {
			t.Errorf("held after all requests: got %d bytes, want 0", got)
		}
	}
}

// TestBodyIsChargedForWhatArrived checks that announced lengths hold no memory: a few callers that send nothing would use up the
// budget.
func TestBodyIsChargedForWhatArrived(t *testing.T) {
	s := newTestServer(t, 1<<20, 700<<10)
	for i := range 10 {
		s.dial(t).send("flood", 700<<10, 10)
		s.awaitHeld(t, int64(i+1)*minChunk)
	}
	// A header takes some hundred bytes.
	if got, want := s.bodies.Held(), int64(10*2*minChunk); got > want {
		t.Errorf("held by 10 bodies that just began: got %d, want at most %d", got, want)
	}
}

// TestBodyArrivesWhole checks bodies of all forms. A wrong part boundary would corrupt a job.
func TestBodyArrivesWhole(t *testing.T) {
	b := &Bodies{Limit: 400 << 10}
	for _, size := range []int{0, 1, minChunk - 1, minChunk, minChunk + 1, 5000, 100_000, 262_144} {
		want := make([]byte, size)
		for i := range want {
			want[i] = byte(i * 7)
		}
		for _, announced := range []bool{true, false} {
			var got []byte
			var err error
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var body *Body
				if body, err = b.Read(w, r, "a", 262_144, time.Now().Add(MaxArrival)); err == nil {
					got = bytes.Clone(body.Bytes())
					if held := b.Held(); held > 2*int64(size)+3*minChunk {
						t.Errorf("%d bytes, announced %v: %d bytes held", size, announced, held)
					}
					body.Release()
				}
			}))
			var reader io.Reader = bytes.NewReader(want)
			if !announced {
				reader = io.MultiReader(reader) // hides the length
			}
			resp, postErr := http.Post(server.URL, "", reader)
			if postErr != nil {
				t.Fatal(postErr)
			}
			resp.Body.Close()
			server.Close()
			if err != nil || !bytes.Equal(got, want) {
				t.Errorf("%d bytes, announced %v: got %d bytes, %v", size, announced, len(got), err)
			}
		}
	}
	if got := b.Held(); got != 0 {
		t.Errorf("held after all bodies: got %d, want 0", got)
	}
}

// TestLargeBodyIsRefused checks that a body beyond the limit is refused: by its header, if that announces its length.
func TestLargeBodyIsRefused(t *testing.T) {
	s := newTestServer(t, 1<<20, 5000)
	announced := s.dial(t)
	announced.send("a", 5001, 0)
	if code, _, closed := announced.answer(); code != http.StatusRequestEntityTooLarge || !closed {
		t.Errorf("announced: got %d, closed %v, want 413 and a closed connection", code, closed)
	}
	chunked := s.dial(t)
	_, _ = fmt.Fprintf(chunked, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", 5001, strings.Repeat("x", 5001))
	if code, _, closed := chunked.answer(); code != http.StatusRequestEntityTooLarge || !closed {
		t.Errorf("in chunks: got %d, closed %v, want 413 and a closed connection", code, closed)
	}
}

// TestLateBodyIsRefused checks that the deadline ends a body that doesn't arrive. Otherwise its connection stays open for ever.
func TestLateBodyIsRefused(t *testing.T) {
	s := newTestServer(t, 1<<20, 5000)
	s.deadline = time.Millisecond
	c := s.dial(t)
	c.send("a", 5000, 4999)
	if code, _, closed := c.answer(); code != http.StatusRequestTimeout || !closed {
		t.Errorf("got %d, closed %v, want 408 and a closed connection", code, closed)
	}
}

// TestFullBudgetRefusesAtOnce checks that a body is refused while the budget is held by bodies that have arrived, before its
// sender is asked to go on.
func TestFullBudgetRefusesAtOnce(t *testing.T) {
	s := newTestServer(t, 8<<10, 6000)
	// The other holder takes what is not reserved, and then the reserve too.
	for _, holder := range []string{"a", "b"} {
		body := &Body{bodies: &s.bodies}
		s.bodies.admit(time.Now(), body, holder)
		size := int64(6 << 10)
		if holder == "b" {
			size = 2 << 10
		}
		if err := s.bodies.addPart(body, make([]byte, size)); err != nil {
			t.Fatal(err)
		}
		s.bodies.noteProgress(body, int(size), true)
	}
	c := s.dial(t)
	c.send("c", 10, 0, "Expect: 100-continue\r\n")
	if code, _, closed := c.answer(); code != http.StatusServiceUnavailable || !closed {
		t.Errorf("got %d, closed %v, want 503 and a closed connection", code, closed)
	}
}

// TestRefusalByHeaderDoesNotWait checks that a request that is refused by its header is answered without its body, and that net/http
// doesn't wait for it: the read of the rest held the connection without a time limit.
func TestRefusalByHeaderDoesNotWait(t *testing.T) {
	s := newTestServer(t, 1<<20, 1<<20)
	s.refuses = true
	for _, test := range []struct {
		name         string
		length, sent int
		more         string
	}{
		{"a part was sent", 3000, 10, ""},
		{"nothing was sent", 3000, 0, ""},
		{"large", 100_000, 10, ""},
		{"waits for 100 Continue", 3000, 0, "Expect: 100-continue\r\n"},
		{"chunked", 0, 0, "Transfer-Encoding: chunked\r\n"},
	} {
		c := s.dial(t)
		c.send("a", test.length, test.sent, test.more)
		if code, _, closed := c.answer(); code != http.StatusUnauthorized || !closed {
			t.Errorf("%s: got %d, closed %v, want 401 and a closed connection", test.name, code, closed)
		}
		if _, err := c.r.ReadByte(); err == nil {
			t.Errorf("%s: got a byte after the answer, want the end of the connection", test.name)
		}
	}
}

// TestRefusalKeepsConnectionOfWholeBody checks that an ordinary caller's connection goes on after a refusal, if its body has arrived,
// and that the next request on it isn't cancelled.
func TestRefusalKeepsConnectionOfWholeBody(t *testing.T) {
	s := newTestServer(t, 1<<20, 1<<20)
	s.refuses = true
	c := s.dial(t)
	c.send("a", 100, 100)
	if code, _, closed := c.answer(); code != http.StatusUnauthorized || closed {
		t.Fatalf("got %d, closed %v, want 401 and an open connection", code, closed)
	}
	s.refuses = false
	c.send("a", 100, 100)
	if code, body, _ := c.answer(); code != http.StatusOK || body != "100" {
		t.Errorf("next request: got %d %s, want 200", code, body)
	}
	if s.cancelled > 0 {
		t.Error("the next request was cancelled")
	}
}

// deadlineListener records the deadlines of its connections.
type deadlineListener struct {
	net.Listener
	mu          sync.Mutex
	read, write time.Time
}

func (l *deadlineListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &deadlineConn{c, l}, err
}

type deadlineConn struct {
	net.Conn
	l *deadlineListener
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.l.mu.Lock()
	c.l.read = t
	c.l.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

func (c *deadlineConn) SetWriteDeadline(t time.Time) error {
	c.l.mu.Lock()
	c.l.write = t
	c.l.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// TestNoDeadlineIsLeftOver checks that a connection that goes on after an answer has none of its request's deadlines: they would end
// it between two requests.
func TestNoDeadlineIsLeftOver(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &deadlineListener{Listener: inner}
	idle := make(chan struct{}, 1)
	var bodies Bodies
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := bodies.Read(w, r, "a", 1000, time.Now().Add(time.Minute))
			if err != nil {
				t.Error(err)
				return
			}
			defer body.Release()
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Minute))
		}),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				idle <- struct{}{}
			}
		},
	}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	for range 2 {
		resp, err := http.Post("http://"+inner.Addr().String(), "", strings.NewReader("abc"))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		<-idle
		// The state changes before the deadline for the next request is set or removed.
		for end := time.Now().Add(hangTimeout); ; time.Sleep(time.Millisecond) {
			l.mu.Lock()
			read, write := l.read, l.write
			l.mu.Unlock()
			if read.IsZero() && write.IsZero() {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("left over: got read deadline %v and write deadline %v, want none", read, write)
			}
		}
	}
}

// stuckBody is a body whose reads return one byte each.
type stuckBody struct{ left int }

func (b *stuckBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	b.left--
	p[0] = 'x'
	return 1, nil
}

func (b *stuckBody) Close() error { return nil }

// TestTinyChunksArrive checks that a lone body is served however small its parts are.
func TestTinyChunksArrive(t *testing.T) {
	var bodies Bodies
	r := httptest.NewRequest(http.MethodPost, "/", &stuckBody{300})
	body, err := bodies.Read(httptest.NewRecorder(), r, "a", 1000, time.Now().Add(MaxArrival))
	if err != nil || body.Size() != 300 {
		t.Fatalf("got %v", err)
	}
	if err := body.Replace(5000); err != nil || bodies.Held() != 5000+body.header {
		t.Errorf("replaced by 5000 bytes: got %d, %v", bodies.Held(), err)
	}
	body.Release()
	body.Release()
	if got := bodies.Held(); got != 0 {
		t.Errorf("held after the release: got %d, want 0", got)
	}
}

// TestEvictFreesAConnection checks that Evict ends the body that is stalled and says so when there is none.
func TestEvictFreesAConnection(t *testing.T) {
	s := newTestServer(t, 1<<20, 5000)
	c := s.dial(t)
	c.send("a", 5000, 10)
	s.awaitHeld(t, 10)
	if !s.bodies.Evict() {
		t.Error("got nothing evicted, want the stalled body")
	}
	if code, _, closed := c.answer(); code != http.StatusServiceUnavailable || !closed {
		t.Errorf("got %d, closed %v, want 503 and a closed connection", code, closed)
	}
	if s.bodies.Evict() {
		t.Error("got a body evicted, want none")
	}
}

// TestGateBoundsBodies checks that a gate lets no more in than its width, and that a wait ends with its context.
func TestGateBoundsBodies(t *testing.T) {
	var g Gate
	for range defaultWidth {
		if err := g.Enter(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	var busy *BusyError
	if err := g.Enter(ended); !errors.As(err, &busy) {
		t.Errorf("got %v, want a BusyError", err)
	}
	g.Leave()
	if err := g.Enter(ended); err != nil {
		t.Errorf("after one has left: got %v, want a place", err)
	}
}

// TestReporterSumsUp checks that many refusals give one log line: a line for each would cost the processor time and disk that a
// flood of requests is meant to cost.
func TestReporterSumsUp(t *testing.T) {
	var out bytes.Buffer
	r := &Reporter{Log: slog.New(slog.NewJSONHandler(&out, nil))}
	for range 1000 {
		r.Refused(ReasonFull, "team a")
	}
	r.Closed(ReasonIdle, "10.0.0.1:80")
	r.flush()
	if got := strings.Count(out.String(), "\n"); got != 1 {
		t.Errorf("got %d lines, want 1", got)
	}
	for _, want := range []string{`"count":1001`, `"refused_requests: budget full":"1000, last: team a"`, `"closed_connections: idle at the bound":"1, last: 10.0.0.1:80"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got %s, want it to contain %s", out.String(), want)
		}
	}
	var none *Reporter
	none.Refused(ReasonFull, "")
}

// deadlineRecorder records the read deadline of a connection.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	readDeadline time.Time
}

func (r *deadlineRecorder) SetReadDeadline(t time.Time) error {
	r.readDeadline = t
	return nil
}

// Guards against callers that get a reset instead of the refusal: the connection of a caller that was still sending was closed with
// unread bytes as soon as the answer had been written.
func TestRefusedCallerMayFinishItsBody(t *testing.T) {
	bodies := &Bodies{Limit: 32 << 10}
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", 64<<10)))
	now := time.Now()
	_, err := bodies.Read(w, r, "a", 64<<10, now.Add(time.Minute))
	var full *budget.FullError
	if !errors.As(err, &full) {
		t.Fatalf("got error %v, want a FullError", err)
	}
	if got := w.readDeadline.Sub(now); got < lingerTime || got >= time.Minute {
		t.Errorf("got %v to finish the body, want about %v", got, lingerTime)
	}
}
