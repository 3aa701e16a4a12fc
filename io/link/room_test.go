package link

import (
	"bytes"
	"encoding/binary"
	"errors"
	"testing"
	"time"

	"wagtailhoist/core/config"
)

// Peers that begin long frames and stop must not use up the memory: a whole frame of another peer must arrive beside them, and the
// frames must stay within the limit.
func TestStalledFramesGiveWay(t *testing.T) {
	s := Settings{Token: "t", Counters: new(Counters), Frames: &FrameBudget{Limit: MinFrameBudget}}
	const frameBytes, sent = 3 << 20, 2 << 20
	begin := append([]byte{0x82, 0x80 | 127}, binary.BigEndian.AppendUint64(nil, frameBytes)...)
	begin = append(begin, 0, 0, 0, 0) // the mask
	begin = append(begin, bytes.Repeat([]byte{0}, sent)...)
	// Eight frames of which 2 MiB have arrived exceed the limit of 12 MiB.
	for range 8 {
		near, far := pair(t, s)
		go func() { _, _ = far.Receive() }()
		if _, err := near.ws.NetConn().Write(begin); err != nil && s.Counters.NoRoom.Load() == 0 {
			t.Fatal(err)
		}
	}
	for end := time.Now().Add(10 * time.Second); s.Counters.NoRoom.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("links closed for lack of room: got none, want some; %d bytes held", s.Frames.Held())
		}
	}
	other := s
	other.Self.Node = "other"
	near, far := pair(t, other)
	go func() { _ = near.Send(Config{Document: make([]byte, 2<<20), Message: config.Message{}}) }()
	if _, err := far.Receive(); err != nil {
		t.Errorf("whole frame beside stalled ones: got %v, want no error", err)
	}
	if got := s.Frames.Held(); got > MinFrameBudget {
		t.Errorf("bytes held: got %d, want at most %d", got, MinFrameBudget)
	}
}

// The frame of the largest size must arrive while there is no other, and its memory must be returned.
func TestLargestFrameFitsIntoTheLeastBudget(t *testing.T) {
	s := Settings{Token: "t", Frames: &FrameBudget{Limit: MinFrameBudget}}
	near, far := pair(t, s)
	for range 3 {
		go func() { _ = near.Send(Config{Document: make([]byte, maxFrameBytes-100)}) }()
		if _, err := far.Receive(); err != nil {
			t.Fatalf("largest frame: got %v, want no error", err)
		}
	}
	if got := s.Frames.Held(); got != 0 {
		t.Errorf("bytes held: got %d, want 0", got)
	}
	if err := s.Frames.hold(near, 2*MinFrameBudget); !errors.As(err, new(*FrameRoomError)) {
		t.Errorf("frame beyond the budget: got %v, want a FrameRoomError", err)
	}
}

// Frames that are each short must be bounded together where many links are open: 1,500 frames of 128 KiB exceed the memory of the
// smallest machine.
func TestShortFramesAreCounted(t *testing.T) {
	const limit, frameBytes, links = 1 << 20, 100 << 10, 16
	s := Settings{Token: "t", Counters: new(Counters), Frames: &FrameBudget{Limit: limit, Free: 4 << 10}}
	begin := append([]byte{0x82, 0x80 | 127}, binary.BigEndian.AppendUint64(nil, frameBytes)...)
	begin = append(begin, make([]byte, 4+frameBytes-1)...)
	for range links {
		near, far := pair(t, s)
		go func() { _, _ = far.Receive() }()
		// The far end may close the link meanwhile.
		_, _ = near.ws.NetConn().Write(begin)
	}
	for end := time.Now().Add(10 * time.Second); s.Counters.NoRoom.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("links closed for lack of room: got none, want some; %d bytes held", s.Frames.Held())
		}
	}
	if got := s.Frames.Held(); got > limit {
		t.Errorf("bytes held: got %d, want at most %d", got, limit)
	}
}

// The buffer of a frame must have its memory of the budget before it grows, and must not be larger than the largest frame.
func TestBufferHoldsItsMemoryBeforeItGrows(t *testing.T) {
	const limit = 1 << 20
	s := Settings{Token: "t", Frames: &FrameBudget{Limit: limit, Free: 4 << 10}}
	_, far := pair(t, s)
	// One holder gets three quarters of the limit, so that the buffer can't grow to the whole of it.
	buf, err := far.readPart(bytes.NewReader(make([]byte, limit)), nil, limit)
	if !errors.As(err, new(*FrameRoomError)) || cap(buf) > limit/2 {
		t.Errorf("frame beyond the budget: got a buffer of %d bytes and %v, want at most %d and a FrameRoomError", cap(buf), err, limit/2)
	}
	far.frames.release(far)
	far.frames = nil
	buf, err = far.readPart(bytes.NewReader(make([]byte, maxFrameBytes)), nil, maxFrameBytes)
	if err != nil || len(buf) != maxFrameBytes || cap(buf) > maxFrameBytes+1 {
		t.Errorf("largest frame: got %d bytes in a buffer of %d and %v, want %d", len(buf), cap(buf), err, maxFrameBytes)
	}
}
