package link

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

const (
	// MaxUnauthenticatedConns is the maximum number of unauthenticated connections of a link listener: those without a valid
	// Hello so far. It covers the agents that reconnect to one entry at once when another entry fails.
	MaxUnauthenticatedConns = 512
	// MaxHeaderBytes is the largest header of a request to a link listener in bytes; a handshake has about 300.
	MaxHeaderBytes = 8 << 10
)

// UnauthenticatedCounters counts connections of a listener that were closed while they were unauthenticated.
type UnauthenticatedCounters struct {
	// Evicted counts connections closed in favour of newer ones, Unfinished those that ended before a complete
	// request header.
	Evicted, Unfinished atomic.Uint64
}

// Listen bounds the unauthenticated connections of l. When a new one exceeds the bound, the oldest is
// closed: a legitimate peer authenticates within a round trip or two, so a sender that holds connections
// open cannot keep it out. On a link listener a connection is unauthenticated until its Hello; on other
// listeners it is authenticated only between MarkAuthenticated and the end of the response.
func Listen(l net.Listener, maxUnauthenticated int, counters *UnauthenticatedCounters) *BoundedListener {
	return &BoundedListener{Listener: l, limit: maxUnauthenticated, count: counters}
}

// BoundedListener is a listener with a bounded number of unauthenticated connections.
type BoundedListener struct {
	net.Listener
	limit int
	count *UnauthenticatedCounters

	mu              sync.Mutex
	unauthenticated list.List // of *trackedConn, oldest first
}

// Accept returns the next connection, which counts as unauthenticated.
func (l *BoundedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: c, listener: l}
	l.addUnauthenticated(tracked)
	return tracked, nil
}

// addUnauthenticated counts a connection as unauthenticated and closes the oldest one if the bound is
// exceeded.
func (l *BoundedListener) addUnauthenticated(c *trackedConn) {
	l.mu.Lock()
	if c.element == nil && !c.closed {
		c.element = l.unauthenticated.PushBack(c)
	}
	var oldest *trackedConn
	if l.unauthenticated.Len() > l.limit {
		oldest = l.unauthenticated.Front().Value.(*trackedConn)
		oldest.removeLocked()
		oldest.evicted = true
	}
	l.mu.Unlock()
	if oldest != nil {
		l.count.Evicted.Add(1)
		_ = oldest.Conn.Close()
	}
}

// TrackHeaders is an http.Server's ConnState hook that marks connections whose request header is complete.
func TrackHeaders(c net.Conn, state http.ConnState) {
	if g, ok := c.(*trackedConn); ok && state == http.StateActive {
		g.listener.mu.Lock()
		g.sentHeader = true
		g.listener.mu.Unlock()
	}
}

// TrackConnState is an http.Server's ConnState hook that counts idle connections as unauthenticated until their
// next request is admitted.
func TrackConnState(c net.Conn, state http.ConnState) {
	TrackHeaders(c, state)
	if g, ok := c.(*trackedConn); ok && state == http.StateIdle {
		g.listener.addUnauthenticated(g)
	}
}

// connKey is the context key under which WithConn stores the connection of a request.
type connKey struct{}

// WithConn is an http.Server's ConnContext hook that lets MarkAuthenticated find the connection of a request.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// MarkAuthenticated marks the connection of a request as authenticated until the request is answered.
func MarkAuthenticated(ctx context.Context) {
	if g, ok := ctx.Value(connKey{}).(*trackedConn); ok {
		g.markAuthenticated()
	}
}

// trackedConn is a connection of a BoundedListener, whose lock guards the fields.
type trackedConn struct {
	net.Conn
	listener *BoundedListener
	// element is the connection's position in listener.unauthenticated, nil while it is authenticated.
	element                     *list.Element
	sentHeader, evicted, closed bool
}

// NetConn returns the underlying connection.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// removeLocked removes the connection from the unauthenticated ones. The caller holds the listener's lock.
func (c *trackedConn) removeLocked() {
	if c.element != nil {
		c.listener.unauthenticated.Remove(c.element)
		c.element = nil
	}
}

// markAuthenticated removes the connection from the unauthenticated ones, so that it is not evicted.
func (c *trackedConn) markAuthenticated() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.removeLocked()
}

// Close closes the connection and counts it as unfinished if the peer closed it before a complete request
// header.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	c.removeLocked()
	if !c.closed && !c.sentHeader && !c.evicted {
		c.listener.count.Unfinished.Add(1)
	}
	c.closed = true
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
