package link

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"wagtailhoist/core/model"
)

// Chunk is the largest part of a body that a frame carries, in bytes. Longer bodies are
// cut so that heartbeats and other attempts share the link with them.
const Chunk = 64 << 10

// MaxBody is the default largest body of a request or an answer, in bytes.
const MaxBody = 16 << 20

// Sum returns the checksum of a body.
func Sum(b []byte) uint64 { return xxhash.Sum64(b) }

// BodyError reports a body whose parts do not add up to the announced length and sum.
type BodyError struct {
	Attempt model.Attempt
	Reason  string
}

// Error describes the body.
func (e *BodyError) Error() string { return fmt.Sprintf("body of attempt %s: %s", e.Attempt, e.Reason) }

// Body collects the body of an attempt from its first frame and the Data frames after it.
type Body struct {
	attempt model.Attempt
	length  int
	sum     uint64
	bytes   []byte
}

// NewBody starts a body of the announced length and sum with the part that came with the first frame.
func NewBody(a model.Attempt, length int, sum uint64, first []byte) (*Body, error) {
	if length < 0 || length > MaxBody || len(first) > length {
		return nil, &BodyError{a, fmt.Sprintf("length %d with %d bytes in the first frame", length, len(first))}
	}
	b := &Body{attempt: a, length: length, sum: sum, bytes: first}
	return b, b.check()
}

// Add appends the next part. Parts arrive in order on a link; any other offset is an error.
func (b *Body) Add(d Data) error {
	if d.Offset != len(b.bytes) || len(d.Bytes) == 0 || len(d.Bytes) > b.length-len(b.bytes) {
		return &BodyError{b.attempt, fmt.Sprintf("%d bytes at %d, want at %d of %d", len(d.Bytes), d.Offset, len(b.bytes), b.length)}
	}
	if b.bytes == nil {
		b.bytes = make([]byte, 0, b.length)
	}
	b.bytes = append(b.bytes, d.Bytes...)
	return b.check()
}

// Whole reports whether all bytes have arrived.
func (b *Body) Whole() bool { return len(b.bytes) == b.length }

// Bytes returns the bytes that have arrived.
func (b *Body) Bytes() []byte { return b.bytes }

func (b *Body) check() error {
	if b.Whole() && Sum(b.bytes) != b.sum {
		return &BodyError{b.attempt, "checksum mismatch"}
	}
	return nil
}

// First returns the part of a body that travels in the first frame: all of a short body, nothing of a long one.
func First(body []byte) []byte {
	if len(body) > Chunk {
		return nil
	}
	return body
}

// SendRest sends the Data frames that First left out.
func (l *Link) SendRest(a model.Attempt, body []byte) error {
	if len(body) <= Chunk {
		return nil
	}
	for at := 0; at < len(body); at += Chunk {
		if err := l.Send(Data{Attempt: a, Offset: at, Bytes: body[at:min(at+Chunk, len(body))]}); err != nil {
			return err
		}
	}
	return nil
}
