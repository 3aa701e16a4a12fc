package intake

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"wagtailhoist/core/conns"
)

// ListenerCounters counts connections of a listener that were closed before they had sent a whole request.
type ListenerCounters struct {
	// Evicted counts connections closed in favour of newer ones, Unfinished those that ended before a complete request header.
	Evicted, Unfinished atomic.Uint64
}

// Listener is a listener with bounds on its connections. At a bound it closes one that waits for a request, as core/conns decides: it
// has sent no request header, or is idle between two requests. Which connections wait is told by an http.Server's ConnState hook:
//
//   - TrackRequests: a connection waits unless a request is in progress.
//   - TrackConnState: a connection waits unless a request is in progress that MarkAuthenticated was called for.
//   - TrackHeaders: a connection waits until it is authenticated by MarkAuthenticated or MarkConnAuthenticated.
//
// The fields are set before the first use.
type Listener struct {
	net.Listener
	// MaxConns bounds all connections, and MaxWaiting those that wait. 0 means no bound.
	MaxConns, MaxWaiting int
	// MaxHeaderBytes bounds the bytes that the waiting connections have sent together, and closes the one that has sent the most.
	// net/http takes up to 20 times as much for a header of very short lines. 0 means no bound.
	MaxHeaderBytes int64
	// MakeRoom makes a connection with a request in progress end early, and returns false if there is none. It is called, several
	// times in a row, at MaxConns if only few connections wait: those are new ones, which would close each other before they could send a request.
	// May be nil.
	MakeRoom func() bool
	// Report and Counters are told of closed connections; both may be nil.
	Report   *Reporter
	Counters *ListenerCounters

	mu        sync.Mutex
	changed   sync.Cond // of mu; told when a connection has ended or waits
	conns     conns.Set
	closed    bool
	closeOnce sync.Once
	closeErr  error
}

// Accept returns the next connection, which waits for its first request.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: inner, listener: l}
	c.state.Tag = c
	if !l.add(c) {
		_ = inner.Close()
		return nil, net.ErrClosed
	}
	return c, nil
}

// add counts a new connection once there is room for it. It returns false if the listener was closed.
func (l *Listener) add(c *trackedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changed.L = &l.mu
	l.conns.MaxOpen, l.conns.MaxWaiting = l.MaxConns, l.MaxWaiting
	l.conns.MaxHeaderBytes, l.conns.EndsRequests = l.MaxHeaderBytes, l.MakeRoom != nil
	var arrival conns.Arrival
	for !l.closed {
		switch step, victim := l.conns.Next(&arrival); step {
		case conns.Admit:
			l.closeEvicted(l.conns.Add(time.Now(), &c.state))
			l.changed.Broadcast()
			return true
		case conns.Evict:
			l.closeEvicted(victim)
		case conns.EndRequests:
			room := l.conns.Room()
			// The connections whose requests end need the lock.
			l.mu.Unlock()
			ended := l.makeRoom(room)
			l.mu.Lock()
			arrival.RequestsEnded(ended)
		case conns.AwaitChange:
			l.changed.Wait()
		}
	}
	return false
}

// makeRoom ends at most n requests in progress, and returns how many it has ended.
func (l *Listener) makeRoom(n int) int {
	ended := 0
	for ended < n && l.MakeRoom() {
		ended++
	}
	if l.Counters != nil {
		l.Counters.Evicted.Add(uint64(ended))
	}
	return ended
}

// closeEvicted closes connections that were evicted; nil ones are left out.
func (l *Listener) closeEvicted(evicted ...*conns.Conn) {
	for _, e := range evicted {
		if e == nil {
			continue
		}
		c := e.Tag.(*trackedConn)
		if l.Counters != nil {
			l.Counters.Evicted.Add(1)
		}
		reason := ReasonNoHeader
		if c.sentHeader {
			reason = ReasonIdle
		}
		l.Report.Closed(reason, c.RemoteAddr().String())
		l.changed.Broadcast()
		// Closing a TCP connection doesn't block.
		_ = c.Conn.Close()
	}
}

// Close closes the listener and ends an Accept that waits for room. Later calls return the first one's error, since a server closes
// its listener itself once Accept has failed.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() {
		l.mu.Lock()
		l.closed = true
		l.changed.Broadcast()
		l.mu.Unlock()
		l.closeErr = l.Listener.Close()
	})
	return l.closeErr
}

// trackedConn is a connection of a Listener, whose lock guards the fields.
type trackedConn struct {
	net.Conn
	listener   *Listener
	state      conns.Conn
	sentHeader bool
}

// Read reads from the connection and counts what is received while it waits.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.listener.MaxHeaderBytes > 0 {
		c.listener.countHeader(c, int64(n))
	}
	return n, err
}

// countHeader counts bytes of a waiting connection, and closes those that are evicted because of them.
func (l *Listener) countHeader(c *trackedConn, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeEvicted(l.conns.Receive(&c.state, n)...)
}

// NetConn returns the underlying connection.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the sending direction: net/http does so before it closes a connection with unread bytes, whose reset could reach
// the client before the answer.
func (c *trackedConn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// Close closes the connection and counts it as unfinished if the peer closed it before a complete request header.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	if c.state.IsOpen() {
		if !c.sentHeader && c.listener.Counters != nil {
			c.listener.Counters.Unfinished.Add(1)
		}
		c.listener.conns.End(&c.state)
		c.listener.changed.Broadcast()
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
