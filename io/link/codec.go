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

// Error returns the kind of the frame and the cause.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed frame of kind %d: %v", e.Kind, e.Cause)
}

// Unwrap returns the cause of the decoding failure.
func (e *MalformedError) Unwrap() error { return e.Cause }

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

// newEncoder returns an encoder that writes times in microseconds.
func newEncoder() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// newDecoder limits nesting and the number of elements, because the sender of a frame may be faulty.
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

// Encode appends the kind and the CBOR encoding of f to buf.
func Encode(buf *bytes.Buffer, f Frame) error {
	buf.WriteByte(byte(f.Kind()))
	return encoder.MarshalToBuffer(f, buf)
}

// Decode returns the frame encoded in b. An error is a *MalformedError.
func Decode(b []byte) (Frame, error) {
	if len(b) == 0 {
		return nil, &MalformedError{Cause: fmt.Errorf("message is empty")}
	}
	kind := Kind(b[0])
	decodeFrame, ok := decoders[kind]
	if !ok {
		return nil, &MalformedError{Kind: kind, Cause: fmt.Errorf("kind is unknown")}
	}
	f, err := decodeFrame(b[1:])
	if err != nil {
		return nil, &MalformedError{Kind: kind, Cause: err}
	}
	return f, nil
}

// decodeAs decodes the CBOR part of a frame of type F.
func decodeAs[F Frame](b []byte) (Frame, error) {
	var f F
	if err := decoder.Unmarshal(b, &f); err != nil {
		return nil, err
	}
	return f, nil
}
