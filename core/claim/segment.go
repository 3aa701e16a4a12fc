package claim

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wagtailhoist/core/model"
)

// Entry is an item of a segment: a claim, or the release of one.
type Entry struct {
	_       struct{} `cbor:",toarray"`
	Hash    Hash
	Entry   model.Incarnation // of the entry process that made the attempt
	Serial  uint64            // sequence number of the attempt in that process
	Seconds int64             // since the Unix epoch, rounded down
	Release bool
}

// Attempt returns the attempt that made or released the claim.
func (e Entry) Attempt() model.Attempt {
	return model.Attempt{Entry: e.Entry, Sequence: e.Serial}
}

// Time returns when the entry was created, by the clock of its writer.
func (e Entry) Time() time.Time { return time.Unix(e.Seconds, 0) }

// Segment is the value of one key of the log.
type Segment struct {
	_ struct{} `cbor:",toarray"`
	// Sealed means that the segment is never written again.
	Sealed  bool
	Entries []Entry
}

// Encode returns the stored form of the segment.
func (s Segment) Encode() []byte {
	value, err := cbor.Marshal(s)
	if err != nil {
		panic(err) // can't happen: a segment holds only numbers, booleans and byte strings
	}
	return value
}

// Decode decodes the stored form of a segment.
func Decode(value []byte) (Segment, error) {
	var s Segment
	if err := cbor.Unmarshal(value, &s); err != nil {
		return s, fmt.Errorf("decoding a segment of claims: %w", err)
	}
	return s, nil
}
