package link

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"wagtailhoist/core/budget"
)

const (
	// DefaultFrameBudget is the default of FrameBudget.Limit: eight frames of the largest size at a time.
	DefaultFrameBudget = 32 << 20
	// MinFrameBudget is the least limit with which a single frame of the largest size fits, which is copied once while its buffer
	// grows.
	MinFrameBudget = 12 << 20
	// freeFrameBytes is the default of FrameBudget.Free: a frame with a part of a body has 64 KiB and a header, and many links may
	// receive one at the same time.
	freeFrameBytes = 128 << 10
	// firstFrameBuffer is the size of a frame's first buffer; most frames have less. framePart is the number of received bytes after
	// which a frame counts as making progress.
	firstFrameBuffer, framePart = 512, 16 << 10
	// maxFrameTime bounds the arrival of a frame. 4 MiB take 30 s at 1.1 Mbit/s; without the bound a byte every few seconds would hold
	// the memory of a frame for ever.
	maxFrameTime = 30 * time.Second
)

// FrameBudget bounds the memory of the frames that are received at the same time over all links that share it. When it is used up, the link
// whose frame has received nothing for the longest time is closed, first among those of the peer that holds the most. A nil FrameBudget
// has no bound.
type FrameBudget struct {
	// Limit is the number of bytes that all frames may hold; 0 means DefaultFrameBudget. It is set before the first use.
	Limit int64
	// Free is the size up to which the buffer of a frame isn't counted; 0 means 128 KiB. It bounds the frames of a process with
	// many links only if it is small. It is set before the first use.
	Free int64

	mu     sync.Mutex
	budget budget.Budget
}

// FrameRoomError reports a frame that was given up because there was no memory for it; the link is closed.
type FrameRoomError struct{ Bytes int64 }

// Error gives the size of the frame's buffer.
func (e *FrameRoomError) Error() string {
	return fmt.Sprintf("no room for a frame: its buffer has %d bytes", e.Bytes)
}

// errFrameLate reports a frame that didn't arrive within maxFrameTime; the link is closed.
var errFrameLate = errors.New("frame not complete in time")

// hold sets the number of bytes that the frame in progress on a link holds. It returns a FrameRoomError if the link has to be closed.
func (f *FrameBudget) hold(l *Link, bytes int64) error {
	if f == nil || bytes <= f.free() {
		return nil
	}
	victims, err := f.grow(l, bytes)
	// Closing a link takes the locks of its listener.
	for _, v := range victims {
		l.counters.NoRoom.Add(1)
		v.Tag.(*Link).Close()
	}
	if err != nil {
		l.counters.NoRoom.Add(1)
		return &FrameRoomError{bytes}
	}
	return nil
}

func (f *FrameBudget) free() int64 {
	if f.Free > 0 {
		return f.Free
	}
	return freeFrameBytes
}

func (f *FrameBudget) grow(l *Link, bytes int64) ([]*budget.Body, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.budget.Limit = f.Limit; f.Limit == 0 {
		f.budget.Limit = DefaultFrameBudget
	}
	now := time.Now()
	if l.frame == nil {
		l.frame = f.budget.Admit(now, string(l.peer.Node))
		l.frame.Tag = l
	}
	return f.budget.Grow(now, l.frame, bytes-l.frame.Held())
}

// release returns the memory of the frame in progress on a link.
func (f *FrameBudget) release(l *Link) {
	if f == nil || l.frame == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.Release(l.frame)
	l.frame = nil
}

// Held returns the bytes that frames in progress hold.
func (f *FrameBudget) Held() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget.Held()
}
