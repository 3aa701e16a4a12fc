package conns

import (
	"container/list"
	"time"
)

const (
	// waitingShare is the part of MaxOpen that is left to waiting connections before requests in progress are ended early.
	waitingShare = 8
	// roomShare is the part of MaxOpen for which requests are ended at a time. net/http keeps a connection with an unread body open
	// for half a second after the answer, so that one at a time would let in two connections a second.
	roomShare = 16
)

// Set holds the open connections of a listener. It is not safe for concurrent use. Without bounds, its zero value admits all.
type Set struct {
	// MaxOpen bounds the open connections, and MaxWaiting those of them that wait; 0 means no bound.
	MaxOpen, MaxWaiting int
	// MaxHeaderBytes bounds the bytes that the waiting connections have sent together; 0 means no bound.
	MaxHeaderBytes int64
	// EndsRequests is true if the listener can end requests in progress.
	EndsRequests bool

	open int
	// waiting holds the waiting connections, the one that has waited the longest first.
	waiting list.List // of *Conn
	// headerBytes is the sum of Conn.received.
	headerBytes int64
}

// Conn is a connection. A new one belongs to a Set from Add to its eviction or End.
type Conn struct {
	// Tag is not read by this package.
	Tag any

	open bool
	// element is the connection's position in Set.waiting, nil while it doesn't wait.
	element *list.Element
	// since is since when it waits, received the number of bytes received since then.
	since    time.Time
	received int64
}

// IsOpen reports whether the connection belongs to a set.
func (c *Conn) IsOpen() bool { return c.open }

// Open returns the number of open connections.
func (s *Set) Open() int { return s.open }

// Waiting returns the number of waiting connections.
func (s *Set) Waiting() int { return s.waiting.Len() }

// Step is what a listener does next for a new connection.
type Step int

// Steps for a new connection. After each but Admit, Next is called again.
const (
	// Admit means that there is room: the connection is added.
	Admit Step = iota
	// Evict means that the returned connection was removed from the set and is to be closed.
	Evict
	// EndRequests means that up to Room requests in progress are to be ended early, and Arrival.RequestsEnded to be called.
	EndRequests
	// AwaitChange means that a connection has to end or to begin waiting first.
	AwaitChange
)

// Arrival is a new connection that has found no room yet. Its zero value is one that just arrived.
type Arrival struct{ askedForRoom, roomExpected bool }

// RequestsEnded notes how many requests in progress were ended for the connection.
func (a *Arrival) RequestsEnded(n int) { a.askedForRoom, a.roomExpected = true, n > 0 }

// Room returns the number of requests that are ended at a time.
func (s *Set) Room() int { return max(1, s.MaxOpen/roomShare) }

// Next returns the next step for a new connection and, for Evict, the connection that gives way to it.
func (s *Set) Next(a *Arrival) (Step, *Conn) {
	askForRoom := s.EndsRequests && !a.askedForRoom
	switch {
	case s.MaxOpen <= 0 || s.open < s.MaxOpen:
		return Admit, nil
	case s.waiting.Len() > s.MaxOpen/waitingShare, s.waiting.Len() > 0 && !askForRoom && !a.roomExpected:
		return Evict, s.evict(s.longestWaiting())
	case askForRoom:
		return EndRequests, nil
	}
	return AwaitChange, nil
}

// Add adds a connection, which waits for its first request. It returns the connection that is evicted for it, or nil.
func (s *Set) Add(now time.Time, c *Conn) *Conn {
	c.open = true
	s.open++
	return s.StartWaiting(now, c)
}

// StartWaiting notes that a connection waits for a request. It returns the connection that is evicted for it, or nil.
func (s *Set) StartWaiting(now time.Time, c *Conn) *Conn {
	if c.element != nil || !c.open {
		return nil
	}
	c.since = now
	// Times may arrive out of order by the time that the caller took to get here, so the place is near the end.
	after := s.waiting.Back()
	for after != nil && after.Value.(*Conn).since.After(now) {
		after = after.Prev()
	}
	if after == nil {
		c.element = s.waiting.PushFront(c)
	} else {
		c.element = s.waiting.InsertAfter(c, after)
	}
	if s.MaxWaiting > 0 && s.waiting.Len() > s.MaxWaiting {
		return s.evict(s.longestWaiting())
	}
	return nil
}

// StopWaiting notes that a request is in progress on a connection, so that it isn't evicted.
func (s *Set) StopWaiting(c *Conn) {
	if c.element != nil {
		s.waiting.Remove(c.element)
		c.element = nil
		s.headerBytes -= c.received
		c.received = 0
	}
}

// Receive notes that a connection has received n bytes, which count if it waits. Beyond the bound on these bytes it evicts the
// connections that have sent the most, and returns them.
func (s *Set) Receive(c *Conn, n int64) []*Conn {
	if c.element == nil || s.MaxHeaderBytes <= 0 {
		return nil
	}
	c.received += n
	s.headerBytes += n
	var evicted []*Conn
	for s.headerBytes > s.MaxHeaderBytes {
		most := c
		for e := s.waiting.Front(); e != nil; e = e.Next() {
			if other := e.Value.(*Conn); other.received > most.received {
				most = other
			}
		}
		evicted = append(evicted, s.evict(most))
	}
	return evicted
}

// End removes a connection that has ended. It does nothing for one that was removed before.
func (s *Set) End(c *Conn) {
	s.StopWaiting(c)
	if c.open {
		c.open = false
		s.open--
	}
}

func (s *Set) longestWaiting() *Conn { return s.waiting.Front().Value.(*Conn) }

func (s *Set) evict(c *Conn) *Conn {
	s.End(c)
	return c
}
