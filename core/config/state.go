package config

import (
	"time"

	"wagtailhoist/core/model"
)

const (
	// PeerDiscoveryTime is how long a new process that can't reach the store discovers peers before it trusts them. Seeds send
	// the addresses of other processes once a second, so three rounds are enough.
	PeerDiscoveryTime = 3 * time.Second
	// DialFailureValidity is how long a peer counts as unreachable after a failed dial.
	DialFailureValidity = 3 * time.Second
	// documentRetryDelay is how long a process waits for a requested document before it requests it from another peer.
	documentRetryDelay = time.Second
	// maxContactAge is the age above which the contact with the store is renewed for a new peer, and the time between two renewals.
	maxContactAge = time.Second
	// quorum is the number of peers that must hold a revision for it to be put in force without the store's confirmation.
	quorum = 2
)

// State is the configuration state of one incarnation of a process. It is not safe for concurrent use.
type State struct {
	// CheckReadable returns an error for a copy whose document this version of the program can't read because a newer version
	// wrote it. If nil, all documents can be read.
	CheckReadable func(Snapshot) error

	incarnation model.Incarnation
	started     time.Time

	// highest is the highest revision received.
	highest Snapshot
	// inForce is the revision that should be in use, if ready is set; it may be the empty revision 0. While it can't be
	// read, lastReadable is used instead.
	inForce Snapshot
	ready   bool
	// lastReadable is the last revision in force that could be read, if hasReadable is set.
	lastReadable Snapshot
	hasReadable  bool
	// fault says why the revision in force can't be read; empty if it is lastReadable.
	fault string
	// storeRevision is the highest revision known to be in the store.
	storeRevision model.Revision
	// storeContact is the latest time at which the store is known to have had no revision above storeRevision. It is
	// zero until the store, or a peer that reached the store since this process started, has answered.
	storeContact time.Time

	peers map[model.NodeID]*peer
	// documentAsked is when a document was last requested of a peer; zero once a higher revision has arrived.
	documentAsked time.Time
	// storeReadAsked is when a read of the store was last requested for a new peer.
	storeReadAsked time.Time
	watchedRegion  model.Region
}

// peer is the state of a process that this one is linked to or tries to reach.
type peer struct {
	linked, answered bool           // answered: a message has arrived over the link
	dialFailed       time.Time      // when a dial last failed or the link broke
	highest          model.Revision // highest revision that the peer has
	ready            bool
	lastSent         Stamp // latest Sent of the peer, to be echoed
	lastMessage      Message
}

// New returns the state of a process that starts at now.
func New(now time.Time, incarnation model.Incarnation) *State {
	return &State{incarnation: incarnation, started: now, peers: map[model.NodeID]*peer{}}
}

// ExpectPeer adds a peer that the process must receive a message from, or fail to reach, before it puts a revision of its peers
// in force without the store.
func (s *State) ExpectPeer(id model.NodeID) {
	if s.peers[id] == nil {
		s.peers[id] = &peer{}
	}
}

// RemovePeer removes a peer that has left the system.
func (s *State) RemovePeer(id model.NodeID) { delete(s.peers, id) }

// LinkUp records a new link to a peer.
func (s *State) LinkUp(now time.Time, id model.NodeID) []Effect {
	s.peers[id] = &peer{linked: true}
	return []Effect{s.sendTo(now, id, nil)}
}

// LinkDown records that the link to a peer broke or could not be established. Once a revision is in force, it forgets the peer.
func (s *State) LinkDown(now time.Time, id model.NodeID) []Effect {
	if s.ready {
		delete(s.peers, id)
		return nil
	}
	s.ExpectPeer(id)
	s.peers[id].linked, s.peers[id].dialFailed = false, now
	return s.activateIfAllowed(now, nil)
}

// ActivateEmpty puts the empty revision in force, for a process that has no store to read a revision from.
func (s *State) ActivateEmpty() { s.ready, s.hasReadable = true, true }

// SetWatch sets the region for which the process watches the store, empty for none.
func (s *State) SetWatch(region model.Region) { s.watchedRegion = region }

// WatchedRegion returns the region for which the process watches the store, empty for none.
func (s *State) WatchedRegion() model.Region { return s.watchedRegion }

// PeerWatches reports whether a linked peer watches the store for the region.
func (s *State) PeerWatches(region model.Region) bool {
	for _, p := range s.peers {
		if p.linked && p.answered && p.lastMessage.Watch == region {
			return true
		}
	}
	return false
}

// StoreContact returns the latest time at which the store is known to have had no revision above the highest one known to be
// in it. The second result is false if the store has not answered since the process started.
func (s *State) StoreContact() (time.Time, bool) { return s.storeContact, !s.storeContact.IsZero() }

// CurrentAt reports whether the revision in force is the one that the store had at a time or later.
func (s *State) CurrentAt(at time.Time) bool {
	return s.ready && !s.storeContact.IsZero() && !s.storeContact.Before(at) && s.inForce.Revision >= s.storeRevision
}

// Tick sends the state of the process to all linked peers. It is called about once a second.
func (s *State) Tick(now time.Time) []Effect {
	effects := s.announce(now)
	for i, e := range effects {
		if send := e.(Send); s.ready && s.peers[send.To].ready {
			send.Repeat = true
			effects[i] = send
		}
	}
	return s.activateIfAllowed(now, effects)
}

// Store applies the result of a read of the store that began at readStart.
func (s *State) Store(readStart, now time.Time, latest Snapshot) []Effect {
	return s.announceIfConfirmed(now, func() []Effect { return s.applyStoreRead(readStart, now, latest) })
}

// announceIfConfirmed runs handle, and announces the state to the peers if this confirmed the revision in force.
func (s *State) announceIfConfirmed(now time.Time, handle func() []Effect) []Effect {
	before := s.Confirmed()
	effects := handle()
	if s.Confirmed() && !before {
		effects = append(effects, s.announce(now)...)
	}
	return effects
}

func (s *State) applyStoreRead(readStart, now time.Time, latest Snapshot) []Effect {
	s.storeRevision = max(s.storeRevision, latest.Revision)
	var effects []Effect
	if readStart.After(s.storeContact) {
		s.storeContact = readStart
		// Peers without a revision in force wait for a contact with the store that is later than their start.
		for id, p := range s.peers {
			if p.linked && p.answered && !p.ready {
				effects = append(effects, s.sendTo(now, id, nil))
			}
		}
	}
	return append(effects, s.adoptIfHigher(now, latest)...)
}

// Receive applies a message from a peer.
func (s *State) Receive(now time.Time, id model.NodeID, m Message) []Effect {
	return s.announceIfConfirmed(now, func() []Effect { return s.applyMessage(now, id, m) })
}

func (s *State) applyMessage(now time.Time, id model.NodeID, m Message) []Effect {
	s.ExpectPeer(id)
	p := s.peers[id]
	p.linked, p.answered, p.lastMessage = true, true, m
	// Messages may arrive out of order; the revision that a peer holds only grows while it is linked.
	p.highest, p.ready = max(p.highest, m.Highest), p.ready || m.Ready
	if m.Sent.Incarnation > p.lastSent.Incarnation || m.Sent.Incarnation == p.lastSent.Incarnation && m.Sent.At > p.lastSent.At {
		p.lastSent = m.Sent
	}
	s.storeRevision = max(s.storeRevision, m.StoreRevision)
	if m.Age >= 0 && m.Echo.Incarnation == s.incarnation {
		// The peer wrote the message after the echoed time, so its contact with the store is no older than this.
		if storeContact := s.started.Add(m.Echo.At - m.Age); storeContact.After(s.storeContact) && !storeContact.Before(s.started) {
			s.storeContact = storeContact
		}
	}
	var effects []Effect
	if m.WantDocument && s.highest.Revision > m.Highest {
		highest := s.highest
		effects = append(effects, s.sendTo(now, id, &highest))
	}
	if !m.Ready && s.ready && now.Sub(s.storeContact) > maxContactAge && now.Sub(s.storeReadAsked) > maxContactAge {
		s.storeReadAsked = now
		effects = append(effects, ReadStore{})
	}
	if m.Snapshot != nil {
		return append(effects, s.adoptIfHigher(now, *m.Snapshot)...)
	}
	if m.Highest > s.highest.Revision && now.Sub(s.documentAsked) >= documentRetryDelay {
		s.documentAsked = now
		ask := s.sendTo(now, id, nil)
		ask.Message.WantDocument = true
		effects = append(effects, ask)
	}
	return s.activateIfAllowed(now, effects)
}

// adoptIfHigher stores a copy that is higher than the highest one so far, and announces it to the peers at once.
func (s *State) adoptIfHigher(now time.Time, c Snapshot) []Effect {
	if c.Revision <= s.highest.Revision {
		return s.activateIfAllowed(now, nil)
	}
	s.highest, s.documentAsked = c, time.Time{}
	return s.activateIfAllowed(now, s.announce(now))
}

// activateIfAllowed puts the highest revision in force if mayActivate allows it, and appends the effects to those given.
func (s *State) activateIfAllowed(now time.Time, effects []Effect) []Effect {
	if !s.mayActivate(now) {
		return effects
	}
	s.inForce, s.ready = s.highest, true
	if err := s.documentError(s.inForce); err != nil {
		// The process still sends the revision to peers unchanged, but continues to use the last readable one.
		s.fault = err.Error()
		effects = append(effects, Unreadable{Revision: s.inForce.Revision, Cause: err})
	} else {
		s.lastReadable, s.hasReadable, s.fault = s.inForce, true, ""
		effects = append(effects, Activate{Snapshot: s.inForce})
	}
	return append(effects, s.announce(now)...)
}

// documentError returns why the document of a copy can't be read, or nil.
func (s *State) documentError(c Snapshot) error {
	if s.CheckReadable == nil || c.Revision == 0 {
		return nil
	}
	return s.CheckReadable(c)
}

// mayActivate reports whether the highest revision may be put in force now.
func (s *State) mayActivate(now time.Time) bool {
	switch {
	case !s.ready:
		// An earlier incarnation may have had a higher revision in force, so the first one must have been reported by
		// the store, or by all reachable peers, after the start of this incarnation.
		return s.highest.Revision >= s.storeRevision && !s.storeContact.IsZero() || s.hasHighestOfPeers(now)
	case s.highest.Revision <= s.inForce.Revision:
		return false
	}
	return s.storeRevision >= s.highest.Revision || s.countHolders() >= quorum
}

// hasHighestOfPeers reports whether each peer has answered or can't be reached, at least one that answered has a revision
// in force, and none that answered has a higher revision than this process.
func (s *State) hasHighestOfPeers(now time.Time) bool {
	if now.Sub(s.started) < PeerDiscoveryTime {
		return false
	}
	ready := false
	for _, p := range s.peers {
		switch {
		case p.linked && p.answered:
			if p.highest > s.highest.Revision {
				return false
			}
			ready = ready || p.ready
		case p.linked || p.dialFailed.IsZero() || now.Sub(p.dialFailed) > DialFailureValidity:
			return false
		}
	}
	return ready
}

// countHolders returns the number of linked peers that have the highest revision of this process or a higher one.
func (s *State) countHolders() int {
	n := 0
	for _, p := range s.peers {
		if p.linked && p.answered && p.highest >= s.highest.Revision {
			n++
		}
	}
	return n
}

// announce sends the state of the process to all linked peers.
func (s *State) announce(now time.Time) []Effect {
	var effects []Effect
	for id, p := range s.peers {
		if p.linked {
			effects = append(effects, s.sendTo(now, id, nil))
		}
	}
	return effects
}

// Answer returns the reply to a message of a process that is not a peer.
func (s *State) Answer(now time.Time, m Message) Message {
	out := s.newMessage(now, m.Sent, nil)
	if m.WantDocument && s.highest.Revision > m.Highest {
		highest := s.highest
		out.Snapshot = &highest
	}
	return out
}

// sendTo returns the effect that sends the state to a peer, with c if it is not nil.
func (s *State) sendTo(now time.Time, id model.NodeID, c *Snapshot) Send {
	return Send{To: id, Message: s.newMessage(now, s.peers[id].lastSent, c)}
}

// newMessage returns the state of the process as a message that echoes the given stamp.
func (s *State) newMessage(now time.Time, echo Stamp, c *Snapshot) Message {
	age := time.Duration(-1)
	if !s.storeContact.IsZero() {
		age = now.Sub(s.storeContact)
	}
	return Message{
		Highest: s.highest.Revision, InUse: s.lastReadable.Revision, StoreRevision: s.storeRevision, Age: age, Ready: s.ready,
		Confirmed: s.Confirmed(), Watch: s.watchedRegion, Fault: s.fault,
		Sent: Stamp{Incarnation: s.incarnation, At: now.Sub(s.started)}, Echo: echo, Snapshot: c,
	}
}

// Highest returns the highest revision that the process has.
func (s *State) Highest() Snapshot { return s.highest }

// InUse returns the last revision in force that could be read; the second result is false while there is none.
func (s *State) InUse() (Snapshot, bool) { return s.lastReadable, s.hasReadable }

// RevisionKnown reports whether a revision is in force, even if it can't be read.
func (s *State) RevisionKnown() bool { return s.ready }

// Fault returns why the process can't read the revision in force, empty if it can.
func (s *State) Fault() string { return s.fault }

// Confirmed reports whether the revision in force can be read and the store, since the process started, is known to
// contain it.
func (s *State) Confirmed() bool {
	return s.ready && s.fault == "" && !s.storeContact.IsZero() && s.storeRevision >= s.inForce.Revision
}

// Peers returns the last message of each linked peer that has sent one.
func (s *State) Peers() map[model.NodeID]Message {
	out := map[model.NodeID]Message{}
	for id, p := range s.peers {
		if p.linked && p.answered {
			out[id] = p.lastMessage
		}
	}
	return out
}
