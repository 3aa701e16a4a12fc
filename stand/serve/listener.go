package serve

import (
	"net"
	"sync"
	"sync/atomic"
)

// Gate is a TCP listener that can be closed and opened again at the same address, and that closes connections
// above a limit at once.
type Gate struct {
	// Limit is the number of connections open at a time; 0 means no limit.
	Limit int64
	// Over counts the connections closed because of Limit.
	Over atomic.Int64

	open atomic.Int64
	addr net.Addr

	mu     sync.Mutex
	inner  net.Listener
	change chan struct{}
	ended  bool
	// release gives up the port, which is held while the gate is shut; nil while it is open.
	release func()
}

// NewGate returns a gate around an open listener.
func NewGate(l net.Listener, limit int64) *Gate {
	return &Gate{Limit: limit, addr: l.Addr(), inner: l, change: make(chan struct{})}
}

// Open returns the number of open connections.
func (g *Gate) Open() int64 { return g.open.Load() }

// Addr returns the address, also while the gate is shut.
func (g *Gate) Addr() net.Addr { return g.addr }

// Shut closes the listener, so that dialling is refused, or opens it again.
func (g *Gate) Shut(shut bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended || shut == (g.inner == nil) {
		return nil
	}
	if shut {
		err := g.inner.Close()
		g.inner = nil
		if err != nil {
			return err
		}
		_, g.release, err = Hold(g.addr.String())
		return err
	}
	l, err := Open(g.addr.String())
	if err != nil {
		return err
	}
	g.freePort()
	g.inner = l
	close(g.change)
	g.change = make(chan struct{})
	return nil
}

// Close closes the gate for good.
func (g *Gate) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return nil
	}
	g.ended = true
	g.freePort()
	close(g.change)
	if g.inner == nil {
		return nil
	}
	return g.inner.Close()
}

func (g *Gate) freePort() {
	if g.release != nil {
		g.release()
		g.release = nil
	}
}

// Accept returns the next connection within the limit; while the gate is shut it waits.
func (g *Gate) Accept() (net.Conn, error) {
	for {
		g.mu.Lock()
		inner, change, ended := g.inner, g.change, g.ended
		g.mu.Unlock()
		if ended {
			return nil, net.ErrClosed
		}
		if inner == nil {
			<-change
			continue
		}
		conn, err := inner.Accept()
		if err != nil {
			if g.still(inner) {
				return nil, err
			}
			continue
		}
		if n := g.open.Add(1); g.Limit > 0 && n > g.Limit {
			g.open.Add(-1)
			g.Over.Add(1)
			_ = conn.Close()
			continue
		}
		return &counted{Conn: conn, gate: g}, nil
	}
}

func (g *Gate) still(l net.Listener) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inner == l && !g.ended
}

type counted struct {
	net.Conn
	gate *Gate
	once sync.Once
}

// Close frees the connection's place.
func (c *counted) Close() error {
	c.once.Do(func() { c.gate.open.Add(-1) })
	return c.Conn.Close()
}
