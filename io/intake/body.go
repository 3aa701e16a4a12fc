package intake

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"wagtailhoist/core/budget"
)

const (
	// DefaultLimit is the memory budget of a Bodies that sets none. With the bound on connections it keeps a process within
	// 150 MB: 21 MB without load, 2,048 connections of 20 to 30 KB, and this.
	DefaultLimit = 12 << 20
	// MaxArrival bounds the time in which a body arrives, whatever its caller's deadline is.
	MaxArrival = 30 * time.Second
	// minChunk and maxChunk bound the parts of which a body's buffer consists. Each further part is as large as what has arrived,
	// so that a body takes at most twice its size, and at most maxChunk more.
	minChunk = 1 << 10
	maxChunk = 16 << 10
	// smallRead is the number of bytes below which a read counts as small, and freeSmallReads the number of those before a body
	// has to pause.
	smallRead      = 64
	freeSmallReads = 16
	// smallReadPause is the pause before a further small read for each body in progress, and maxReadPause bounds it. A small read
	// takes some 10 µs, so those of all bodies together take a tenth of a core at most.
	smallReadPause = 100 * time.Microsecond
	maxReadPause   = 200 * time.Millisecond
)

// lingerTime is how long net/http goes on reading, after the answer, the body of a caller that is refused for lack of room.
const lingerTime = 250 * time.Millisecond

// longAgo is a deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// Bodies reads request bodies within a memory budget. A body is charged for its buffer, which grows as it arrives.
type Bodies struct {
	// Limit is the number of bytes that all bodies may hold; 0 means DefaultLimit. It is set before the first use.
	Limit int64
	// Report is told of evictions; nil reports nothing.
	Report *Reporter

	mu     sync.Mutex
	budget budget.Budget
	// joining is held while a body of several parts is copied into one, so that only one is in memory twice.
	joining sync.Mutex
}

// Body is a body that was read. It holds memory of the budget until Release.
type Body struct {
	bodies  *Bodies
	control *http.ResponseController
	// claim is nil for a request without a body. The mutex of bodies guards it, and parts and evicted while the body arrives.
	claim   *budget.Body
	parts   [][]byte
	evicted bool
	size    int64
	// header is the memory of the request's header, which stays with it.
	header int64
}

// MaxBytes returns the largest body that fits into the budget while there is no other.
func (b *Bodies) MaxBytes() int64 { return budget.MaxBody(b.limit()) }

func (b *Bodies) limit() int64 {
	if b.Limit > 0 {
		return b.Limit
	}
	return DefaultLimit
}

// Held returns the bytes that bodies in progress hold.
func (b *Bodies) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Held()
}

// Read reads the body of a request for a holder, a team or an address. It returns a budget.FullError, EvictedError, LateError,
// TooLargeError or UnreadError; the connection is then closed after the answer. It must be called in the request's handler, which
// releases the body before it returns.
func (b *Bodies) Read(w http.ResponseWriter, r *http.Request, holder string, maxBytes int64, deadline time.Time) (*Body, error) {
	body := &Body{bodies: b, control: http.NewResponseController(w)}
	if r.Body == nil || r.Body == http.NoBody {
		return body, nil
	}
	err := b.read(body, r, holder, maxBytes, deadline)
	if err == nil {
		return body, nil
	}
	b.Report.Refused(Reason(err), holder)
	if body.claim == nil {
		DropBody(w, r)
		return nil, err
	}
	body.Release()
	w.Header().Set("Connection", "close")
	readUntil := longAgo
	var full *budget.FullError
	if errors.As(err, &full) {
		// The caller is still sending. A connection that is closed with unread bytes is reset, and the reset may overtake the answer.
		readUntil = time.Now().Add(lingerTime)
	}
	_ = body.control.SetReadDeadline(readUntil)
	return nil, err
}

// read reads the body of a request into body.
func (b *Bodies) read(body *Body, r *http.Request, holder string, maxBytes int64, deadline time.Time) error {
	if r.ContentLength > maxBytes {
		return &TooLargeError{maxBytes}
	}
	now := time.Now()
	if latest := now.Add(MaxArrival); deadline.After(latest) {
		deadline = latest
	}
	// The deadline is set before the body is admitted: an eviction replaces it. When the body has arrived, net/http removes it.
	_ = body.control.SetReadDeadline(deadline)
	b.admit(now, body, holder)
	body.header = headerSize(r)
	if err := b.grow(body, body.header); err != nil {
		return err
	}
	smallReads := 0
	var free []byte
	for {
		if len(free) == 0 {
			size := max(minChunk, min(maxChunk, body.size))
			// The byte beyond the limit shows that the body is too large.
			size = min(size, maxBytes+1-body.size)
			if r.ContentLength > 0 {
				size = min(size, max(1, r.ContentLength-body.size))
			}
			part := make([]byte, size)
			if err := b.addPart(body, part); err != nil {
				return err
			}
			free = part
		}
		n, err := r.Body.Read(free)
		body.size += int64(n)
		free = free[n:]
		bodies, evicted := b.noteProgress(body, n, err == io.EOF)
		switch {
		case evicted:
			return &EvictedError{}
		case body.size > maxBytes:
			return &TooLargeError{maxBytes}
		case err == io.EOF:
			body.trim(free)
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return &LateError{body.size}
		case err != nil:
			return &UnreadError{err}
		}
		if n >= smallRead {
			continue
		}
		// Many small chunks cost much processor time for few bytes. During the pause more of them arrive.
		if smallReads++; smallReads > freeSmallReads {
			time.Sleep(min(maxReadPause, time.Duration(bodies)*smallReadPause))
		}
	}
}

// admit adds a body to the budget.
func (b *Bodies) admit(now time.Time, body *Body, holder string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Limit = b.limit()
	body.claim = b.budget.Admit(now, holder)
	body.claim.Tag = body
}

// headerLineBytes is the memory of a header line beside its text: entries of a map and a list, and the room that they keep free.
const headerLineBytes = 100

// headerSize returns about the memory that the header of a request takes.
func headerSize(r *http.Request) int64 {
	n := 2 * len(r.RequestURI)
	for key, values := range r.Header {
		n += headerLineBytes + len(key)
		for _, value := range values {
			n += len(value)
		}
	}
	return int64(n)
}

// grow charges a body for n more bytes.
func (b *Bodies) grow(body *Body, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.growLocked(body, n)
}

// addPart charges a body for a further part of its buffer.
func (b *Bodies) addPart(body *Body, part []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.growLocked(body, int64(len(part))); err != nil {
		return err
	}
	body.parts = append(body.parts, part)
	return nil
}

// growLocked charges a body for n more bytes and ends the reads of the bodies that are evicted for it.
func (b *Bodies) growLocked(body *Body, n int64) error {
	if body.evicted {
		return &EvictedError{}
	}
	evicted, err := b.budget.Grow(time.Now(), body.claim, n)
	for _, claim := range evicted {
		claim.Tag.(*Body).evictLocked()
	}
	return err
}

// evictLocked ends the read of a body and drops its buffer. Only the part that the read fills stays in memory until it ends.
func (b *Body) evictLocked() {
	b.evicted = true
	b.parts = nil
	_ = b.control.SetReadDeadline(longAgo)
}

// noteProgress notes that a body has received n bytes and whether these were the last. It returns the number of bodies in progress
// and whether this one was evicted; a complete body isn't evicted any more.
func (b *Bodies) noteProgress(body *Body, n int, complete bool) (bodies int, evicted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case body.evicted:
		return 0, true
	case complete:
		b.budget.Complete(body.claim)
	case n > 0:
		_ = b.growLocked(body, 0)
	}
	return b.budget.Bodies(), false
}

// Evict gives up the body that comes first in the order of eviction, so that its connection is closed. It returns false if all
// bodies have arrived.
func (b *Bodies) Evict() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	claim := b.budget.Evict()
	if claim == nil {
		return false
	}
	claim.Tag.(*Body).evictLocked()
	return true
}

// trim removes the unused end of the last part, which stays charged.
func (b *Body) trim(free []byte) {
	last := len(b.parts) - 1
	b.parts[last] = b.parts[last][:len(b.parts[last])-len(free)]
}

// Size returns the number of bytes of the body.
func (b *Body) Size() int64 { return b.size }

// Bytes returns the body in one piece, which is valid until Release.
func (b *Body) Bytes() []byte {
	switch len(b.parts) {
	case 0:
		return nil
	case 1:
		return b.parts[0]
	}
	b.bodies.joining.Lock()
	defer b.bodies.joining.Unlock()
	whole := make([]byte, 0, b.size)
	for i, part := range b.parts {
		whole = append(whole, part...)
		b.parts[i] = nil
	}
	b.parts = [][]byte{whole}
	return whole
}

// Replace drops the buffer of a body that has arrived and charges it for n bytes instead: the size of what was decoded from it. It
// returns a budget.FullError if there is no room.
func (b *Body) Replace(n int64) error {
	b.parts = nil
	if b.claim == nil {
		return nil
	}
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	return b.bodies.growLocked(b, b.header+n-b.claim.Held())
}

// Release returns the memory of the body to the budget. It may be called more than once.
func (b *Body) Release() {
	b.parts = nil
	if b.claim == nil {
		return
	}
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	b.bodies.budget.Release(b.claim)
}
