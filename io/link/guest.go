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
	// Guests is the number of connections that a link listener holds open before their Hello.
	// It covers the agents that turn to an entry at once when another entry fails.
	Guests = 512
	// MaxHeader is the largest header of a request to a link listener in bytes; a handshake has about 300.
	MaxHeader = 8 << 10
)

// GuestCounters counts connections of a listener that were closed as guests.
type GuestCounters struct {
	// Evicted counts guests closed for newer ones, Unfinished those that ended without a whole request header.
	Evicted, Unfinished atomic.Uint64
}

// Listen bounds the guests of l, the connections that have not proved themselves. When there
// are more, the oldest is closed: an honest peer needs a round trip or two, so a sender that
// holds connections open can't keep it out. On a link listener, connections are guests until
// their Hello; on other listeners they are guests except between Admit and the answer.
func Listen(l net.Listener, guests int, c *GuestCounters) *GuestListener {
	return &GuestListener{Listener: l, limit: guests, count: c}
}

// GuestListener is a listener with a bounded number of guests.
type GuestListener struct {
	net.Listener
	limit int
	count *GuestCounters

	mu     sync.Mutex
	guests list.List // of *guestConn, oldest first
}

// Accept returns the next connection as a guest.
func (l *GuestListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g := &guestConn{Conn: c, home: l}
	l.enter(g)
	return g, nil
}

// enter makes a connection a guest and closes the oldest one past the bound.
func (l *GuestListener) enter(c *guestConn) {
	l.mu.Lock()
	if c.place == nil && !c.closed {
		c.place = l.guests.PushBack(c)
	}
	var oldest *guestConn
	if l.guests.Len() > l.limit {
		oldest = l.guests.Front().Value.(*guestConn)
		oldest.leave()
		oldest.evicted = true
	}
	l.mu.Unlock()
	if oldest != nil {
		l.count.Evicted.Add(1)
		_ = oldest.Conn.Close()
	}
}

// Spoke is an http.Server's ConnState hook that notes connections with a whole request header.
func Spoke(c net.Conn, state http.ConnState) {
	if g, ok := c.(*guestConn); ok && state == http.StateActive {
		g.home.mu.Lock()
		g.spoke = true
		g.home.mu.Unlock()
	}
}

// Serving is an http.Server's ConnState hook that makes connections guests again between requests.
func Serving(c net.Conn, state http.ConnState) {
	Spoke(c, state)
	if g, ok := c.(*guestConn); ok && state == http.StateIdle {
		g.home.enter(g)
	}
}

type connKey struct{}

// WithConn is an http.Server's ConnContext hook that lets Admit find the connection of a request.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Admit ends the count of the connection of a request as a guest until the request is answered.
func Admit(ctx context.Context) {
	if g, ok := ctx.Value(connKey{}).(*guestConn); ok {
		g.admit()
	}
}

// guestConn is a connection of a GuestListener, whose lock guards the fields.
type guestConn struct {
	net.Conn
	home *GuestListener
	// place is nil unless the connection is a guest.
	place                  *list.Element
	spoke, evicted, closed bool
}

// NetConn returns the connection beneath.
func (c *guestConn) NetConn() net.Conn { return c.Conn }

// leave ends the count of the connection as a guest; the lock is held.
func (c *guestConn) leave() {
	if c.place != nil {
		c.home.guests.Remove(c.place)
		c.place = nil
	}
}

// admit ends the count of the connection as a guest.
func (c *guestConn) admit() {
	c.home.mu.Lock()
	defer c.home.mu.Unlock()
	c.leave()
}

// Close closes the connection.
func (c *guestConn) Close() error {
	c.home.mu.Lock()
	c.leave()
	if !c.closed && !c.spoke && !c.evicted {
		c.home.count.Unfinished.Add(1)
	}
	c.closed = true
	c.home.mu.Unlock()
	return c.Conn.Close()
}
