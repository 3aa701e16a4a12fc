package serve

import (
	"net"
	"sync"
	"sync/atomic"
)

// ReopenableListener is a TCP listener that can refuse connections for a time and open again at the same address. It closes
// connections above a limit at once.
type ReopenableListener struct {
	// Limit is the maximum number of open connections; 0 means no limit.
	Limit int64
	// RejectedConnections counts the connections closed because of Limit.
	RejectedConnections atomic.Int64

	open atomic.Int64
	addr net.Addr

	mu           sync.Mutex
	inner        net.Listener
	stateChanged chan struct{}
	closed       bool
	// release frees the port, which stays reserved while connections are refused; nil while the listener is open.
	release func()
}

// NewReopenableListener returns a ReopenableListener that wraps an open listener.
func NewReopenableListener(l net.Listener, limit int64) *ReopenableListener {
	return &ReopenableListener{Limit: limit, addr: l.Addr(), inner: l, stateChanged: make(chan struct{})}
}

// Open returns the number of open connections.
func (r *ReopenableListener) Open() int64 { return r.open.Load() }

// Addr returns the address, also while connections are refused.
func (r *ReopenableListener) Addr() net.Addr { return r.addr }

// SetRefusing closes the listener and reserves its port, so that the system refuses connections, or opens it again.
func (r *ReopenableListener) SetRefusing(refusing bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || refusing == (r.inner == nil) {
		return nil
	}
	if refusing {
		err := r.inner.Close()
		r.inner = nil
		if err != nil {
			return err
		}
		_, r.release, err = ReserveAddress(r.addr.String())
		return err
	}
	l, err := Open(r.addr.String())
	if err != nil {
		return err
	}
	r.freePort()
	r.inner = l
	close(r.stateChanged)
	r.stateChanged = make(chan struct{})
	return nil
}

// Close closes the listener permanently and frees its port.
func (r *ReopenableListener) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	r.closed = true
	r.freePort()
	close(r.stateChanged)
	if r.inner == nil {
		return nil
	}
	return r.inner.Close()
}

func (r *ReopenableListener) freePort() {
	if r.release != nil {
		r.release()
		r.release = nil
	}
}

// Accept returns the next connection within the limit. While connections are refused, it waits until the listener opens again.
func (r *ReopenableListener) Accept() (net.Conn, error) {
	for {
		r.mu.Lock()
		inner, stateChanged, closed := r.inner, r.stateChanged, r.closed
		r.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		if inner == nil {
			<-stateChanged
			continue
		}
		conn, err := inner.Accept()
		if err != nil {
			if r.isCurrent(inner) {
				return nil, err
			}
			continue
		}
		if n := r.open.Add(1); r.Limit > 0 && n > r.Limit {
			r.open.Add(-1)
			r.RejectedConnections.Add(1)
			_ = conn.Close()
			continue
		}
		return &countedConn{Conn: conn, listener: r}, nil
	}
}

func (r *ReopenableListener) isCurrent(l net.Listener) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inner == l && !r.closed
}

type countedConn struct {
	net.Conn
	listener *ReopenableListener
	once     sync.Once
}

// Close closes the connection, which then no longer counts against the limit.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
