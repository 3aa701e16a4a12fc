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
	// Write replaces one segment if it has the step's version, or creates it if the version is 0.
	Write
	// Delete removes one segment if it has the step's version.
	Delete
)

// Step is the next store call that the log needs.
type Step struct {
	Call    Call
	Number  uint64 // of the segment
	Version uint64 // that the segment must have, for Write, Delete and the Read that verifies it
	Value   []byte // to be written

	purpose purpose
	entries []Entry
	ops     []*Op
	sealed  bool
}

// purpose is what a step is for; it selects the handler of the reply.
type purpose uint8

const (
	rereadHead     purpose = iota // read the head again
	readNext                      // read the segment after the head
	verifyPrevious                // read the segment before the head again
	appendToHead                  // append to the head
	createNext                    // create the segment after the head
	deleteFirst                   // delete the first segment
)

// Status is the result of a store call.
type Status uint8

// Statuses of a store call.
const (
	// OK means that the call took effect and its answer arrived.
	OK Status = iota
	// Conflict means that the key has another version.
	Conflict
	// Missing means that the key does not exist.
	Missing
	// Unknown means that no answer arrived; a change may have taken effect or may still do so.
	Unknown
)

// StoredSegment is a segment read from the store.
type StoredSegment struct {
	Number  uint64
	Version uint64
	Value   []byte // encoded Segment
}

// Reply is the reply to a step.
type Reply struct {
	Status Status
	// Version is the new version after a Write.
	Version uint64
	// Segments holds the segment of a Read, or those of a List in the order of their numbers.
	Segments []StoredSegment
}

// Outcome is the result of an operation.
type Outcome uint8

// Results of an operation.
const (
	// Open means that the operation is not decided yet.
	Open Outcome = iota
	// Granted means that the attempt holds the key.
	Granted
	// Duplicate means that another attempt holds the key.
	Duplicate
	// Released means that the attempt does not hold the key and no pending write can give it the key.
	Released
	// Abandoned means that the store did not answer in time. If a claim turns out to have taken effect, the log releases
	// the key later.
	Abandoned
)

// Op is a claim or a release for the log to decide.
type Op struct {
	Hash    Hash
	Attempt model.Attempt
	Release bool

	// Outcome is set once the operation is decided.
	Outcome Outcome
	// Holder is the claim that holds the key if Outcome is Duplicate.
	Holder Entry

	// endRead means that the end of the log was read after the operation began.
	endRead bool
}
