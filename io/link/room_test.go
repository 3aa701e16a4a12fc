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
