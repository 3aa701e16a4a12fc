package cell

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Stored is the plan as the store holds it; version 0 means that the key does not exist.
type Stored struct {
	Base           []byte
	BaseVersion    uint64
	Changes        []byte
	ChangesVersion uint64
}

// GapError reports a change log that does not continue its base; the two keys were not read at one moment.
type GapError struct{ Base, First uint64 }

// Error names the two revisions.
func (e *GapError) Error() string {
	return fmt.Sprintf("change log begins at revision %d, after base revision %d", e.First, e.Base)
}

// logValue is the value of the change log. After is the plan revision that the first batch follows.
type logValue struct {
	After   uint64  `cbor:"1,keyasint"`
	Batches []Batch `cbor:"2,keyasint"`
}

// Load returns the plan and the change log of a stored cell. A fold that was interrupted between its two
// writes leaves batches in the log that the base already contains; they are skipped.
func Load(s Stored) (*Plan, []Batch, error) {
	plan := &Plan{}
	if s.BaseVersion != 0 {
		if err := cbor.Unmarshal(s.Base, plan); err != nil {
			return nil, nil, fmt.Errorf("decoding the base of the plan: %w", err)
		}
	}
	var log logValue
	if s.ChangesVersion != 0 {
		if err := cbor.Unmarshal(s.Changes, &log); err != nil {
			return nil, nil, fmt.Errorf("decoding the change log: %w", err)
		}
	}
	if log.After > plan.Revision {
		return nil, nil, &GapError{Base: plan.Revision, First: log.After}
	}
	for _, b := range log.Batches {
		if b.Revision > plan.Revision {
			plan.Apply(b)
		}
	}
	return plan, log.Batches, nil
}

// encode returns v as CBOR. The types of this package always encode.
func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encoding %T: %v", v, err))
	}
	return data
}

// EncodeBase returns the value of a base.
func EncodeBase(p *Plan) []byte { return encode(p) }

// EncodeLog returns the value of a change log that follows a plan revision.
func EncodeLog(after uint64, batches []Batch) []byte {
	return encode(logValue{After: after, Batches: batches})
}
