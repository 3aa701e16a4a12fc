package link

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MalformedError reports a received frame that cannot be decoded; the link is closed.
type MalformedError struct {
	Kind  Kind
	Cause error
}

// Error describes the frame.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed frame of kind %d: %v", e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// newDecoder bounds nesting and element counts, since a frame is read from a process that may be faulty.
func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  8,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 12,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode appends the wire form of f to buf.
func Encode(buf *bytes.Buffer, f Frame) error {
	buf.WriteByte(byte(f.Kind()))
	return encoder.MarshalToBuffer(f, buf)
}

// Decode returns the frame in b, or a MalformedError.
func Decode(b []byte) (Frame, error) {
	if len(b) == 0 {
		return nil, &MalformedError{Cause: fmt.Errorf("empty message")}
	}
	kind := Kind(b[0])
	read, ok := decoders[kind]
	if !ok {
		return nil, &MalformedError{Kind: kind, Cause: fmt.Errorf("unknown kind")}
	}
	f, err := read(b[1:])
	if err != nil {
		return nil, &MalformedError{Kind: kind, Cause: err}
	}
	return f, nil
}

func decode[F Frame](b []byte) (Frame, error) {
	var f F
	if err := decoder.Unmarshal(b, &f); err != nil {
		return nil, err
	}
	return f, nil
}
