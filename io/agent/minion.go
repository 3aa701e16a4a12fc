package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"wagtailhoist/io/link"
)

const (
	// dialLimit bounds connecting to the minion, which is on loopback.
	dialLimit = time.Second
	// idleLimit closes connections that a minion with a longer limit has not closed itself.
	idleLimit = 15 * time.Second
	// answerRoom is the limit of answers that are being read, in bytes. With the limits of
	// request bodies (64 MiB) and of kept answers (64 MiB) it holds an agent below 256 MB.
	answerRoom = 64 << 20
	// maxStatus is the highest status that is passed on; net/http panics on some others.
	maxStatus = 599
	// maxHeader is the largest header of an answer in bytes; it has to fit a frame.
	maxHeader = 1 << 20
)

// Result is the minion's answer, or a failure.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
	// Ran is false only if the minion cannot have seen any part of the request.
	Ran bool
	Err error
	// Down says that the minion's port took no connection.
	Down bool
}

// Minion is an HTTP client that sends each request at most once.
type Minion struct {
	base   *url.URL
	client *http.Transport
	// room bounds the bytes of the answers that are being read.
	room *semaphore.Weighted
}

// NewMinion returns a client of the minion at base that opens at most that many connections.
func NewMinion(base string, connections int) (*Minion, error) {
	u, err := url.Parse(base)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return nil, fmt.Errorf("minion address %q is not an http URL", base)
	}
	dialer := net.Dialer{Timeout: dialLimit}
	return &Minion{base: u, room: semaphore.NewWeighted(answerRoom), client: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &gateConn{Conn: c}, nil
		},
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleLimit,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeader,
	}}, nil
}

// Close closes the idle connections.
func (m *Minion) Close() { m.client.CloseIdleConnections() }

// Reach returns an error unless the minion takes a connection.
func (m *Minion) Reach(ctx context.Context) error {
	c, err := (&net.Dialer{Timeout: dialLimit}).DialContext(ctx, "tcp", m.base.Host)
	if err != nil {
		return errors.Wrap(err, "minion")
	}
	return c.Close()
}

// Do runs the request of b at the minion. If an idle connection turns out to be closed
// before any byte of the request was written, it takes another one.
func (m *Minion) Do(ctx context.Context, b link.Begin, body []byte) Result {
	for {
		res, again := m.once(ctx, b, body)
		if !again || ctx.Err() != nil {
			return res
		}
	}
}

func (m *Minion) once(ctx context.Context, b link.Begin, body []byte) (res Result, again bool) {
	pass := new(gate)
	var reused bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		reused = info.Reused
		if c, ok := info.Conn.(*gateConn); ok {
			c.gate.Store(pass)
		}
	}}
	req, err := m.request(httptrace.WithClientTrace(ctx, trace), b, body)
	if err != nil {
		return Result{Err: err}, false
	}
	resp, err := m.client.RoundTrip(req)
	if err != nil {
		ran := !pass.shut()
		// A refused connection is certain at once; a timeout may also come from a full backlog.
		down := !ran && errors.Is(err, syscall.ECONNREFUSED)
		return Result{Ran: ran, Err: errors.Wrap(err, "minion"), Down: down}, !ran && reused
	}
	defer resp.Body.Close()
	res = Result{Status: resp.StatusCode, Header: resp.Header, Ran: true}
	if res.Status < http.StatusOK || res.Status > maxStatus {
		res.Err = fmt.Errorf("minion: status %d is not between 200 and %d", res.Status, maxStatus)
		return res, false
	}
	size := min(resp.ContentLength, link.MaxBody)
	switch {
	case b.Method == http.MethodHead: // the length is that of an answer to GET
		return res, false
	case size < 0:
		size = link.MaxBody
	}
	if err := m.room.Acquire(ctx, size); err != nil {
		res.Err = errors.Wrap(err, "minion: no room for the answer")
		return res, false
	}
	defer m.room.Release(size)
	res.Body, res.Err = readBody(resp)
	return res, false
}

// request builds the HTTP request. net/http replays a request with Idempotency-Key, or
// with an idempotent method, on another connection if the first one breaks; it does so
// only for bodies that it can rewind. A body of a type of its own, without GetBody, is
// set even for empty bodies, because it rules the replay out.
func (m *Minion) request(ctx context.Context, b link.Begin, body []byte) (*http.Request, error) {
	// A path that is not rooted could change the host when it is appended to the minion's.
	if !strings.HasPrefix(b.Path, "/") {
		return nil, fmt.Errorf("request to minion: path %q does not begin with /", b.Path)
	}
	req, err := http.NewRequestWithContext(ctx, b.Method, m.base.Scheme+"://"+m.base.Host+b.Path, onceBody{bytes.NewReader(body)})
	if err != nil {
		return nil, errors.Wrap(err, "request to minion")
	}
	req.Header = http.Header(b.Header).Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil
	}
	req.Host = b.Host
	if len(body) > 0 {
		req.ContentLength = int64(len(body))
	}
	return req, nil
}

// readBody returns the whole body, or an error if its end cannot be told from a broken connection.
func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errors.New("minion: answer has neither a length nor chunks")
	}
	if resp.ContentLength > link.MaxBody {
		return nil, fmt.Errorf("minion: answer of %d bytes exceeds %d", resp.ContentLength, link.MaxBody)
	}
	var buf bytes.Buffer
	if resp.ContentLength > 0 {
		buf.Grow(int(resp.ContentLength) + bytes.MinRead) // growing step by step leaves twice as much garbage
	}
	if _, err := buf.ReadFrom(io.LimitReader(resp.Body, link.MaxBody+1)); err != nil {
		return nil, errors.Wrap(err, "minion: read answer")
	}
	if buf.Len() > link.MaxBody {
		return nil, fmt.Errorf("minion: answer exceeds %d bytes", link.MaxBody)
	}
	return buf.Bytes(), nil
}

type onceBody struct{ io.Reader }

// Close does nothing; the bytes are in memory.
func (onceBody) Close() error { return nil }

// gate lets a request's bytes pass until it is shut. It is shut only if no byte has
// passed, which proves that the minion has seen nothing of the request.
type gate struct{ state atomic.Int32 }

const (
	gateFresh int32 = iota
	gatePassed
	gateShut
)

func (g *gate) pass() bool {
	return g.state.CompareAndSwap(gateFresh, gatePassed) || g.state.Load() == gatePassed
}

func (g *gate) shut() bool {
	return g.state.CompareAndSwap(gateFresh, gateShut) || g.state.Load() == gateShut
}

// gateConn asks the gate of the request that holds the connection before each write.
type gateConn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

// Write fails without writing if the gate is shut.
func (c *gateConn) Write(b []byte) (int, error) {
	if g := c.gate.Load(); g != nil && !g.pass() {
		return 0, errors.New("request was given up before it was written")
	}
	return c.Conn.Write(b)
}
