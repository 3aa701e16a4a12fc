package link

import (
	"net"

	"wagtailhoist/io/intake"
)

const (
	// MaxUnauthenticatedConns is the maximum number of unauthenticated connections of a link listener: those without a valid
	// Hello so far. It covers the agents that reconnect to one entry at once when another entry fails.
	MaxUnauthenticatedConns = 512
	// MaxHeaderBytes is the largest header of a request to a link listener in bytes; a handshake has about 300.
	MaxHeaderBytes = 8 << 10
)

// Listen bounds the unauthenticated connections of l. When a new one exceeds the bound, the oldest is
// closed: a legitimate peer authenticates within a round trip or two, so a sender that holds connections
// open cannot keep it out. On a link listener a connection is unauthenticated until its Hello; on other
// listeners it is authenticated only between intake.MarkAuthenticated and the end of the response.
func Listen(l net.Listener, maxUnauthenticated int, counters *intake.ListenerCounters) *intake.Listener {
	return &intake.Listener{Listener: l, MaxWaiting: maxUnauthenticated, Counters: counters}
}
