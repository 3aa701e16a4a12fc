package link

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"wagtailhoist/core/model"
)

// ChunkBytes is the largest part of a body that a frame carries, in bytes. Longer bodies are split into several
// frames so that heartbeats and frames of other attempts can be sent between them.
const ChunkBytes = 64 << 10

// MaxBodyBytes is the default limit of the body of a request or an answer, in bytes.
const MaxBodyBytes = 16 << 20

// Sum returns the xxHash checksum of a body.
func Sum(b []byte) uint64 { return xxhash.Sum64(b) }

// BodyError reports a body whose parts do not match the announced length and checksum.
type BodyError struct {
	Attempt model.Attempt
	Reason  string
}

// Error returns the attempt and the reason.
func (e *BodyError) Error() string { return fmt.Sprintf("body of attempt %s: %s", e.Attempt, e.Reason) }

// Body assembles the body of an attempt from its first frame and the Data frames that follow.
type Body struct {
	attempt model.Attempt
	length  int
	sum     uint64
	bytes   []byte
}

// NewBody starts a body of the announced length and checksum with the part that came in the first frame.
func NewBody(a model.Attempt, length int, sum uint64, firstPart []byte) (*Body, error) {
	if length < 0 || length > MaxBodyBytes || len(firstPart) > length {
		return nil, &BodyError{a, fmt.Sprintf("invalid length %d with %d bytes in the first frame", length, len(firstPart))}
	}
	b := &Body{attempt: a, length: length, sum: sum, bytes: firstPart}
	return b, b.verifyChecksum()
}

// Add appends the next part. A link delivers parts in order, so any other offset is an error.
func (b *Body) Add(d Data) error {
	if d.Offset != len(b.bytes) || len(d.Bytes) == 0 || len(d.Bytes) > b.length-len(b.bytes) {
		return &BodyError{b.attempt, fmt.Sprintf("got %d bytes at %d, want offset %d of %d", len(d.Bytes), d.Offset, len(b.bytes), b.length)}
	}
	if capacity := b.CapacityWith(len(d.Bytes)); capacity > cap(b.bytes) {
		b.bytes = append(make([]byte, 0, capacity), b.bytes...)
	}
	b.bytes = append(b.bytes, d.Bytes...)
	return b.verifyChecksum()
}

// CapacityWith returns the memory that the body takes once n more bytes have been added. It grows by what has arrived, because the
// announced length is only a claim of the sender.
func (b *Body) CapacityWith(n int) int {
	need := min(b.length, len(b.bytes)+n)
	if need <= cap(b.bytes) {
		return cap(b.bytes)
	}
	return min(b.length, max(need, 2*cap(b.bytes)))
}

// Complete reports whether all announced bytes have arrived.
func (b *Body) Complete() bool { return len(b.bytes) == b.length }

// Bytes returns the part of the body that has arrived so far.
func (b *Body) Bytes() []byte { return b.bytes }

// verifyChecksum returns an error if all bytes have arrived and their checksum differs from the announced
// one.
func (b *Body) verifyChecksum() error {
	if b.Complete() && Sum(b.bytes) != b.sum {
		return &BodyError{b.attempt, "checksum differs from the announced one"}
	}
	return nil
}

// FirstFramePart returns the part of a body that is sent in the first frame: all of it up to ChunkBytes, otherwise
// nothing.
func FirstFramePart(body []byte) []byte {
	if len(body) > ChunkBytes {
		return nil
	}
	return body
}

// SendBodyFrames sends in Data frames a body that is too long for the first frame.
func (l *Link) SendBodyFrames(a model.Attempt, body []byte) error {
	if len(body) <= ChunkBytes {
		return nil
	}
	for offset := 0; offset < len(body); offset += ChunkBytes {
		if err := l.Send(Data{Attempt: a, Offset: offset, Bytes: body[offset:min(offset+ChunkBytes, len(body))]}); err != nil {
			return err
		}
	}
	return nil
}
