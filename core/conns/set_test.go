package conns

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// fill adds n connections to a set, one a second.
func fill(s *Set, n int) []*Conn {
	list := make([]*Conn, n)
	for i := range list {
		list[i] = &Conn{Tag: i}
		s.Add(start.Add(time.Duration(i)*time.Second), list[i])
	}
	return list
}

// step checks the next step for an arrival and, if it is Evict, which connection goes.
func step(t *testing.T, s *Set, a *Arrival, want Step, victim *Conn) {
	t.Helper()
	if got, evicted := s.Next(a); got != want || evicted != victim {
		t.Fatalf("got step %d and %v evicted, want %d and %v", got, evicted, want, victim)
	}
}

// TestUnusedConnectionsGiveWay is about the load of connections that are opened and never used, or stay idle after a request: at the
// bound, the one that has waited the longest goes, and no request in progress. Otherwise they keep out new callers.
func TestUnusedConnectionsGiveWay(t *testing.T) {
	s := &Set{MaxOpen: 3, EndsRequests: true}
	list := fill(s, 3)
	// The first one has a request, so that it has waited the shortest when it waits again.
	s.StopWaiting(list[0])
	s.StartWaiting(start.Add(10*time.Second), list[0])
	var a Arrival
	step(t, s, &a, Evict, list[1])
	step(t, s, &a, Admit, nil)
	s.StopWaiting(list[2])
	next := &Conn{}
	s.Add(start.Add(11*time.Second), next)
	step(t, s, &Arrival{}, Evict, list[0])
	s.Add(start.Add(12*time.Second), &Conn{})
	if list[1].IsOpen() || !list[2].IsOpen() {
		t.Error("got the connection with a request evicted, want the one that had waited the longest")
	}
}

// TestRequestsInProgressEndForNewConnections is about the load of requests that stop short of their end on nearly all connections.
// The few that wait are new: if they were closed, no caller could send a request. Requests are ended for several connections at a time.
func TestRequestsInProgressEndForNewConnections(t *testing.T) {
	for _, waiting := range []int{0, 4} {
		s := &Set{MaxOpen: 32, EndsRequests: true}
		list := fill(s, 32)
		for _, c := range list[waiting:] {
			s.StopWaiting(c)
		}
		if got := s.Room(); got != 2 {
			t.Errorf("got room for %d connections at a time, want 2", got)
		}
		var a Arrival
		step(t, s, &a, EndRequests, nil)
		a.RequestsEnded(2)
		step(t, s, &a, AwaitChange, nil)
		s.End(list[31])
		step(t, s, &a, Admit, nil)
	}
}

// TestNoRequestCanEnd is about complete requests that wait for a slow store on all connections: none can be ended. A waiting
// connection gives way, and if there is none, the new one stays in the backlog until a connection ends or waits.
func TestNoRequestCanEnd(t *testing.T) {
	for _, endsRequests := range []bool{true, false} {
		s := &Set{MaxOpen: 8, EndsRequests: endsRequests}
		list := fill(s, 8)
		for _, c := range list[1:] {
			s.StopWaiting(c)
		}
		var a Arrival
		if endsRequests {
			step(t, s, &a, EndRequests, nil)
			a.RequestsEnded(0)
		}
		step(t, s, &a, Evict, list[0])
		s.Add(start, list[0])
		s.StopWaiting(list[0])
		step(t, s, &a, AwaitChange, nil)
		s.StartWaiting(start, list[3])
		step(t, s, &a, Evict, list[3])
		step(t, s, &a, Admit, nil)
	}
}

// TestLongestHeadersGiveWay is about the load of headers of very short lines that are not complete: net/http takes up to 20 times
// their bytes. The longest ones go, and bytes of requests in progress don't count.
func TestLongestHeadersGiveWay(t *testing.T) {
	s := &Set{MaxHeaderBytes: 1000}
	list := fill(s, 4)
	s.StopWaiting(list[3])
	if got := s.Receive(list[3], 5000); got != nil {
		t.Errorf("got %v evicted for the body of a request, want none", got)
	}
	s.Receive(list[0], 100)
	s.Receive(list[1], 500)
	if got := s.Receive(list[2], 400); got != nil {
		t.Errorf("got %v evicted at the bound, want none", got)
	}
	if got := s.Receive(list[0], 450); len(got) != 1 || got[0] != list[0] {
		t.Errorf("got %v evicted beyond the bound, want the one with 550 bytes", got)
	}
	if got := s.Receive(list[2], 5000); len(got) != 1 || got[0] != list[2] {
		t.Errorf("got %v evicted beyond the bound, want the one with 5400 bytes", got)
	}
	// A request that began returns the bytes of its header.
	s.StopWaiting(list[1])
	if got := s.Receive(fill(s, 1)[0], 1000); got != nil {
		t.Errorf("got %v evicted beside a complete header, want none", got)
	}
}

// TestConnectionsBeforeAuthenticationAreBounded is about the load of links that are opened and never authenticated: the one that has
// waited the longest goes, and authenticated ones don't count. Times out of order don't change who has waited the longest.
func TestConnectionsBeforeAuthenticationAreBounded(t *testing.T) {
	s := &Set{MaxWaiting: 2}
	list := fill(s, 2)
	s.StopWaiting(list[0])
	early, late := &Conn{}, &Conn{}
	if got := s.Add(start, early); got != nil {
		t.Errorf("got %v evicted at the bound, want none", got)
	}
	if got := s.Add(start.Add(time.Hour), late); got != early {
		t.Errorf("got %v evicted, want the connection that has waited the longest", got)
	}
	if s.Open() != 3 || s.Waiting() != 2 {
		t.Errorf("got %d open and %d waiting connections, want 3 and 2", s.Open(), s.Waiting())
	}
}

// TestBoundsHold holds for any sequence of events: no bound is exceeded, only a waiting connection is evicted, and it is one that has
// waited at least as long, or sent at least as many bytes, as each other. A connection that is alone is admitted.
func TestBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Set{
			MaxOpen: rapid.IntRange(0, 20).Draw(t, "open"), MaxWaiting: rapid.IntRange(0, 5).Draw(t, "waiting"),
			MaxHeaderBytes: rapid.Int64Range(0, 50).Draw(t, "header"), EndsRequests: rapid.Bool().Draw(t, "ends requests"),
		}
		// since has the waiting connections, received their bytes, and open all that are open.
		since, received, open := map[*Conn]int{}, map[*Conn]int64{}, []*Conn{}
		now := 0
		remove := func(c *Conn) {
			delete(since, c)
			delete(received, c)
			open = slices.DeleteFunc(open, func(other *Conn) bool { return other == c })
		}
		evictLongest := func(c *Conn) {
			if c == nil {
				return
			}
			at, waits := since[c]
			if !waits || c.IsOpen() {
				t.Fatalf("got a connection evicted that doesn't wait or is still open")
			}
			for _, other := range since {
				if other < at {
					t.Fatalf("got a connection evicted that waits since %d, want one since %d", at, other)
				}
			}
			remove(c)
		}
		wait := func(c *Conn, begin func(time.Time, *Conn) *Conn) {
			now++
			since[c] = now
			evictLongest(begin(start.Add(time.Duration(now)), c))
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			var c *Conn
			if len(open) > 0 {
				c = rapid.SampledFrom(open).Draw(t, "connection")
			}
			switch event := rapid.IntRange(0, 5).Draw(t, "event"); {
			case event <= 1 || c == nil:
				var a Arrival
				for done := false; !done; {
					next, victim := s.Next(&a)
					evictLongest(victim)
					switch next {
					case Admit:
						arrived := &Conn{}
						open = append(open, arrived)
						wait(arrived, s.Add)
						done = true
					case EndRequests:
						a.RequestsEnded(rapid.IntRange(0, 1).Draw(t, "ended"))
					case AwaitChange:
						if len(open) == 0 {
							t.Fatal("a connection that is alone isn't admitted")
						}
						done = true
					}
				}
			case event == 2:
				s.StopWaiting(c)
				delete(since, c)
				delete(received, c)
			case event == 3:
				if _, waits := since[c]; !waits {
					wait(c, s.StartWaiting)
				}
			case event == 4:
				n := rapid.Int64Range(0, 30).Draw(t, "bytes")
				if _, waits := since[c]; waits && s.MaxHeaderBytes > 0 {
					received[c] += n
				}
				for _, victim := range s.Receive(c, n) {
					for _, other := range received {
						if other > received[victim] {
							t.Fatalf("got a connection with %d bytes evicted, want one with %d", received[victim], other)
						}
					}
					remove(victim)
				}
			default:
				s.End(c)
				s.End(c)
				remove(c)
			}
			var sum int64
			for _, n := range received {
				sum += n
			}
			if s.Open() != len(open) || s.Waiting() != len(since) || s.headerBytes != sum {
				t.Fatalf("got %d open, %d waiting, %d bytes; want %d, %d, %d", s.Open(), s.Waiting(), s.headerBytes, len(open), len(since), sum)
			}
			if s.MaxOpen > 0 && s.Open() > s.MaxOpen || s.MaxWaiting > 0 && s.Waiting() > s.MaxWaiting || s.MaxHeaderBytes > 0 && sum > s.MaxHeaderBytes {
				t.Fatalf("got %d open, %d waiting and %d bytes, want no more than %d, %d and %d", s.Open(), s.Waiting(), sum,
					s.MaxOpen, s.MaxWaiting, s.MaxHeaderBytes)
			}
		}
	})
}
