package config

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"wagtailhoist/core/model"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func copyOf(r model.Revision) Snapshot {
	return Snapshot{Revision: r, Change: fmt.Sprint("c", r), Document: fmt.Sprint("d", r)}
}

// peerMessage returns the message of a ready peer with revision r in force, confirmed by the store an hour ago.
func peerMessage(r model.Revision) Message {
	return Message{Highest: r, InUse: r, StoreRevision: r, Age: time.Hour, Ready: true, Confirmed: true}
}

// messageWithCopy returns the peerMessage of r with its document.
func messageWithCopy(r model.Revision) Message {
	m, c := peerMessage(r), copyOf(r)
	m.Snapshot = &c
	return m
}

// A process that can't read a revision must report this instead of claiming to be up to date, continue to use the last
// readable revision, and send the document to peers unchanged.
func TestUnreadableRevision(t *testing.T) {
	for _, tc := range []struct {
		name      string
		revisions []model.Revision // received in this order; even ones can't be read
		used      model.Revision
		ready     bool
		fault     bool
	}{
		{"read", []model.Revision{5}, 5, true, false},
		{"newer one unread", []model.Revision{5, 6}, 5, true, true},
		{"two unread", []model.Revision{5, 6, 8}, 5, true, true},
		{"read again", []model.Revision{5, 6, 7}, 7, true, false},
		{"none could be read", []model.Revision{6}, 0, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := New(at(0), 7)
			s.CheckReadable = func(c Snapshot) error {
				if c.Revision%2 == 0 {
					return fmt.Errorf("unread %d", c.Revision)
				}
				return nil
			}
			s.LinkUp(at(0), "a")
			var last Message
			for i, r := range tc.revisions {
				for _, e := range s.Store(at(time.Duration(i)), at(time.Duration(i)), copyOf(r)) {
					if send, ok := e.(Send); ok {
						last = send.Message
					}
				}
			}
			latest := tc.revisions[len(tc.revisions)-1]
			if c, ready := s.InUse(); c.Revision != tc.used || ready != tc.ready || !s.RevisionKnown() {
				t.Errorf("revision in use: got %d, %v; want %d, %v", c.Revision, ready, tc.used, tc.ready)
			}
			if last.InUse != tc.used || last.Highest != latest || last.Fault != "" != tc.fault || last.Confirmed == tc.fault {
				t.Errorf("message to peers: got %+v, want highest revision %d, in use %d, fault %v", last, latest, tc.used, tc.fault)
			}
			if got := s.Answer(at(9), Message{WantDocument: true}).Snapshot; got == nil || !reflect.DeepEqual(*got, copyOf(latest)) {
				t.Errorf("copy sent to peers: got %v, want %v", got, copyOf(latest))
			}
		})
	}
}

// A revision may be put in force only if the store or enough peers confirm it.
func TestActivation(t *testing.T) {
	const incarnation = 7
	for _, tc := range []struct {
		name      string
		steps     func(s *State)
		force     model.Revision
		ready     bool
		confirmed bool
	}{
		{"the store without a configuration gives revision 0", func(s *State) {
			s.Store(at(0), at(1), Snapshot{})
		}, 0, true, true},
		{"the store confirms at once", func(s *State) {
			s.Store(at(0), at(1), copyOf(5))
		}, 5, true, true},
		{"nothing is known", func(s *State) {
			s.Tick(at(time.Hour))
		}, 0, false, false},
		{"one peer is not trusted before the others were tried", func(s *State) {
			s.LinkUp(at(0), "a")
			s.ExpectPeer("b")
			s.Receive(at(1), "a", messageWithCopy(5))
			s.Tick(at(PeerDiscoveryTime + 1))
		}, 0, false, false},
		{"the store is down and the other peer can't be reached", func(s *State) {
			s.LinkUp(at(0), "a")
			s.ExpectPeer("b")
			s.Receive(at(1), "a", messageWithCopy(5))
			s.LinkDown(at(PeerDiscoveryTime), "b")
			s.Tick(at(PeerDiscoveryTime + 1))
		}, 5, true, false},
		{"a failed dial that is long past proves nothing", func(s *State) {
			s.LinkUp(at(0), "a")
			s.LinkDown(at(0), "b")
			s.Receive(at(1), "a", messageWithCopy(5))
			s.Tick(at(DialFailureValidity + PeerDiscoveryTime))
		}, 0, false, false},
		{"too early to know all peers", func(s *State) {
			s.Receive(at(1), "a", messageWithCopy(5))
			s.Tick(at(PeerDiscoveryTime - 1))
		}, 0, false, false},
		{"a peer without its answer yet", func(s *State) {
			s.LinkUp(at(0), "a")
			s.LinkUp(at(0), "b")
			s.Receive(at(1), "a", messageWithCopy(5))
			s.Tick(at(PeerDiscoveryTime + 1))
		}, 0, false, false},
		{"the higher of two peers, whose document has not arrived", func(s *State) {
			s.Receive(at(1), "a", messageWithCopy(5))
			s.Receive(at(1), "b", peerMessage(6))
			s.Tick(at(PeerDiscoveryTime + 1))
		}, 0, false, false},
		{"only new peers, after the whole system restarted", func(s *State) {
			s.Receive(at(1), "a", Message{Age: -1})
			s.Tick(at(PeerDiscoveryTime + 1))
		}, 0, false, false},
		{"a peer's contact from before the start does not count", func(s *State) {
			m := messageWithCopy(5)
			m.Echo, m.Age = Stamp{Incarnation: incarnation, At: time.Second}, 2*time.Second
			s.Receive(at(2*time.Second), "a", m)
		}, 0, false, false},
		{"a peer's contact from after the start confirms", func(s *State) {
			m := messageWithCopy(5)
			m.Echo, m.Age = Stamp{Incarnation: incarnation, At: time.Second}, time.Second/2
			s.Receive(at(2*time.Second), "a", m)
		}, 5, true, true},
		{"an echo of an earlier life does not count", func(s *State) {
			m := messageWithCopy(5)
			m.Echo, m.Age = Stamp{Incarnation: incarnation - 1, At: time.Second}, 0
			s.Receive(at(2*time.Second), "a", m)
		}, 0, false, false},
		{"a lower revision is refused", func(s *State) {
			s.Store(at(0), at(1), copyOf(5))
			s.Receive(at(2), "a", messageWithCopy(4))
			s.Store(at(3), at(4), copyOf(3))
		}, 5, true, true},
		{"a higher revision that the store confirmed to a peer", func(s *State) {
			s.Store(at(0), at(1), copyOf(5))
			s.Receive(at(2), "a", messageWithCopy(6))
		}, 6, true, true},
		{"a higher revision of one peer that nothing confirms", func(s *State) {
			s.Store(at(0), at(1), copyOf(5))
			m := messageWithCopy(6)
			m.StoreRevision = 5
			s.Receive(at(2), "a", m)
		}, 5, true, true},
		{"a higher revision that two peers hold", func(s *State) {
			s.Store(at(0), at(1), copyOf(5))
			m := messageWithCopy(6)
			m.StoreRevision = 5
			s.Receive(at(2), "a", m)
			s.Receive(at(2), "b", m)
		}, 6, true, false},
		{"a peer that holds it and is gone does not count", func(s *State) {
			s.Store(at(0), at(1), copyOf(5))
			m := messageWithCopy(6)
			m.StoreRevision, m.Snapshot = 5, nil
			s.Receive(at(2), "b", m)
			s.LinkDown(at(3), "b")
			m = messageWithCopy(6)
			m.StoreRevision = 5
			s.Receive(at(4), "a", m)
		}, 5, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := New(start, incarnation)
			tc.steps(s)
			force, ready := s.InUse()
			if force.Revision != tc.force || ready != tc.ready || s.Confirmed() != tc.confirmed {
				t.Errorf("got revision %d, ready %v, confirmed %v; want %d, %v, %v",
					force.Revision, ready, s.Confirmed(), tc.force, tc.ready, tc.confirmed)
			}
		})
	}
}

// A document is requested from one peer at a time, although all peers announce its revision.
func TestDocumentIsAskedOfOnePeerAtATime(t *testing.T) {
	s := New(start, 1)
	countRequests := func(effects []Effect) int {
		n := 0
		for _, e := range effects {
			if send, ok := e.(Send); ok && send.Message.WantDocument {
				n++
			}
		}
		return n
	}
	if got, want := countRequests(s.Receive(at(1), "a", peerMessage(5))), 1; got != want {
		t.Errorf("first peer: got %d requests, want %d", got, want)
	}
	if got, want := countRequests(s.Receive(at(2), "b", peerMessage(5))), 0; got != want {
		t.Errorf("second peer: got %d requests, want %d", got, want)
	}
	if got, want := countRequests(s.Receive(at(2*time.Second), "b", peerMessage(5))), 1; got != want {
		t.Errorf("after the first peer did not answer: got %d requests, want %d", got, want)
	}
}

// A change must not overwrite a revision that its author has not seen.
func TestWriteBuildsOnItsBaseOnly(t *testing.T) {
	first, err := Write{Base: 0, Change: "c1", Author: "ann", Document: "d1"}.Next(Record{})
	if err != nil {
		t.Fatal(err)
	}
	second, err := Write{Base: 1, Change: "c2", Author: "bob", Document: "d2"}.Next(first)
	if err != nil {
		t.Fatal(err)
	}
	_, err = Write{Base: 1, Change: "c3", Author: "ann"}.Next(second)
	want := "conflict: the change was made for revision 1, but the latest is revision 2 by bob (change c2)"
	if err == nil || err.Error() != want {
		t.Errorf("conflict: got %v, want %s", err, want)
	}
	for change, want := range map[string]model.Revision{"c1": 1, "c2": 2, "c3": 0} {
		if got, _ := second.Find(change); got != want {
			t.Errorf("revision of change %s: got %d, want %d", change, got, want)
		}
	}
	for i := range 3 * maxPastChanges {
		if second, err = (Write{Base: second.Revision, Change: fmt.Sprint("x", i)}).Next(second); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := len(second.Past), maxPastChanges; got != want {
		t.Errorf("past changes: got %d, want %d", got, want)
	}
}

// A process that has heard of a higher revision in the store, but doesn't have its document yet, must not count as up to date.
func TestCurrentAtNeedsTheLatestRevision(t *testing.T) {
	s := New(start, 1)
	if s.CurrentAt(start) {
		t.Error("before the store answered: current")
	}
	s.Store(start.Add(time.Second), start.Add(time.Second), Snapshot{Revision: 1})
	if !s.CurrentAt(start.Add(time.Second)) || s.CurrentAt(start.Add(time.Second+1)) {
		t.Error("after an answer: want current at the time of the call and not later")
	}
	now := start.Add(2 * time.Second)
	s.LinkUp(now, "p")
	s.Receive(now, "p", Message{Highest: 2, InUse: 2, StoreRevision: 2, Ready: true, Echo: Stamp{1, 2 * time.Second}})
	if s.CurrentAt(now) {
		t.Error("without the document of the store's revision: current")
	}
	s.Receive(now, "p", Message{Highest: 2, InUse: 2, StoreRevision: 2, Ready: true, Echo: Stamp{1, 2 * time.Second}, Snapshot: &Snapshot{Revision: 2}})
	if !s.CurrentAt(now) {
		t.Error("with the document of the store's revision: not current")
	}
}
