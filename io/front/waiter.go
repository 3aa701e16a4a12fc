package front

import (
	"wagtailhoist/core/ledger"
	"wagtailhoist/core/model"
	"wagtailhoist/io/link"
)

// Events that a waiter passes on.
type (
	accepted struct{ load model.Load }
	refused  struct{ frame link.Refuse }
	failed   struct{ frame link.Fail }
	fenced   struct{ state ledger.State }
	// answered has the whole body; its length and sum were checked.
	answered struct {
		frame link.Answer
		body  []byte
	}
	// corrupt reports an answer whose parts do not add up.
	corrupt struct{ err error }
)

// waiter collects the frames of one attempt from one link. Its take is called by the
// link's receiving goroutine alone.
type waiter struct {
	attempt model.Attempt
	events  chan any

	answer link.Answer
	body   *link.Body
}

// waiterEvents is more than the events of an attempt on one link: accepted, fenced and one end.
const waiterEvents = 8

func newWaiter(a model.Attempt) *waiter {
	return &waiter{attempt: a, events: make(chan any, waiterEvents)}
}

func (w *waiter) take(f link.Frame) {
	switch f := f.(type) {
	case link.Accepted:
		w.tell(accepted{f.Load})
	case link.Refuse:
		w.tell(refused{f})
	case link.Fail:
		w.tell(failed{f})
	case link.Fenced:
		w.tell(fenced{ledger.State(f.State)})
	case link.Answer:
		w.answer = f
		var err error
		w.body, err = link.NewBody(f.Attempt, f.Length, f.Sum, f.Body)
		w.progress(err)
	case link.Data:
		if w.body != nil && !w.body.Whole() {
			w.progress(w.body.Add(f))
		}
	}
}

func (w *waiter) progress(err error) {
	switch {
	case err != nil:
		w.body = nil
		w.tell(corrupt{err})
	case w.body.Whole():
		w.tell(answered{w.answer, w.body.Bytes()})
	}
}

// tell drops events beyond the room of the channel: only a faulty agent sends that many.
func (w *waiter) tell(event any) {
	select {
	case w.events <- event:
	default:
	}
}
