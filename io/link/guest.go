package link

import (
	"net"
	"sync"
)

// Guests is the number of connections that a link listener holds open before their Hello.
// It covers the agents that turn to an entry at once when another entry fails.
const Guests = 512

// Listen bounds the connections of l that have not completed their Hello; more are closed
// at once. Links with the token do not count against the bound.
func Listen(l net.Listener, guests int) net.Listener {
	return &guestListener{Listener: l, free: make(chan struct{}, guests)}
}

type guestListener struct {
	net.Listener
	free chan struct{}
}

// Accept returns the next connection within the bound.
func (l *guestListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.free <- struct{}{}:
			return &guestConn{Conn: c, free: l.free}, nil
		default:
			_ = c.Close()
		}
	}
}

type guestConn struct {
	net.Conn
	free chan struct{}
	once sync.Once
}

// admit ends the count of the connection as a guest.
func (c *guestConn) admit() { c.once.Do(func() { <-c.free }) }

// Close closes the connection.
func (c *guestConn) Close() error {
	c.admit()
	return c.Conn.Close()
}
