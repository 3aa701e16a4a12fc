package front

import (
	"wagtailhoist/core/ledger"
	"wagtailhoist/core/model"
	"wagtailhoist/io/link"
)

// Events of an attempt, sent by its frameCollector.
type (
	accepted    struct{ load model.Load }
	refused     struct{ frame link.Refuse }
	failed      struct{ frame link.Fail }
	fenceAnswer struct{ state ledger.State }
	// answered holds an answer with its complete body, whose length and checksum were verified.
	answered struct {
		frame link.Answer
		body  []byte
	}
	// corrupt reports an answer whose body does not match its length or checksum.
	corrupt struct{ err error }
)

// frameCollector assembles the frames of one attempt from one link into events. Only the link's receiving goroutine
// calls handleFrame.
type frameCollector struct {
	attempt model.Attempt
	events  chan any
	// room is the memory of the answer.
	room *answerRoom

	answer link.Answer
	body   *link.Body
}

// maxCollectorEvents exceeds the events of an attempt on one link: accepted, a fence answer and one final event.
const maxCollectorEvents = 8

func newFrameCollector(a model.Attempt, room *answerRoom) *frameCollector {
	return &frameCollector{attempt: a, events: make(chan any, maxCollectorEvents), room: room}
}

func (c *frameCollector) handleFrame(f link.Frame) {
	switch f := f.(type) {
	case link.Accepted:
		c.emit(accepted{f.Load})
	case link.Refuse:
		c.emit(refused{f})
	case link.Fail:
		c.emit(failed{f})
	case link.Fenced:
		c.emit(fenceAnswer{ledger.State(f.State)})
	case link.Answer:
		if !c.room.resize(int64(len(f.Body))) {
			return // the attempt learns of it from the room
		}
		c.answer = f
		var err error
		c.body, err = link.NewBody(f.Attempt, f.Length, f.Sum, f.Body)
		c.reportIfComplete(err)
	case link.Data:
		if c.body == nil || c.body.Complete() {
			return
		}
		if !c.room.resize(int64(c.body.CapacityWith(len(f.Bytes)))) {
			c.body = nil
			return
		}
		c.reportIfComplete(c.body.Add(f))
	}
}

// reportIfComplete emits the answer once its body is complete, or corrupt if err is not nil.
func (c *frameCollector) reportIfComplete(err error) {
	switch {
	case err != nil:
		c.body = nil
		c.emit(corrupt{err})
	case c.body.Complete():
		c.emit(answered{c.answer, c.body.Bytes()})
	}
}

// emit discards events that exceed the channel's capacity: only a faulty agent sends that many.
func (c *frameCollector) emit(event any) {
	select {
	case c.events <- event:
	default:
	}
}
