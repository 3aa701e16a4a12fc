package claim

import "wagtailhoist/core/model"

// Call is the kind of a store call.
type Call uint8

// Calls to the store.
const (
	// List reads all segments of the shard.
	List Call = iota
	// Read reads one segment.
	Read
	// Write sets one segment if it has the step's version (0: if it does not exist).
	Write
	// Delete removes one segment if it has the step's version.
	Delete
)

// Step is a store call that the log needs next.
type Step struct {
	Call    Call
	Number  uint64
	Version uint64
	Value   []byte

	purpose purpose
	entries []Entry
	ops     []*Op
	sealed  bool
}

type purpose uint8

const (
	refresh purpose = iota // read the head again
	follow                 // read the segment after the head
	verify                 // read the segment before the head again
	appends                // append to the head
	create                 // create the segment after the head
	prune                  // delete the first segment
)

// Status is how a store call ended.
type Status uint8

// Statuses of a store call.
const (
	// OK means that the call took effect and was answered.
	OK Status = iota
	// Conflict means that the key has another version.
	Conflict
	// Missing means that the key does not exist.
	Missing
	// Unknown means that no answer came; a change may have taken effect or may do so later.
	Unknown
)

// Stored is a segment as the store holds it.
type Stored struct {
	Number  uint64
	Version uint64
	Value   []byte
}

// Reply is the answer to a step.
type Reply struct {
	Status Status
	// Version is the new version after a Write.
	Version uint64
	// Segments holds the answer of a Read (one segment) or a List (in the order of numbers).
	Segments []Stored
}

// Verdict is what became of an operation.
type Verdict uint8

// Verdicts.
const (
	// Open operations are not decided yet.
	Open Verdict = iota
	// Granted means that the attempt holds the key.
	Granted
	// Duplicate means that another attempt holds the key.
	Duplicate
	// Released means that the attempt does not hold the key and can't come to hold it.
	Released
	// Abandoned means that the store gave no answer in time; the log releases the key later if need be.
	Abandoned
)

// Op is a claim or a release that the log is asked for.
type Op struct {
	Hash    Hash
	Attempt model.Attempt
	Release bool

	// Verdict is set once the operation is decided.
	Verdict Verdict
	// Holder is the claim that a duplicate met.
	Holder Entry

	// seen says that the end of the log was read since the operation began.
	seen bool
}
