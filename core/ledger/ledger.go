package ledger

import (
	"time"

	"wagtailhoist/core/model"
)

const (
	// Keep is how long an attempt is remembered after its deadline. It exceeds the assumed
	// difference between the clocks of two VMs, so that a late Begin meets either the
	// record of the attempt or its passed deadline.
	Keep = 60 * time.Second
	// Longest is the longest time from now to a deadline that is accepted; it bounds the memory of attempts.
	Longest = 10*time.Minute + Keep
	// Retain is the default limit of finished answers that were not acknowledged, in bytes.
	Retain = 64 << 20
)

// Reason says why an attempt is refused.
type Reason string

// Reasons of refusals.
const (
	Accepted    Reason = ""
	Duplicate   Reason = "duplicate"
	Incarnation Reason = "incarnation"
	Late        Reason = "late"
	Far         Reason = "deadline too far"
	FencedOff   Reason = "fenced"
	Draining    Reason = "draining"
	Full        Reason = "full"
	// Down refusals say that the minion takes no connections.
	Down Reason = "minion down"
)

// State is what an agent knows of an attempt.
type State uint8

// States of an attempt as an agent tells them.
const (
	// Unknown attempts may or may not have run.
	Unknown State = iota
	// NeverBegun attempts did not run, and this process will not run them.
	NeverBegun
	// Running attempts have no answer yet.
	Running
	// Finished attempts have an answer that can be attached to.
	Finished
)

type phase uint8

const (
	receiving phase = iota
	running
	finished
	// freed attempts have finished, and their answer was acknowledged or dropped.
	freed
	fenced
)

type entry struct {
	phase    phase
	deadline time.Time
	size     int
}

// Ledger holds the attempts that an agent has seen and the slots of its minion.
type Ledger struct {
	self     model.Incarnation
	slots    int
	retain   int
	attempts map[model.Attempt]*entry
	busy     int
	draining bool
	down     bool
	// kept lists attempts with an answer, oldest first; weight is the sum of their sizes.
	kept   []model.Attempt
	weight int
}

// New returns a ledger for the process of incarnation self, with that many slots and
// at most retain bytes of finished answers.
func New(self model.Incarnation, slots, retain int) *Ledger {
	return &Ledger{self: self, slots: slots, retain: retain, attempts: map[model.Attempt]*entry{}}
}

// Begin takes a slot for the attempt and returns Accepted, or says why the attempt will
// not run. Duplicate means that it already has a slot or has run. All other reasons are
// final: the attempt is remembered as refused.
func (l *Ledger) Begin(now time.Time, a model.Attempt, self model.Incarnation, deadline time.Time) Reason {
	if self != l.self {
		return Incarnation
	}
	if e, ok := l.attempts[a]; ok {
		if e.phase == fenced {
			return FencedOff
		}
		return Duplicate
	}
	reason := l.admit(now, deadline)
	if reason == Accepted {
		l.attempts[a] = &entry{phase: receiving, deadline: deadline}
		l.busy++
		return Accepted
	}
	// The bound keeps a faulty entry from filling the memory with far deadlines.
	if far := now.Add(Longest); deadline.After(far) {
		deadline = far
	}
	l.attempts[a] = &entry{phase: fenced, deadline: deadline}
	return reason
}

func (l *Ledger) admit(now, deadline time.Time) Reason {
	switch {
	case !now.Before(deadline):
		return Late
	case deadline.After(now.Add(Longest)):
		return Far
	case l.draining:
		return Draining
	case l.down:
		return Down
	case l.busy >= l.slots:
		return Full
	}
	return Accepted
}

// Start reports whether the attempt may run now that its body is whole. It returns false
// if the attempt was fenced while its body arrived, or if its deadline has passed.
func (l *Ledger) Start(now time.Time, a model.Attempt) bool {
	e, ok := l.attempts[a]
	if !ok || e.phase != receiving {
		return false
	}
	if !now.Before(e.deadline) {
		l.Abandon(a)
		return false
	}
	e.phase = running
	return true
}

// Abandon fences an attempt whose body will not become whole and frees its slot.
func (l *Ledger) Abandon(a model.Attempt) {
	if e, ok := l.attempts[a]; ok && e.phase == receiving {
		e.phase = fenced
		l.busy--
	}
}

// Finish frees the slot of a running attempt, keeps size bytes of answer for it, and
// returns the attempts whose answers have to be dropped to make room.
func (l *Ledger) Finish(a model.Attempt, size int) []model.Attempt {
	e, ok := l.attempts[a]
	if !ok || e.phase != running {
		return nil
	}
	l.busy--
	e.phase, e.size = finished, size
	l.kept = append(l.kept, a)
	l.weight += size
	var dropped []model.Attempt
	for l.weight > l.retain && len(l.kept) > 0 {
		oldest := l.kept[0]
		l.Done(oldest)
		dropped = append(dropped, oldest)
	}
	return dropped
}

// Done frees the answer of a finished attempt; the attempt itself stays known.
func (l *Ledger) Done(a model.Attempt) {
	e, ok := l.attempts[a]
	if !ok || e.phase != finished {
		return
	}
	e.phase = freed
	l.weight -= e.size
	for i, k := range l.kept {
		if k == a {
			l.kept = append(l.kept[:i], l.kept[i+1:]...)
			break
		}
	}
}

// Fence returns what became of the attempt. An attempt that has not begun to run will never do so.
func (l *Ledger) Fence(now time.Time, a model.Attempt, self model.Incarnation, deadline time.Time) State {
	if self != l.self {
		return Unknown
	}
	if e, ok := l.attempts[a]; ok {
		if e.phase == receiving {
			l.Abandon(a)
		}
		return e.state()
	}
	// The attempt may have run and been forgotten.
	if !now.Before(deadline.Add(Keep)) || deadline.After(now.Add(Longest)) {
		return Unknown
	}
	l.attempts[a] = &entry{phase: fenced, deadline: deadline}
	return NeverBegun
}

// State returns what is known of the attempt without changing it.
func (l *Ledger) State(a model.Attempt) State {
	if e, ok := l.attempts[a]; ok {
		return e.state()
	}
	return Unknown
}

func (e *entry) state() State {
	switch e.phase {
	case fenced:
		return NeverBegun
	case receiving, running:
		return Running
	case finished:
		return Finished
	}
	return Unknown
}

// Expire forgets the attempts whose deadline is longer ago than Keep and returns those
// whose answers are dropped with them.
func (l *Ledger) Expire(now time.Time) []model.Attempt {
	var dropped []model.Attempt
	for a, e := range l.attempts {
		if now.Before(e.deadline.Add(Keep)) || e.phase == running {
			continue
		}
		if e.phase == finished {
			l.Done(a)
			dropped = append(dropped, a)
		}
		l.Abandon(a)
		delete(l.attempts, a)
	}
	return dropped
}

// Drain refuses all attempts from now on.
func (l *Ledger) Drain() { l.draining = true }

// SetDown refuses all attempts as long as the minion takes no connections.
func (l *Ledger) SetDown(down bool) { l.down = down }

// Load returns the occupation of the slots.
func (l *Ledger) Load() model.Load { return model.Load{Running: l.busy, Slots: l.slots} }

// Pending reports how many attempts hold a slot and how many finished ones wait for their acknowledgement.
func (l *Ledger) Pending() (busy, unread int) { return l.busy, len(l.kept) }
