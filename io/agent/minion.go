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
	// dialTimeout limits connecting to the minion, which is on loopback.
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection to the minion stays open, unless the minion closes it earlier.
	idleTimeout = 15 * time.Second
	// maxTotalAnswerBytes limits the total size of the answers that are being read. With the limits of request
	// bodies (64 MiB) and of retained answers (64 MiB) it keeps an agent below 256 MB.
	maxTotalAnswerBytes = 64 << 20
	// maxStatus is the highest status that is forwarded; net/http panics on some others.
	maxStatus = 599
	// maxHeaderBytes is the maximum size of an answer's header; it must fit into a frame.
	maxHeaderBytes = 1 << 20
)

// Result is the minion's answer, or a failure.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
	// Ran is false only if the minion cannot have seen any part of the request.
	Ran bool
	Err error
	// Down is set if the minion's port refused the connection.
	Down bool
}

// Minion is an HTTP client of a minion that sends each request at most once.
type Minion struct {
	base   *url.URL
	client *http.Transport
	// answerBytes limits the bytes of the answers that are being read.
	answerBytes *semaphore.Weighted
}

// NewMinion returns a client of the minion at the URL base that opens at most maxConnections connections.
func NewMinion(base string, maxConnections int) (*Minion, error) {
	u, err := url.Parse(base)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return nil, fmt.Errorf("minion address %q is not an http URL", base)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Minion{base: u, answerBytes: semaphore.NewWeighted(maxTotalAnswerBytes), client: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &gatedConn{Conn: c}, nil
		},
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}}, nil
}

// Close closes the idle connections.
func (m *Minion) Close() { m.client.CloseIdleConnections() }

// CheckReachable returns an error unless the minion accepts a connection.
func (m *Minion) CheckReachable(ctx context.Context) error {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", m.base.Host)
	if err != nil {
		return errors.Wrap(err, "minion")
	}
	return c.Close()
}

// Do runs the request of b at the minion. If a reused connection turns out to be closed before any byte of the request was
// written, it sends the request over another connection.
func (m *Minion) Do(ctx context.Context, b link.Begin, body []byte) Result {
	for {
		res, retry := m.tryOnce(ctx, b, body)
		if !retry || ctx.Err() != nil {
			return res
		}
	}
}

// tryOnce sends the request once. It sets retry if a reused connection failed before any byte was written.
func (m *Minion) tryOnce(ctx context.Context, b link.Begin, body []byte) (res Result, retry bool) {
	requestGate := new(writeGate)
	var reused bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		reused = info.Reused
		if c, ok := info.Conn.(*gatedConn); ok {
			c.writeGate.Store(requestGate)
		}
	}}
	req, err := m.request(httptrace.WithClientTrace(ctx, trace), b, body)
	if err != nil {
		return Result{Err: err}, false
	}
	resp, err := m.client.RoundTrip(req)
	if err != nil {
		ran := !requestGate.closeUnwritten()
		// A refused connection shows that nothing listens; a timeout may also be due to a full backlog.
		down := !ran && errors.Is(err, syscall.ECONNREFUSED)
		return Result{Ran: ran, Err: errors.Wrap(err, "minion"), Down: down}, !ran && reused
	}
	defer resp.Body.Close()
	res = Result{Status: resp.StatusCode, Header: resp.Header, Ran: true}
	if res.Status < http.StatusOK || res.Status > maxStatus {
		res.Err = fmt.Errorf("minion: status %d is not between 200 and %d", res.Status, maxStatus)
		return res, false
	}
	size := min(resp.ContentLength, link.MaxBodyBytes)
	switch {
	case b.Method == http.MethodHead: // the length is that of the answer to GET
		return res, false
	case size < 0:
		size = link.MaxBodyBytes
	}
	if err := m.answerBytes.Acquire(ctx, size); err != nil {
		res.Err = errors.Wrap(err, "minion: no room for the answer")
		return res, false
	}
	defer m.answerBytes.Release(size)
	res.Body, res.Err = readBody(resp)
	return res, false
}

// request builds the HTTP request. If a connection breaks, net/http replays requests with an Idempotency-Key or an
// idempotent method on another connection, but only if it can rewind the body. To prevent that, even an empty body is set
// as an unreplayableBody, for which net/http has no GetBody.
func (m *Minion) request(ctx context.Context, b link.Begin, body []byte) (*http.Request, error) {
	// A path without a leading slash could change the host when it is appended to the minion's address.
	if !strings.HasPrefix(b.Path, "/") {
		return nil, fmt.Errorf("request to minion: path %q does not begin with /", b.Path)
	}
	req, err := http.NewRequestWithContext(ctx, b.Method, m.base.Scheme+"://"+m.base.Host+b.Path, unreplayableBody{bytes.NewReader(body)})
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

// readBody returns the complete body, or an error if its end cannot be distinguished from a broken connection.
func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errors.New("minion: answer has neither a length nor chunks")
	}
	if resp.ContentLength > link.MaxBodyBytes {
		return nil, fmt.Errorf("minion: answer of %d bytes exceeds %d", resp.ContentLength, link.MaxBodyBytes)
	}
	var buf bytes.Buffer
	if resp.ContentLength > 0 {
		buf.Grow(int(resp.ContentLength) + bytes.MinRead) // growing step by step produces twice as much garbage
	}
	if _, err := buf.ReadFrom(io.LimitReader(resp.Body, link.MaxBodyBytes+1)); err != nil {
		return nil, errors.Wrap(err, "minion: read answer")
	}
	if buf.Len() > link.MaxBodyBytes {
		return nil, fmt.Errorf("minion: answer exceeds %d bytes", link.MaxBodyBytes)
	}
	return buf.Bytes(), nil
}

// unreplayableBody is a request body that net/http cannot rewind.
type unreplayableBody struct{ io.Reader }

// Close does nothing; the bytes are in memory.
func (unreplayableBody) Close() error { return nil }

// writeGate records whether bytes of a request may have been written. It can be closed only before the first write; a
// closed gate proves that the minion has received nothing of the request.
type writeGate struct{ state atomic.Int32 }

const (
	gateUnused int32 = iota
	gateWritten
	gateClosed
)

// allowWrite marks the request as written, or returns false if the gate is closed.
func (g *writeGate) allowWrite() bool {
	return g.state.CompareAndSwap(gateUnused, gateWritten) || g.state.Load() == gateWritten
}

// closeUnwritten closes the gate, or returns false if bytes may have been written.
func (g *writeGate) closeUnwritten() bool {
	return g.state.CompareAndSwap(gateUnused, gateClosed) || g.state.Load() == gateClosed
}

// gatedConn checks the gate of the request that uses the connection before each write.
type gatedConn struct {
	net.Conn
	writeGate atomic.Pointer[writeGate]
}

// Write fails without writing if the gate is closed.
func (c *gatedConn) Write(b []byte) (int, error) {
	if g := c.writeGate.Load(); g != nil && !g.allowWrite() {
		return 0, errors.New("request was given up before it was written")
	}
	return c.Conn.Write(b)
}
