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

// partingLimit bounds the time for which a parted connection is kept for a caller that does not close it.
const partingLimit = time.Second

// Parting is a listener whose connections a stopping entry closes with an answer. A caller may send on an idle
// connection in the moment in which the entry closes it, and would not learn whether the request ran. The answer
// 408 with the outcome not-run crosses such a request; a caller that sent nothing takes it as the end of the connection.
type Parting struct {
	net.Listener

	stopping atomic.Bool
	wait     sync.WaitGroup
}

// Accept returns the next connection.
func (p *Parting) Accept() (net.Conn, error) {
	c, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &partingConn{Conn: c, home: p}, nil
}

// Stop parts the connections that are closed while idle from now on. Requests must be refused as not run by now:
// one that is still read from such a connection has been answered so.
func (p *Parting) Stop() { p.stopping.Store(true) }

// Wait returns when the connections that were closed so far have been parted.
func (p *Parting) Wait() { p.wait.Wait() }

// Serving is an http.Server's ConnState hook that notes which connections have a request in progress.
func (p *Parting) Serving(c net.Conn, state http.ConnState) {
	if outer, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = outer.NetConn()
	}
	if c, ok := c.(*partingConn); ok {
		c.mu.Lock()
		c.active = state == http.StateActive
		c.mu.Unlock()
	}
}

type partingConn struct {
	net.Conn
	home *Parting

	mu             sync.Mutex
	active, parted bool
}

// Close closes the connection, after the parting answer if it is idle and the entry stops.
func (c *partingConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.parted {
		return nil
	}
	if c.active || !c.home.stopping.Load() {
		return c.Conn.Close()
	}
	c.parted = true
	c.home.wait.Go(c.part)
	return nil
}

// part sends the answer and reads on until the caller closes: closing a connection with unread bytes resets it,
// which would take the answer from the caller.
func (c *partingConn) part() {
	defer c.Conn.Close()
	end := time.Now().Add(partingLimit)
	_ = c.SetDeadline(end)
	if _, err := c.Conn.Write(partingAnswer); err != nil {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, c.Conn)
}

// Read reads nothing more from a parted connection.
func (c *partingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isParted() {
		return 0, io.EOF
	}
	return n, err
}

// Write fails on a parted connection, which has its answer.
func (c *partingConn) Write(b []byte) (int, error) {
	if c.isParted() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c *partingConn) isParted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parted
}

var partingAnswer = newPartingAnswer()

func newPartingAnswer() []byte {
	body, err := json.Marshal(outcome{Outcome: retry.OutcomeNotRun, Reason: "entry stopped: connection was idle"})
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
