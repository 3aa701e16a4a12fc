package proxy

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"wagtailhoist/core/budget"
	"wagtailhoist/io/intake"
	"wagtailhoist/io/store"
)

const (
	// DefaultAnswerBudget is the default of Answers.Limit, with which a peer gets a list of 16 MiB, the largest that it takes.
	// MinAnswerBudget is the least limit with which the largest page of the store fits while there is no other, 8 MiB.
	DefaultAnswerBudget, MinAnswerBudget = 36 << 20, 24 << 20
	// receivedFactor is how much memory a page takes by the time it is decoded, for each byte of its text: the buffer for the text,
	// which grows by a quarter, and the values, which have three quarters of the text.
	receivedFactor = 2
	// itemBytes is the memory of an item beside its text.
	itemBytes = 64
	// answerPart is the part of an answer after which its peer counts as having read something, in bytes.
	answerPart = 64 << 10
	// reasonAnswerRoom is the reason under which a lost answer is counted.
	reasonAnswerRoom = "no room for the answer"
)

// longAgo is a deadline that ends a write at once.
var longAgo = time.Unix(1, 0)

// Answers bounds the memory of the store's answers to forwarded calls, from the first byte that the store sends to the last one that
// the peer takes. When the memory is used up, the address with the most bytes loses the answer that its peer hasn't read from for the
// longest time. An answer that arrives isn't given up for others: its memory would be in use until its call has ended.
type Answers struct {
	// Limit is the number of bytes that all answers may hold; 0 means DefaultAnswerBudget. It is set before the first use.
	Limit int64
	// Report is told of answers that are given up; nil reports nothing.
	Report *intake.Reporter

	mu     sync.Mutex
	budget budget.Budget
}

// errAnswerRoom reports an answer that was given up because there was no memory for it.
var errAnswerRoom = errors.New("no room for the answer to a forwarded call")

// Held returns the bytes that answers hold.
func (a *Answers) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget.Held()
}

// answer is the memory of the answer to one call. It has to be released.
type answer struct {
	answers *Answers
	holder  string

	// The mutex of answers guards the following fields. claim is nil until the first byte arrives: a watch that waits holds nothing.
	claim *budget.Body
	lost  bool
	// control is set while the answer is written.
	control *http.ResponseController
	// pages is the text of the pages that were received before, and page that of the present one.
	pages, page int64
}

// newAnswer returns the room for the answer to a peer.
func (a *Answers) newAnswer(holder string) *answer { return &answer{answers: a, holder: holder} }

// received charges the answer for its page, of which the given number of bytes has arrived. A list has several pages, whose items stay
// in memory.
func (r *answer) received(bytes int64) error {
	r.answers.mu.Lock()
	defer r.answers.mu.Unlock()
	if bytes <= r.page {
		r.pages += r.page
	}
	r.page = bytes
	if r.claim == nil {
		r.admitLocked()
		r.answers.budget.Complete(r.claim)
	}
	return r.resizeLocked(r.pages + receivedFactor*bytes)
}

// decoded charges the answer for its items in place of their text. From now on it can be given up.
func (r *answer) decoded(items []store.Item) error {
	n := int64(cap(items)) * itemBytes
	for i := range items {
		n += int64(len(items[i].Key) + len(items[i].Value))
	}
	r.answers.mu.Lock()
	defer r.answers.mu.Unlock()
	if r.lost {
		return errAnswerRoom
	}
	if r.claim != nil {
		r.answers.budget.Release(r.claim)
	}
	r.admitLocked()
	return r.resizeLocked(n)
}

// admitLocked adds the answer to the budget.
func (r *answer) admitLocked() {
	a := r.answers
	if a.budget.Limit = a.Limit; a.Limit == 0 {
		a.budget.Limit = DefaultAnswerBudget
	}
	r.claim = a.budget.Admit(time.Now(), r.holder)
	r.claim.Tag = r
}

// resizeLocked sets the number of bytes that the answer holds and notes that it has made progress. It returns errAnswerRoom if the
// answer is given up.
func (r *answer) resizeLocked(n int64) error {
	if r.lost {
		return errAnswerRoom
	}
	a := r.answers
	victims, err := a.budget.Grow(time.Now(), r.claim, n-r.claim.Held())
	for _, v := range victims {
		v.Tag.(*answer).loseLocked()
	}
	if err != nil {
		a.budget.Release(r.claim)
		r.loseLocked()
		return errAnswerRoom
	}
	return nil
}

// loseLocked notes that the answer has lost its memory, and ends what is done for it.
func (r *answer) loseLocked() {
	r.lost = true
	if r.control != nil {
		_ = r.control.SetWriteDeadline(longAgo)
	}
	r.answers.Report.Refused(reasonAnswerRoom, r.holder)
}

// startWriting notes that the answer is written, which ends when the answer is given up. It returns false if it was given up before.
func (r *answer) startWriting(control *http.ResponseController) bool {
	r.answers.mu.Lock()
	defer r.answers.mu.Unlock()
	if r.lost {
		return false
	}
	r.control = control
	return true
}

// release returns the memory of the answer.
func (r *answer) release() {
	r.answers.mu.Lock()
	defer r.answers.mu.Unlock()
	// An answer that lost its memory has released it already.
	if r.claim != nil {
		r.answers.budget.Release(r.claim)
	}
	r.control = nil
}

// answerWriter writes an answer in parts and notes the progress of each.
type answerWriter struct {
	http.ResponseWriter
	answer *answer
}

// Write writes a part of the answer.
func (w answerWriter) Write(b []byte) (int, error) {
	written := 0
	for len(b) > 0 {
		part := b[:min(len(b), answerPart)]
		n, err := w.ResponseWriter.Write(part)
		written += n
		if err != nil {
			return written, err
		}
		b = b[n:]
		w.answer.noteProgress()
	}
	return written, nil
}

// noteProgress notes that the peer has taken a part of the answer.
func (r *answer) noteProgress() {
	r.answers.mu.Lock()
	defer r.answers.mu.Unlock()
	if r.claim != nil && !r.lost {
		_, _ = r.answers.budget.Grow(time.Now(), r.claim, 0)
	}
}
