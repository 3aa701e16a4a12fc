package config

import (
	"time"

	"wagtailhoist/core/model"
)

const (
	// SettleTime is how long a new process without the store looks for peers. Seeds pass on
	// the other processes' addresses once a second, so that three rounds are enough.
	SettleTime = 3 * time.Second
	// ProbeTime is how long a failed dial counts as proof that a peer can't be reached.
	ProbeTime = 3 * time.Second
	// askTime is how long a process waits for a document before it asks another peer.
	askTime = time.Second
	// refreshTime is the age from which a contact with the store is renewed for a new peer.
	refreshTime = time.Second
	// quorum is the number of other processes whose copies replace the store's confirmation.
	quorum = 2
)

// State is the configuration state of one life of a process.
type State struct {
	// Read returns an error for a copy whose document this version of the program can't read, because a
	// newer one wrote it; nil means that all can be read.
	Read func(Copy) error

	life    model.Incarnation
	started time.Time

	held  Copy
	force Copy
	// ready is set once a revision is in force; the zero revision is one too.
	ready bool
	// used is the last revision in force that could be read, if begun is set.
	used  Copy
	begun bool
	// fault says why the revision in force can't be read; empty if used is that revision.
	fault string
	// known is the highest revision known to be in the store.
	known model.Revision
	// contact is a time at or before which the store's latest revision was at most known.
	// It is zero until the store, or a peer that spoke to it in this life, has answered.
	contact time.Time

	peers map[model.NodeID]*peer
	asked time.Time
	// refreshed is when the store was last read for a new peer.
	refreshed time.Time
	watch     model.Region
}

// peer is what a process knows of another one.
type peer struct {
	up, heard bool
	failed    time.Time
	held      model.Revision
	ready     bool
	echo      Stamp
	last      Message
}

// New returns the state of a process that starts at now.
func New(now time.Time, life model.Incarnation) *State {
	return &State{life: life, started: now, peers: map[model.NodeID]*peer{}}
}

// Meet adds a peer that the process has to hear of, or fail to reach, before it trusts its peers.
func (s *State) Meet(id model.NodeID) {
	if s.peers[id] == nil {
		s.peers[id] = &peer{}
	}
}

// Forget removes a peer that has left the system.
func (s *State) Forget(id model.NodeID) { delete(s.peers, id) }

// Up reports a link to a peer.
func (s *State) Up(now time.Time, id model.NodeID) []Effect {
	s.peers[id] = &peer{up: true}
	return []Effect{s.send(now, id, nil)}
}

// Down reports that the link to a peer broke or could not be made.
func (s *State) Down(now time.Time, id model.NodeID) []Effect {
	if s.ready {
		delete(s.peers, id)
		return nil
	}
	s.Meet(id)
	s.peers[id].up, s.peers[id].failed = false, now
	return s.decide(now, nil)
}

// Alone puts the empty revision in force, in a process that has no store to learn one from.
func (s *State) Alone() { s.ready, s.begun = true, true }

// Watch names the region whose watch the process holds, empty for none.
func (s *State) Watch(region model.Region) { s.watch = region }

// Holds returns the region whose watch the process holds, empty for none.
func (s *State) Holds() model.Region { return s.watch }

// Watched reports whether a linked peer holds the watch of the region.
func (s *State) Watched(region model.Region) bool {
	for _, p := range s.peers {
		if p.up && p.heard && p.last.Watch == region {
			return true
		}
	}
	return false
}

// Contact returns a time at or before which the store's latest revision was the highest
// known one, and false if the store has not answered in this life.
func (s *State) Contact() (time.Time, bool) { return s.contact, !s.contact.IsZero() }

// Tick repeats what the process holds to all its peers, about once a second.
func (s *State) Tick(now time.Time) []Effect {
	effects := s.announce(now)
	for i, e := range effects {
		if send := e.(Send); s.ready && s.peers[send.To].ready {
			send.Repeat = true
			effects[i] = send
		}
	}
	return s.decide(now, effects)
}

// Store takes the store's latest revision, given in answer to a call that began at asked.
func (s *State) Store(asked, now time.Time, latest Copy) []Effect {
	return s.telling(now, func() []Effect { return s.store(asked, now, latest) })
}

// telling runs a step and tells the peers when it made the process confirm its revision.
func (s *State) telling(now time.Time, step func() []Effect) []Effect {
	before := s.Confirmed()
	effects := step()
	if s.Confirmed() && !before {
		effects = append(effects, s.announce(now)...)
	}
	return effects
}

func (s *State) store(asked, now time.Time, latest Copy) []Effect {
	s.known = max(s.known, latest.Revision)
	var effects []Effect
	if asked.After(s.contact) {
		s.contact = asked
		// New peers wait for a contact that is later than their start.
		for id, p := range s.peers {
			if p.up && p.heard && !p.ready {
				effects = append(effects, s.send(now, id, nil))
			}
		}
	}
	return append(effects, s.accept(now, latest)...)
}

// Hear takes a message of a peer.
func (s *State) Hear(now time.Time, id model.NodeID, m Message) []Effect {
	return s.telling(now, func() []Effect { return s.hear(now, id, m) })
}

func (s *State) hear(now time.Time, id model.NodeID, m Message) []Effect {
	s.Meet(id)
	p := s.peers[id]
	p.up, p.heard, p.last = true, true, m
	// Messages may overtake each other; what a peer holds only grows while its link stands.
	p.held, p.ready = max(p.held, m.Held), p.ready || m.Ready
	if m.Sent.Life > p.echo.Life || m.Sent.Life == p.echo.Life && m.Sent.At > p.echo.At {
		p.echo = m.Sent
	}
	s.known = max(s.known, m.Known)
	if m.Age >= 0 && m.Echo.Life == s.life {
		// The peer wrote the message after the echoed time, so its contact is not older than this.
		if contact := s.started.Add(m.Echo.At - m.Age); contact.After(s.contact) && !contact.Before(s.started) {
			s.contact = contact
		}
	}
	var effects []Effect
	if m.Want && s.held.Revision > m.Held {
		held := s.held
		effects = append(effects, s.send(now, id, &held))
	}
	if !m.Ready && s.ready && now.Sub(s.contact) > refreshTime && now.Sub(s.refreshed) > refreshTime {
		s.refreshed = now
		effects = append(effects, Refresh{})
	}
	if m.Copy != nil {
		return append(effects, s.accept(now, *m.Copy)...)
	}
	if m.Held > s.held.Revision && now.Sub(s.asked) >= askTime {
		s.asked = now
		ask := s.send(now, id, nil)
		ask.Message.Want = true
		effects = append(effects, ask)
	}
	return s.decide(now, effects)
}

// accept takes a copy if it is higher than the one held, and tells the peers at once.
func (s *State) accept(now time.Time, c Copy) []Effect {
	if c.Revision <= s.held.Revision {
		return s.decide(now, nil)
	}
	s.held, s.asked = c, time.Time{}
	return s.decide(now, s.announce(now))
}

// decide puts the held revision in force when it may be. Effects follow those given.
func (s *State) decide(now time.Time, effects []Effect) []Effect {
	if !s.activates(now) {
		return effects
	}
	s.force, s.ready = s.held, true
	if err := s.read(s.force); err != nil {
		// The process passes the revision on as it is, and goes on with the one before.
		s.fault = err.Error()
		effects = append(effects, Unread{Revision: s.force.Revision, Cause: err})
	} else {
		s.used, s.begun, s.fault = s.force, true, ""
		effects = append(effects, Activate{Copy: s.force})
	}
	return append(effects, s.announce(now)...)
}

func (s *State) read(c Copy) error {
	if s.Read == nil || c.Revision == 0 {
		return nil
	}
	return s.Read(c)
}

func (s *State) activates(now time.Time) bool {
	switch {
	case !s.ready:
		// An earlier life of the process may have had a higher revision in force, so this one
		// begins only with what the store or all reachable peers gave after its start.
		return s.held.Revision >= s.known && !s.contact.IsZero() || s.settled(now)
	case s.held.Revision <= s.force.Revision:
		return false
	}
	return s.known >= s.held.Revision || s.holders() >= quorum
}

// settled reports whether every peer has been heard or can't be reached, at least one of them
// has a revision in force, and the process holds the highest revision of them all.
func (s *State) settled(now time.Time) bool {
	if now.Sub(s.started) < SettleTime {
		return false
	}
	ready := false
	for _, p := range s.peers {
		switch {
		case p.up && p.heard:
			if p.held > s.held.Revision {
				return false
			}
			ready = ready || p.ready
		case p.up || p.failed.IsZero() || now.Sub(p.failed) > ProbeTime:
			return false
		}
	}
	return ready
}

// holders counts the reachable peers that hold the held revision.
func (s *State) holders() int {
	n := 0
	for _, p := range s.peers {
		if p.up && p.heard && p.held >= s.held.Revision {
			n++
		}
	}
	return n
}

func (s *State) announce(now time.Time) []Effect {
	var effects []Effect
	for id, p := range s.peers {
		if p.up {
			effects = append(effects, s.send(now, id, nil))
		}
	}
	return effects
}

// Answer returns the message for a process that asks without being a peer.
func (s *State) Answer(now time.Time, m Message) Message {
	out := s.message(now, m.Sent, nil)
	if m.Want && s.held.Revision > m.Held {
		held := s.held
		out.Copy = &held
	}
	return out
}

func (s *State) send(now time.Time, id model.NodeID, c *Copy) Send {
	return Send{To: id, Message: s.message(now, s.peers[id].echo, c)}
}

func (s *State) message(now time.Time, echo Stamp, c *Copy) Message {
	age := time.Duration(-1)
	if !s.contact.IsZero() {
		age = now.Sub(s.contact)
	}
	return Message{
		Held: s.held.Revision, Force: s.used.Revision, Known: s.known, Age: age, Ready: s.ready,
		Confirmed: s.Confirmed(), Watch: s.watch, Fault: s.fault,
		Sent: Stamp{Life: s.life, At: now.Sub(s.started)}, Echo: echo, Copy: c,
	}
}

// Held returns the highest revision that the process holds.
func (s *State) Held() Copy { return s.held }

// Force returns the highest revision that was in force and could be read; the second result is false while there is none.
func (s *State) Force() (Copy, bool) { return s.used, s.begun }

// Settled reports whether the process knows which revision has to be in force, even if it can't read it.
func (s *State) Settled() bool { return s.ready }

// Fault says why the process does not use the revision that has to be in force; empty if it does.
func (s *State) Fault() string { return s.fault }

// Confirmed reports whether the store has confirmed the revision in force in this life of the process.
func (s *State) Confirmed() bool {
	return s.ready && s.fault == "" && !s.contact.IsZero() && s.known >= s.force.Revision
}

// Peers returns the last message of each peer that is linked and was heard.
func (s *State) Peers() map[model.NodeID]Message {
	out := map[model.NodeID]Message{}
	for id, p := range s.peers {
		if p.up && p.heard {
			out[id] = p.last
		}
	}
	return out
}
