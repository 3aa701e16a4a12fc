package ledger

import (
	"time"

	"wagtailhoist/core/model"
)

const (
	// KeepAfterDeadline is how long an attempt is recorded after its deadline. It exceeds the assumed difference between
	// the clocks of two VMs, so that a delayed Begin is refused either by the record of the attempt or by its deadline.
	KeepAfterDeadline = 60 * time.Second
	// MaxTimeToDeadline is the longest accepted time until a deadline; it bounds how long attempts are recorded.
	MaxTimeToDeadline = 10*time.Minute + KeepAfterDeadline
	// DefaultAnswerBytes is the default limit of the answers that are kept until they are acknowledged, in bytes.
	DefaultAnswerBytes = 64 << 20
)

// Reason is the reason why an attempt is refused, or Accepted.
type Reason string

// Reasons of refusals.
const (
	Accepted Reason = ""
	// Duplicate means that the attempt has a slot or has run.
	Duplicate Reason = "duplicate"
	// Incarnation means that the attempt was sent to another process of the agent, before or after a restart.
	Incarnation Reason = "incarnation"
	// DeadlinePassed means that the deadline has passed.
	DeadlinePassed Reason = "late"
	// DeadlineTooFar means that the deadline is more than MaxTimeToDeadline away.
	DeadlineTooFar Reason = "deadline too far"
	// FencedOff means that the attempt was fenced or refused before.
	FencedOff Reason = "fenced"
	// Draining means that the agent finishes accepted work and accepts no more.
	Draining Reason = "draining"
	// Full means that all slots are in use.
	Full Reason = "full"
	// Down means that the minion accepts no connections.
	Down Reason = "minion down"
)

// State is what an agent knows of an attempt, as it reports it to the entry.
type State uint8

// States of an attempt.
const (
	// Unknown attempts may or may not have run.
	Unknown State = iota
	// NeverBegun attempts did not run, and this process will never run them.
	NeverBegun
	// Running attempts have no answer yet.
	Running
	// Finished attempts have an answer that an entry can still fetch.
	Finished
)

// phase is the recorded progress of an attempt.
type phase uint8

const (
	// receiving attempts hold a slot while their body arrives.
	receiving phase = iota
	running
	finished
	// freed attempts have finished, and their answer was acknowledged or dropped.
	freed
	// fenced attempts did not run and never will.
	fenced
)

// attemptRecord is what the ledger records of an attempt.
type attemptRecord struct {
	phase    phase
	deadline time.Time
	// size is the size of the answer in bytes.
	size int
}

// Ledger records the attempts that an agent has received and the used slots of its minion. It is not safe for concurrent
// use.
type Ledger struct {
	self           model.Incarnation
	maxBusySlots   int
	maxAnswerBytes int
	attempts       map[model.Attempt]*attemptRecord
	busySlots      int
	draining       bool
	minionDown     bool
	// answered lists the attempts whose answer is kept, oldest first; answerBytes is the sum of their sizes.
	answered    []model.Attempt
	answerBytes int
}

// New returns a ledger for the process of incarnation self. At most maxBusySlots attempts run at the same time, and at most
// maxAnswerBytes of answers are kept until they are acknowledged.
func New(self model.Incarnation, maxBusySlots, maxAnswerBytes int) *Ledger {
	return &Ledger{self: self, maxBusySlots: maxBusySlots, maxAnswerBytes: maxAnswerBytes, attempts: map[model.Attempt]*attemptRecord{}}
}

// Begin allocates a slot to the attempt and returns Accepted, or returns the reason why the attempt is refused. A Duplicate
// may be running or have run. All other refusals are final: this process will never run the attempt.
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
	reason := l.admissionReason(now, deadline)
	if reason == Accepted {
		l.attempts[a] = &attemptRecord{phase: receiving, deadline: deadline}
		l.busySlots++
		return Accepted
	}
	// Without the limit, a faulty entry could fill the memory with records of distant deadlines.
	if latest := now.Add(MaxTimeToDeadline); deadline.After(latest) {
		deadline = latest
	}
	l.attempts[a] = &attemptRecord{phase: fenced, deadline: deadline}
	return reason
}

// admissionReason returns Accepted, or the reason to refuse a new attempt.
func (l *Ledger) admissionReason(now, deadline time.Time) Reason {
	switch {
	case !now.Before(deadline):
		return DeadlinePassed
	case deadline.After(now.Add(MaxTimeToDeadline)):
		return DeadlineTooFar
	case l.draining:
		return Draining
	case l.minionDown:
		return Down
	case l.busySlots >= l.maxBusySlots:
		return Full
	}
	return Accepted
}

// Start reports whether the attempt may run, and marks it as running. It is called when the body of the attempt has arrived,
// and returns false if the attempt was fenced meanwhile or its deadline has passed.
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

// Abandon fences an attempt whose body will not arrive completely, and frees its slot.
func (l *Ledger) Abandon(a model.Attempt) {
	if e, ok := l.attempts[a]; ok && e.phase == receiving {
		e.phase = fenced
		l.busySlots--
	}
}

// Finish frees the slot of a running attempt and records an answer of size bytes for it. It returns the attempts whose
// answers the caller has to drop to stay within the limit of kept answers.
func (l *Ledger) Finish(a model.Attempt, size int) []model.Attempt {
	e, ok := l.attempts[a]
	if !ok || e.phase != running {
		return nil
	}
	l.busySlots--
	e.phase, e.size = finished, size
	l.answered = append(l.answered, a)
	l.answerBytes += size
	var droppedAnswers []model.Attempt
	for l.answerBytes > l.maxAnswerBytes && len(l.answered) > 0 {
		oldest := l.answered[0]
		l.ReleaseAnswer(oldest)
		droppedAnswers = append(droppedAnswers, oldest)
	}
	return droppedAnswers
}

// ReleaseAnswer removes the answer of a finished attempt from the kept ones; the attempt itself stays recorded.
func (l *Ledger) ReleaseAnswer(a model.Attempt) {
	e, ok := l.attempts[a]
	if !ok || e.phase != finished {
		return
	}
	e.phase = freed
	l.answerBytes -= e.size
	for i, k := range l.answered {
		if k == a {
			l.answered = append(l.answered[:i], l.answered[i+1:]...)
			break
		}
	}
}

// Fence returns the state of the attempt, after making sure that an attempt that is not running will never run.
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
	// The attempt may have run, and its record have been removed since.
	if !now.Before(deadline.Add(KeepAfterDeadline)) || deadline.After(now.Add(MaxTimeToDeadline)) {
		return Unknown
	}
	l.attempts[a] = &attemptRecord{phase: fenced, deadline: deadline}
	return NeverBegun
}

// State returns the state of the attempt without changing it.
func (l *Ledger) State(a model.Attempt) State {
	if e, ok := l.attempts[a]; ok {
		return e.state()
	}
	return Unknown
}

func (e *attemptRecord) state() State {
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

// Expire removes the records of attempts whose deadline passed KeepAfterDeadline ago, unless they are running. It returns
// the attempts whose answers the caller has to drop.
func (l *Ledger) Expire(now time.Time) []model.Attempt {
	var droppedAnswers []model.Attempt
	for a, e := range l.attempts {
		if now.Before(e.deadline.Add(KeepAfterDeadline)) || e.phase == running {
			continue
		}
		if e.phase == finished {
			l.ReleaseAnswer(a)
			droppedAnswers = append(droppedAnswers, a)
		}
		l.Abandon(a)
		delete(l.attempts, a)
	}
	return droppedAnswers
}

// Drain makes Begin refuse all new attempts.
func (l *Ledger) Drain() { l.draining = true }

// SetDown sets whether Begin refuses new attempts because the minion accepts no connections.
func (l *Ledger) SetDown(minionDown bool) { l.minionDown = minionDown }

// Load returns the number of used slots and of all slots.
func (l *Ledger) Load() model.Load { return model.Load{Running: l.busySlots, Slots: l.maxBusySlots} }

// Pending returns the number of attempts that hold a slot and the number of answers that were not acknowledged.
func (l *Ledger) Pending() (busySlots, unacknowledged int) { return l.busySlots, len(l.answered) }
