package intake

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// serveBounded serves a handler behind a Listener and returns its address.
func serveBounded(t *testing.T, l *Listener, handler http.HandlerFunc) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Listener = inner
	server := &http.Server{Handler: handler, ConnState: TrackRequests}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { server.Close() })
	return inner.Addr().String()
}

// openConn opens a connection and waits until the listener counts want of them.
func openConn(t *testing.T, l *Listener, address string, want int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(hangTimeout))
	awaitConns(t, l, want)
	return c
}

// awaitConns waits until the listener has the given number of open connections.
func awaitConns(t *testing.T, l *Listener, want int) {
	t.Helper()
	for end := time.Now().Add(hangTimeout); ; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		got := l.conns.Open()
		l.mu.Unlock()
		if got == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("got %d open connections, want %d", got, want)
		}
	}
}

// get sends a request on a connection and reads the answer.
func get(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	answered(t, c)
}

// answered reads the answer to a request whose body is "ok".
func answered(t *testing.T, c net.Conn) {
	t.Helper()
	buf := make([]byte, 1024)
	for n := 0; n < 2 || string(buf[n-2:n]) != "ok"; {
		got, err := c.Read(buf[n:])
		if err != nil {
			t.Fatalf("no answer: %v", err)
		}
		n += got
	}
}

// awaitClosed waits until the peer has closed a connection.
func awaitClosed(t *testing.T, name string, c net.Conn) {
	t.Helper()
	var timeout net.Error
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("%s: got %v, want it closed", name, err)
	}
}

func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// TestOldestWaitingConnectionIsClosed checks the order at the bound: idle connections and those without a request header go, the
// one that has waited the longest first, while one with a request in progress stays. Without it, connections that are opened and
// never used keep out new callers.
func TestOldestWaitingConnectionIsClosed(t *testing.T) {
	l := &Listener{MaxConns: 3}
	release := make(chan struct{})
	address := serveBounded(t, l, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			<-release
		}
		answerOK(w, r)
	})
	busy := openConn(t, l, address, 1)
	if _, err := io.WriteString(busy, "PUT / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	silent := openConn(t, l, address, 2)
	idle := openConn(t, l, address, 3)
	get(t, idle)
	awaitWaiting(t, l, 2)
	get(t, openConn(t, l, address, 3))
	awaitClosed(t, "connection without a header", silent)
	get(t, openConn(t, l, address, 3))
	awaitClosed(t, "idle connection", idle)
	close(release)
	answered(t, busy)
}

// awaitWaiting waits until the given number of connections wait for a request.
func awaitWaiting(t *testing.T, l *Listener, want int) {
	t.Helper()
	for end := time.Now().Add(hangTimeout); ; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		got := l.conns.Waiting()
		l.mu.Unlock()
		if got == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("got %d waiting connections, want %d", got, want)
		}
	}
}

// TestRequestEndsEarlyForNewConnection checks that a new caller is served while all connections have a request in progress, one of
// which can be ended.
func TestRequestEndsEarlyForNewConnection(t *testing.T) {
	ended := make(chan struct{})
	asked := 0
	l := &Listener{MaxConns: 1, MakeRoom: func() bool {
		asked++
		close(ended)
		return true
	}}
	address := serveBounded(t, l, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			<-ended
			w.Header().Set("Connection", "close")
		}
		answerOK(w, r)
	})
	busy := openConn(t, l, address, 1)
	if _, err := io.WriteString(busy, "PUT / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	awaitWaiting(t, l, 0)
	get(t, openConn(t, l, address, 1))
	answered(t, busy)
	if asked != 1 {
		t.Errorf("got %d requests ended, want 1", asked)
	}
}

// TestAcceptWaitsForRoom checks that the bound holds while no connection can be closed, that a connection that becomes idle makes
// room, and that the listener can be closed meanwhile, although its server closes it then, too.
func TestAcceptWaitsForRoom(t *testing.T) {
	l := &Listener{MaxConns: 1}
	release := make(chan struct{})
	address := serveBounded(t, l, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			<-release
		}
		answerOK(w, r)
	})
	busy := openConn(t, l, address, 1)
	if _, err := io.WriteString(busy, "PUT / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	awaitWaiting(t, l, 0)
	next := openConn(t, l, address, 1)
	release <- struct{}{}
	answered(t, busy)
	get(t, next)
	awaitClosed(t, "idle connection", busy)
	awaitConns(t, l, 1)
	// The answer arrives before the connection counts as idle; a request in between would be on an idle connection.
	awaitWaiting(t, l, 1)

	if _, err := io.WriteString(next, "PUT / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	awaitWaiting(t, l, 0)
	openConn(t, l, address, 1)
	if err := l.Close(); err != nil {
		t.Error(err)
	}
	close(release)
	answered(t, next)
}

// TestHeadersInProgressAreBounded checks that the connection with the longest unfinished header is closed, and an ordinary one is
// served: headers of very short lines take up to 20 times their text.
func TestHeadersInProgressAreBounded(t *testing.T) {
	l := &Listener{MaxHeaderBytes: 3800}
	address := serveBounded(t, l, answerOK)
	ordinary := openConn(t, l, address, 1)
	long := openConn(t, l, address, 2)
	if _, err := io.WriteString(long, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 100)); err != nil {
		t.Fatal(err)
	}
	longest := openConn(t, l, address, 3)
	if _, err := io.WriteString(longest, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 900)); err != nil {
		t.Fatal(err)
	}
	awaitClosed(t, "connection with the longest header", longest)
	get(t, ordinary)
	if _, err := io.WriteString(long, "\r\n"); err != nil {
		t.Fatal(err)
	}
	answered(t, long)
	// Its bytes don't count any more, also for a next request on the same connection.
	for range 10 {
		if _, err := io.WriteString(long, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 300)+"\r\n"); err != nil {
			t.Fatal(err)
		}
		answered(t, long)
	}
}

// TestRoomIsMadeForSeveralConnections checks that requests in progress are ended for several new connections at a time and that their
// connections are counted: each stays open for half a second after its answer, so that new callers got in two a second.
func TestRoomIsMadeForSeveralConnections(t *testing.T) {
	// Room is made for a sixteenth of the connections at a time.
	const conns = 32
	var asked atomic.Int32
	ended := make(chan struct{})
	counters := &ListenerCounters{}
	l := &Listener{MaxConns: conns, Counters: counters, MakeRoom: func() bool {
		if asked.Add(1) == 2 {
			close(ended)
		}
		return true
	}}
	address := serveBounded(t, l, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			<-ended
			w.Header().Set("Connection", "close")
		}
		answerOK(w, r)
	})
	for i := range conns {
		if _, err := io.WriteString(openConn(t, l, address, i+1), "PUT / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	awaitWaiting(t, l, 0)
	caller, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { caller.Close() })
	// Without room for the caller, its request would never be answered.
	_ = caller.SetDeadline(time.Now().Add(hangTimeout))
	get(t, caller)
	if got := asked.Load(); got != 2 {
		t.Errorf("got %d requests ended for a new connection, want 2", got)
	}
	if got := counters.Evicted.Load(); got != 2 {
		t.Errorf("got %d connections counted, want 2", got)
	}
}
