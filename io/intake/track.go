package intake

import (
	"context"
	"net"
	"net/http"
	"time"
)

// TrackHeaders is an http.Server's ConnState hook that marks connections whose request header is complete.
func TrackHeaders(c net.Conn, state http.ConnState) {
	if t, ok := c.(*trackedConn); ok && state == http.StateActive {
		t.listener.mu.Lock()
		t.sentHeader = true
		t.listener.mu.Unlock()
	}
}

// TrackConnState is an http.Server's ConnState hook for listeners whose connections wait until their request is authenticated.
func TrackConnState(c net.Conn, state http.ConnState) {
	TrackHeaders(c, state)
	if t, ok := c.(*trackedConn); ok && state == http.StateIdle {
		l := t.listener
		l.mu.Lock()
		l.closeEvicted(l.conns.StartWaiting(time.Now(), &t.state))
		l.changed.Broadcast()
		l.mu.Unlock()
	}
}

// TrackRequests is an http.Server's ConnState hook for listeners whose connections wait until their request header is complete.
func TrackRequests(c net.Conn, state http.ConnState) {
	TrackConnState(c, state)
	if state == http.StateActive {
		MarkConnAuthenticated(c)
	}
}

// connKey is the context key under which WithConn stores the connection of a request.
type connKey struct{}

// WithConn is an http.Server's ConnContext hook that lets MarkAuthenticated find the connection of a request.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// MarkAuthenticated notes that the connection of a request doesn't wait until the request is answered.
func MarkAuthenticated(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(net.Conn); ok {
		MarkConnAuthenticated(c)
	}
}

// MarkConnAuthenticated notes that a connection doesn't wait, so that it is not closed in favour of others.
func MarkConnAuthenticated(c net.Conn) {
	if t, ok := c.(*trackedConn); ok {
		t.listener.mu.Lock()
		defer t.listener.mu.Unlock()
		t.listener.conns.StopWaiting(&t.state)
	}
}
