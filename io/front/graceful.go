package front

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"wagtailhoist/core/retry"
	"wagtailhoist/io/link"
)

// closingTimeout limits how long a connection stays open after the closing answer if the caller does not close it.
const closingTimeout = time.Second

// GracefulListener is a listener that sends a closing answer on idle connections when a stopping entry closes them. A caller
// that sends a request on an idle connection while the entry closes it would not learn whether the request ran. The closing
// answer, 408 with the outcome not-run, tells it; a caller that sent nothing treats it as the end of the connection.
type GracefulListener struct {
	net.Listener

	stopping atomic.Bool
	wait     sync.WaitGroup
}

// Accept returns the next connection.
func (p *GracefulListener) Accept() (net.Conn, error) {
	c, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gracefulConn{Conn: c, listener: p}, nil
}

// AnswerIdleOnClose makes idle connections that are closed from now on send the closing answer. Its caller must already
// refuse requests as not run: the closing answer says so about a request that is still read from such a connection.
func (p *GracefulListener) AnswerIdleOnClose() { p.stopping.Store(true) }

// Wait waits until the connections that are sending the closing answer are closed.
func (p *GracefulListener) Wait() { p.wait.Wait() }

// TrackConnState is an http.Server's ConnState hook that records which connections have a request in progress.
func (p *GracefulListener) TrackConnState(c net.Conn, state http.ConnState) {
	if outer, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = outer.NetConn()
	}
	if c, ok := c.(*gracefulConn); ok {
		c.mu.Lock()
		c.active = state == http.StateActive
		c.mu.Unlock()
	}
}

// gracefulConn is a connection of a GracefulListener.
type gracefulConn struct {
	net.Conn
	listener *GracefulListener

	mu             sync.Mutex
	active, closed bool
}

// Close closes the connection. If it is idle and the entry is stopping, it sends the closing answer first, in the background.
func (c *gracefulConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	if c.active || !c.listener.stopping.Load() {
		return c.Conn.Close()
	}
	c.closed = true
	c.listener.wait.Go(c.sendClosingAnswer)
	return nil
}

// sendClosingAnswer sends the closing answer and then reads until the caller closes the connection: closing it with unread
// bytes would reset it, and the caller could lose the answer.
func (c *gracefulConn) sendClosingAnswer() {
	defer c.Conn.Close()
	deadline := time.Now().Add(closingTimeout)
	_ = c.SetDeadline(deadline)
	if _, err := c.Conn.Write(closingAnswer); err != nil {
		return
	}
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, c.Conn)
}

// Read returns io.EOF after Close, also for bytes that arrive while the closing answer is sent.
func (c *gracefulConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isClosed() {
		return 0, io.EOF
	}
	return n, err
}

// Write fails after Close, so that nothing is mixed with the closing answer.
func (c *gracefulConn) Write(b []byte) (int, error) {
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c *gracefulConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

var closingAnswer = newClosingAnswer()

func newClosingAnswer() []byte {
	body, err := json.Marshal(outcomeBody{Outcome: retry.OutcomeNotRun, Reason: "entry stopped: connection was idle"})
	if err != nil {
		panic(err)
	}
	body = append(body, '\n')
	var out bytes.Buffer
	resp := http.Response{
		StatusCode: http.StatusRequestTimeout, ProtoMajor: 1, ProtoMinor: 1, Close: true,
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
		Header: http.Header{
			"Content-Type": {"application/json"},
			HeaderOutcome:  {string(retry.OutcomeNotRun)},
			HeaderSum:      {strconv.FormatUint(link.Sum(body), 16)},
		},
	}
	if err := resp.Write(&out); err != nil {
		panic(err)
	}
	return out.Bytes()
}
