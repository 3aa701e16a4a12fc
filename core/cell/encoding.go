package cell

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Stored holds the values and versions of the two keys of a plan in the store: the base, which is an encoded Plan, and
// the change log that follows it. Version 0 means that the key does not exist.
type Stored struct {
	Base           []byte
	BaseVersion    uint64
	Changes        []byte
	ChangesVersion uint64
}

// GapError reports a change log that begins after the revision of its base, because the two keys were not read at the
// same moment.
type GapError struct{ Base, First uint64 }

// Error returns a message that names both revisions.
func (e *GapError) Error() string {
	return fmt.Sprintf("change log begins at revision %d, after base revision %d", e.First, e.Base)
}

// logValue is the stored value of the change log. After is the plan revision that the first batch follows.
type logValue struct {
	After   uint64  `cbor:"1,keyasint"`
	Batches []Batch `cbor:"2,keyasint"`
}

// DecodePlan decodes the plan and the batches of its change log. If folding the log into the base was interrupted between
// the two writes, the log still has batches that the base already contains; DecodePlan does not apply these again.
func DecodePlan(s Stored) (*Plan, []Batch, error) {
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

// encode returns v as CBOR. It panics on an error, which none of the types of this package can cause.
func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encoding %T: %v", v, err))
	}
	return data
}

// EncodeBase returns the stored value of the base that holds p.
func EncodeBase(p *Plan) []byte { return encode(p) }

// EncodeLog returns the stored value of a change log whose first batch follows the plan revision after.
func EncodeLog(after uint64, batches []Batch) []byte {
	return encode(logValue{After: after, Batches: batches})
}
