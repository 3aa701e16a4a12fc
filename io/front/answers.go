package front

import (
	"net/http"
	"sync"
	"time"

	"wagtailhoist/core/budget"
	"wagtailhoist/io/intake"
)

const (
	// DefaultAnswerBudget is the default of Answers.Limit.
	DefaultAnswerBudget = 32 << 20
	// MinAnswerBudget is the least limit of Answers with which the largest single answer fits, in bytes.
	MinAnswerBudget = 24 << 20
	// writePart is the part of an answer after which its caller counts as having read something, in bytes.
	writePart = 64 << 10
	// reasonAnswerRoom is the reason of the outcome of a request whose answer was given up.
	reasonAnswerRoom = "entry has no room for the answer"
)

// longAgo is a deadline that ends a write at once.
var longAgo = time.Unix(1, 0)

// Answers bounds the memory of minions' answers that haven't been passed on to their callers. When the memory is used up, the caller
// (an address) with the most bytes loses the answer that has made no progress for the longest time: of which no byte has arrived from the
// minion or was taken by the caller.
type Answers struct {
	// Limit is the number of bytes that all answers may hold; 0 means DefaultAnswerBudget. It is set before the first use.
	Limit int64
	// Report is told of answers that are given up; nil reports nothing.
	Report *intake.Reporter

	mu     sync.Mutex
	budget budget.Budget
}

// Held returns the bytes that answers hold.
func (a *Answers) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget.Held()
}

// Evict gives up the answer that comes first in the order of eviction, so that its connection gets free. It returns false if there is
// none.
func (a *Answers) Evict() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	claim := a.budget.Evict()
	if claim == nil {
		return false
	}
	claim.Tag.(*answerRoom).loseLocked()
	return true
}

// answerRoom is the memory of the answer to one request. A nil answerRoom is not bounded.
type answerRoom struct {
	answers *Answers
	holder  string
	// givenUp is closed when the answer has lost its memory.
	givenUp chan struct{}

	// The mutex of answers guards the following fields. claim is nil until the first byte arrives: a request that waits for its minion
	// holds nothing, and is not given up.
	claim *budget.Body
	lost  bool
	// control is set while the answer is written.
	control *http.ResponseController
}

// newRoom returns the room for an answer to a caller. It has to be released.
func (a *Answers) newRoom(holder string) *answerRoom {
	return &answerRoom{answers: a, holder: holder, givenUp: make(chan struct{})}
}

// resize sets the number of bytes that the answer holds and notes that it has made progress. It returns false if the answer is given up.
func (r *answerRoom) resize(n int64) bool {
	if r == nil {
		return true
	}
	a := r.answers
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.lost {
		return false
	}
	now := time.Now()
	if r.claim == nil {
		if a.budget.Limit = a.Limit; a.Limit == 0 {
			a.budget.Limit = DefaultAnswerBudget
		}
		r.claim = a.budget.Admit(now, r.holder)
		r.claim.Tag = r
	}
	victims, err := a.budget.Grow(now, r.claim, n-r.claim.Held())
	for _, v := range victims {
		v.Tag.(*answerRoom).loseLocked()
	}
	if err != nil {
		a.budget.Release(r.claim)
		r.loseLocked()
		return false
	}
	return true
}

// loseLocked notes that the answer has lost its memory, and ends its writing.
func (r *answerRoom) loseLocked() {
	r.lost = true
	close(r.givenUp)
	if r.control != nil {
		_ = r.control.SetWriteDeadline(longAgo)
	}
	r.answers.Report.Refused(reasonAnswerRoom, r.holder)
}

// lostRoom returns a channel that is closed when the answer is given up, or nil if it is not bounded.
func (r *answerRoom) lostRoom() <-chan struct{} {
	if r == nil {
		return nil
	}
	return r.givenUp
}

// startWriting sets the deadline for writing an answer. From then on the write ends when the answer is given up. It returns false if the answer
// was given up before.
func (r *answerRoom) startWriting(control *http.ResponseController, deadline time.Time) bool {
	if r == nil {
		_ = control.SetWriteDeadline(deadline)
		return true
	}
	r.answers.mu.Lock()
	defer r.answers.mu.Unlock()
	if r.lost {
		return false
	}
	r.control = control
	_ = control.SetWriteDeadline(deadline)
	return true
}

// noteProgress notes that the caller has taken a part of the answer.
func (r *answerRoom) noteProgress() {
	if r == nil {
		return
	}
	r.answers.mu.Lock()
	defer r.answers.mu.Unlock()
	if r.claim != nil && !r.lost {
		_, _ = r.answers.budget.Grow(time.Now(), r.claim, 0)
	}
}

// release returns the memory of the answer.
func (r *answerRoom) release() {
	if r == nil {
		return
	}
	r.answers.mu.Lock()
	defer r.answers.mu.Unlock()
	// An answer that lost its memory has released it already.
	if r.claim != nil {
		r.answers.budget.Release(r.claim)
	}
	r.control = nil
}
