package budget

import (
	"container/list"
	"fmt"
	"time"
)

// Budget bounds the bytes that all bodies hold together. It is not safe for concurrent use.
type Budget struct {
	// Limit is the number of bytes that all bodies together may hold.
	Limit int64

	held    int64
	bodies  int
	holders map[string]*holder
}

// Body is a body in progress.
type Body struct {
	// Tag is not read by this package.
	Tag any

	holder *holder
	held   int64
	// progress is when the body last received a byte.
	progress time.Time
	// element is the position in holder.arriving; nil once the body is complete, evicted or released.
	element *list.Element
}

// Held returns the number of bytes that the body holds.
func (b *Body) Held() int64 { return b.held }

// holder is a team or an address with its bodies; it exists while it has any.
type holder struct {
	name   string
	held   int64
	bodies int
	// arriving holds the bodies that can be evicted, the one without a received byte for the longest time first.
	arriving list.List // of *Body

	// next and freed belong to a choice of victims: the next body to evict, and what those before it hold.
	next  *list.Element
	freed int64
}

// FullError reports that a body finds no room.
type FullError struct{ Held, Limit int64 }

// Error gives the bytes held and the limit.
func (e *FullError) Error() string {
	return fmt.Sprintf("memory budget for request bodies is full: %d of %d bytes are held", e.Held, e.Limit)
}

// MaxBody returns the size up to which a body that is alone fits into a budget of the given limit. A quarter of the budget is
// kept for other holders: complete bodies can't be evicted, and those of one team would keep out all others.
func MaxBody(limit int64) int64 { return limit - limit/4 }

// Held returns the number of bytes that all bodies hold.
func (b *Budget) Held() int64 { return b.held }

// Bodies returns the number of bodies.
func (b *Budget) Bodies() int { return b.bodies }

// Admit adds a body, which holds nothing yet.
func (b *Budget) Admit(now time.Time, name string) *Body {
	h := b.holders[name]
	if h == nil {
		if b.holders == nil {
			b.holders = map[string]*holder{}
		}
		h = &holder{name: name}
		b.holders[name] = h
	}
	h.bodies++
	b.bodies++
	body := &Body{holder: h, progress: now}
	body.element = h.arriving.PushBack(body)
	return body
}

// Grow changes what a body holds by n bytes and, if the body is still arriving, notes that it has received something. It
// returns the bodies that are evicted for it, or a FullError without any effect on what is held.
func (b *Budget) Grow(now time.Time, body *Body, n int64) ([]*Body, error) {
	if body.holder == nil {
		return nil, &FullError{b.held, b.Limit}
	}
	if body.element != nil {
		body.progress = now
		body.holder.arriving.MoveToBack(body.element)
	}
	var victims []*Body
	if n > 0 && (b.held+n > b.Limit || body.holder.held+n > MaxBody(b.Limit)) {
		var found bool
		if victims, found = b.findVictims(body, n); !found {
			return nil, &FullError{b.held, b.Limit}
		}
		for _, v := range victims {
			b.Release(v)
		}
	}
	body.held += n
	body.holder.held += n
	b.held += n
	return victims, nil
}

// findVictims chooses the bodies to evict so that body can hold n more bytes. It returns false if there aren't enough, or if it
// would have to choose body itself. Nothing is changed until the choice is complete: holder.next and holder.freed keep it meanwhile.
func (b *Budget) findVictims(body *Body, n int64) ([]*Body, bool) {
	for _, h := range b.holders {
		h.next, h.freed = h.arriving.Front(), 0
	}
	own := body.holder
	var victims []*Body
	for held := b.held; held+n > b.Limit || own.held-own.freed+n > MaxBody(b.Limit); {
		// A holder that exceeds its share makes room by its own bodies.
		h := own
		if own.held-own.freed+n <= MaxBody(b.Limit) {
			h = b.heaviest(own, n)
		}
		if h == nil || h.next == nil || h.next == body.element {
			return nil, false
		}
		v := h.next.Value.(*Body)
		victims = append(victims, v)
		h.next = h.next.Next()
		h.freed += v.held
		held -= v.held
	}
	return victims, true
}

// heaviest returns the holder with the most bytes among own, which is about to hold n more, and those that have a body to evict.
// Others come before own if they hold as much, and of those the one whose next body has gone without a byte for longer: otherwise
// many clients with little each would keep out a new one.
func (b *Budget) heaviest(own *holder, n int64) *holder {
	var best *holder
	for _, h := range b.holders {
		if h != own && h.next != nil && (best == nil || h.evictedBefore(best)) {
			best = h
		}
	}
	if own != nil && (best == nil || own.held-own.freed+n > best.held-best.freed) {
		return own
	}
	return best
}

// evictedBefore reports whether h loses its next body before another holder loses its own.
func (h *holder) evictedBefore(other *holder) bool {
	if mine, others := h.held-h.freed, other.held-other.freed; mine != others {
		return mine > others
	}
	mine, others := h.next.Value.(*Body).progress, other.next.Value.(*Body).progress
	if !mine.Equal(others) {
		return mine.Before(others)
	}
	return h.name < other.name
}

// Evict evicts the body that comes first in the order of eviction, and returns nil if all are complete. It serves callers that
// run out of something else than memory, such as connections.
func (b *Budget) Evict() *Body {
	for _, h := range b.holders {
		h.next, h.freed = h.arriving.Front(), 0
	}
	h := b.heaviest(nil, 0)
	if h == nil {
		return nil
	}
	body := h.next.Value.(*Body)
	b.Release(body)
	return body
}

// Complete notes that a body has arrived, so that it is not evicted any more.
func (b *Budget) Complete(body *Body) {
	if body.element != nil {
		body.holder.arriving.Remove(body.element)
		body.element = nil
	}
}

// Release removes a body. It does nothing for a body that was evicted or released before.
func (b *Budget) Release(body *Body) {
	h := body.holder
	if h == nil {
		return
	}
	b.Complete(body)
	h.held -= body.held
	b.held -= body.held
	b.bodies--
	if h.bodies--; h.bodies == 0 {
		delete(b.holders, h.name)
	}
	body.holder, body.held = nil, 0
}
