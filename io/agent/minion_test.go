package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wagtailhoist/io/link"
)

// rawMinion starts a minion that sends the next of the answers to each request. An empty answer closes the connection after
// the request was read; "close" closes it after the answer before. It returns the URL and the counter of requests.
func rawMinion(t *testing.T, answers ...string) (string, *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	runs := new(atomic.Int32)
	serve := func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			n := int(runs.Add(1)) - 1
			if n >= len(answers) || answers[n] == "" {
				return
			}
			_, _ = io.WriteString(c, answers[n])
			if n+1 < len(answers) && answers[n+1] == "close" {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return "http://" + l.Addr().String(), runs
}

func newMinion(t *testing.T, url string) *Minion {
	t.Helper()
	m, err := NewMinion(url, 4)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return m
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// A minion that runs a request and closes the connection without an answer must not get the request again. By default
// net/http replays such requests if the connection was reused.
func TestMinionClientDoesNotReplay(t *testing.T) {
	for _, tc := range []struct {
		name   string
		method string
		header http.Header
		body   string
	}{
		{"GET", "GET", nil, ""},
		{"PUT with body", "PUT", nil, "x"},
		{"POST with key", "POST", http.Header{"Idempotency-Key": {"k"}}, "x"},
		{"POST with key, empty", "POST", http.Header{"Idempotency-Key": {"k"}}, ""},
		{"DELETE with key", "DELETE", http.Header{"X-Idempotency-Key": {"k"}}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			url, runs := rawMinion(t, okAnswer, "")
			m := newMinion(t, url)
			b := link.Begin{Method: tc.method, Path: "/", Header: tc.header}
			if res := m.Do(context.Background(), b, []byte(tc.body)); res.Err != nil {
				t.Fatal(res.Err)
			}
			res := m.Do(context.Background(), b, []byte(tc.body))
			if res.Err == nil || !res.Ran {
				t.Errorf("second request: got error %v, ran %v; want an error after a possible run", res.Err, res.Ran)
			}
			if got, want := runs.Load(), int32(2); got != want {
				t.Errorf("executions: got %d, want %d", got, want)
			}
		})
	}
}

// A request must not fail because the minion closed an idle connection before any of the request was written.
func TestMinionClientReplacesClosedConnection(t *testing.T) {
	url, runs := rawMinion(t, okAnswer, "close", okAnswer)
	_ = runs
	m := newMinion(t, url)
	b := link.Begin{Method: "POST", Path: "/"}
	if res := m.Do(context.Background(), b, nil); res.Err != nil {
		t.Fatal(res.Err)
	}
	time.Sleep(50 * time.Millisecond) // the client sees the closed connection
	runs.Store(2)
	if res := m.Do(context.Background(), b, nil); res.Err != nil {
		t.Errorf("request after the minion closed the connection: %v", res.Err)
	}
}

// The length in an answer to HEAD must be forwarded even if it exceeds the limit of bodies, as no body is sent.
func TestMinionClientForwardsLengthOfHead(t *testing.T) {
	url, _ := rawMinion(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 2*link.MaxBodyBytes))
	res := newMinion(t, url).Do(context.Background(), link.Begin{Method: "HEAD", Path: "/"}, nil)
	if got, want := res.Header.Get("Content-Length"), fmt.Sprint(2*link.MaxBodyBytes); res.Err != nil || got != want {
		t.Errorf("got length %q, error %v; want %q", got, res.Err, want)
	}
}

// Only a request of which no byte was written may be reported as not run.
func TestMinionClientReportsWhetherRequestRan(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	url, _ := rawMinion(t, "")
	for _, tc := range []struct {
		name, url string
		want      bool
	}{
		{"dial failure", "http://" + closed.Addr().String(), false},
		{"closed after the request", url, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			res := newMinion(t, tc.url).Do(context.Background(), link.Begin{Method: "POST", Path: "/"}, []byte("x"))
			if res.Err == nil || res.Ran != tc.want {
				t.Errorf("got error %v, ran %v; want an error, ran %v", res.Err, res.Ran, tc.want)
			}
		})
	}
}

// A gate that is closed before the first byte must block later writes: the entry has already been told that the request was
// not run.
func TestClosedGateBlocksLateWrite(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	c := &gatedConn{Conn: near}
	g := new(writeGate)
	c.writeGate.Store(g)
	if !g.closeUnwritten() {
		t.Fatal("closeUnwritten before any write: got false, want true")
	}
	if n, err := c.Write([]byte("x")); err == nil {
		t.Errorf("Write: got %d bytes, want an error", n)
	}
	open := new(writeGate)
	open.allowWrite()
	if open.closeUnwritten() {
		t.Error("closeUnwritten after a write: got true, want false")
	}
}

// A path without a leading slash must be refused: it could name another host.
func TestMinionClientKeepsItsHost(t *testing.T) {
	other, runs := rawMinion(t, okAnswer)
	url, _ := rawMinion(t, okAnswer)
	path := "@" + strings.TrimPrefix(other, "http://") + "/"
	res := newMinion(t, url).Do(context.Background(), link.Begin{Method: "GET", Path: path}, nil)
	if res.Err == nil || res.Ran {
		t.Errorf("got error %v, ran %v; want an error, not run", res.Err, res.Ran)
	}
	if got := runs.Load(); got != 0 {
		t.Errorf("requests at the other host: got %d, want 0", got)
	}
}

// An answer cut off by a broken connection must not be forwarded as complete.
func TestMinionClientRefusesTruncatedAnswers(t *testing.T) {
	for _, tc := range []struct{ name, answer string }{
		{"short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart"},
		{"missing last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
		{"ended by closing", "HTTP/1.0 200 OK\r\n\r\npart"},
		{"status that cannot be passed on", "HTTP/1.1 099 x\r\nContent-Length: 4\r\n\r\npart"},
		{"long header", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxHeaderBytes+1<<13) + "\r\nContent-Length: 4\r\n\r\npart"},
		{"too long", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", link.MaxBodyBytes+1)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			url, _ := rawMinion(t, tc.answer, "close")
			res := newMinion(t, url).Do(context.Background(), link.Begin{Method: "GET", Path: "/"}, nil)
			if res.Err == nil || !res.Ran {
				t.Errorf("got %d bytes, error %v, ran %v; want an error after a run", len(res.Body), res.Err, res.Ran)
			}
		})
	}
}
