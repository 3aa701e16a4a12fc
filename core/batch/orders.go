package batch

import (
	"strconv"
	"strings"
	"time"
)

// Readiness is the state that a worker reports of itself.
type Readiness uint8

// Readiness of a worker.
const (
	// WorkerReady is a worker that accepts runs.
	WorkerReady Readiness = iota
	// WorkerDraining is a worker that finishes its runs and accepts no new ones.
	WorkerDraining
	// WorkerDeparted is a worker that has left; no run exists there any more.
	WorkerDeparted
)

// Worker describes one incarnation of a worker, that is one start of the worker's process.
type Worker struct {
	// ID identifies the incarnation by node, name and start time (see WorkerID). It is never used again.
	ID string `cbor:"1,keyasint"`
	// Node is the name of the agent's process. At most one incarnation of a node exists at a time.
	Node string `cbor:"2,keyasint"`
	// Service is the service whose jobs the worker runs.
	Service string `cbor:"3,keyasint"`
	// Centre is the worker's data centre.
	Centre string `cbor:"4,keyasint,omitempty"`
	// Labels describe the kind of the worker; the last one is its rack.
	Labels    []string  `cbor:"5,keyasint,omitempty"`
	Capacity  Amount    `cbor:"6,keyasint"`
	Readiness Readiness `cbor:"7,keyasint,omitempty"`
	// MinTimeLeft is the shortest time that a draining worker goes on running.
	MinTimeLeft time.Duration `cbor:"8,keyasint,omitempty"`
	// Born is when the incarnation started, in milliseconds since 1970. It orders the incarnations of a node.
	Born int64 `cbor:"9,keyasint,omitempty"`
}

// WorkerID returns the ID of an incarnation: NODE/NAME@BORN. It contains the node and the start time, so that an owner
// that reads the ID from a stored record can tell whether a later incarnation has replaced it.
func WorkerID(node, name string, born int64) string {
	return node + "/" + name + "@" + strconv.FormatInt(born, 10)
}

// ParseWorkerID returns the parts of an ID that WorkerID returned, or zero values for any other text.
func ParseWorkerID(id string) (node, name string, born int64) {
	node, rest, _ := strings.Cut(id, "/")
	name, bornText, _ := strings.Cut(rest, "@")
	born, err := strconv.ParseInt(bornText, 10, 64)
	if err != nil {
		return "", "", 0
	}
	return node, name, born
}

// RunID identifies a run of a task.
type RunID struct {
	Task TaskID `cbor:"1,keyasint"`
	// Run counts the starts of the task, from 1.
	Run int `cbor:"2,keyasint"`
}

// RunStatus is the status of a run in a worker's report.
type RunStatus struct {
	RunID
	// Checkpoint is the last checkpoint, empty if there is none.
	Checkpoint string `cbor:"3,keyasint,omitempty"`
	// Percent is the share of the work that is done.
	Percent int `cbor:"4,keyasint,omitempty"`
	// Load is the tail latency of a long-running task in milliseconds, for other tasks the CPU in use in thousandths of a core.
	Load float64 `cbor:"5,keyasint,omitempty"`
	// Assumed means that the run is listed because its start was answered; the worker hasn't listed it itself yet. A later
	// incarnation with the same name may have given the answer.
	Assumed bool `cbor:"7,keyasint,omitempty"`
}

// Cause is the reason for which a run ended.
type Cause string

// Causes of the end of a run.
const (
	// EndDone is the successful end of a run.
	EndDone Cause = "done"
	// EndFailed is the failure of a run.
	EndFailed Cause = "failed"
	// EndStopped is the end of a run by a stop order.
	EndStopped Cause = "stopped"
	// EndLeaseExpired means that the owner did not renew the worker's lease in time.
	EndLeaseExpired Cause = "lapsed"
	// EndGangMemberEnded means that another member of the run's gang ended.
	EndGangMemberEnded Cause = "broken"
	// EndGangIncomplete means that the run waited too long for the other members of its gang.
	EndGangIncomplete Cause = "alone"
	// EndWorkerLost means that the worker was replaced, has left, or its lease has expired.
	EndWorkerLost Cause = "lost"
	// EndNeverStarted means that the run did not start and never will.
	EndNeverStarted Cause = "absent"
)

// End is the end of a run. A worker reports it until the owner has acknowledged it.
type End struct {
	// Number counts the ends of a worker's incarnation from 1.
	Number uint64 `cbor:"6,keyasint"`
	RunID
	Cause Cause `cbor:"4,keyasint"`
	// Checkpoint is the last checkpoint of the run, empty if there is none.
	Checkpoint string `cbor:"5,keyasint,omitempty"`
}

// Reasons of workers and agents for refusing a start.
const (
	// RefusedFence means that the order has an older fencing token than an earlier one.
	RefusedFence = "fence"
	// RefusedNoCapacity means that the worker has too few free resources.
	RefusedNoCapacity = "room"
	// RefusedStaleRun means that this run or a later one of the task has already ended or been stopped on the worker.
	RefusedStaleRun = "old"
	// RefusedLate means that the lease or the deadline of the start has expired.
	RefusedLate = "late"
	// RefusedTicket means that the ticket is missing or not valid.
	RefusedTicket = "ticket"
	// RefusedDraining means that the worker accepts no new runs.
	RefusedDraining = "draining"
	// RefusedEvacuated means that the worker's data centre is evacuated.
	RefusedEvacuated = "evacuated"
	// RefusedUnhealthy means that the worker is unhealthy.
	RefusedUnhealthy = "busy"
	// RefusedStopped confirms a stop order for a run that did not start.
	RefusedStopped = "stopped"
	// RefusedInvalid means that the worker rejected the request as malformed.
	RefusedInvalid = "invalid"
)

// Refusal reports a run that isn't on the worker and will not start there.
type Refusal struct {
	RunID
	Reason string `cbor:"3,keyasint"`
}

// Report is an agent's periodic message to the owner about its worker.
type Report struct {
	// Sequence numbers the reports of a session. The lease in the answer starts when the report was sent.
	Sequence uint64 `cbor:"1,keyasint"`
	Worker   Worker `cbor:"2,keyasint"`
	// Listed reports whether the worker itself returned the lists below, under the owner's fencing token.
	Listed  bool        `cbor:"3,keyasint,omitempty"`
	Running []RunStatus `cbor:"4,keyasint,omitempty"`
	Ended   []End       `cbor:"5,keyasint,omitempty"`
	Refused []Refusal   `cbor:"6,keyasint,omitempty"`
	// MoreEnds reports whether the worker may have more ends than Ended holds. A run that is missing from both lists may then
	// have ended.
	MoreEnds bool `cbor:"7,keyasint,omitempty"`
	// ColdTime is how much longer the worker is slow because it has started recently.
	ColdTime time.Duration `cbor:"8,keyasint,omitempty"`
	// Unanswered lists the starts under the worker's name that may still be carried out, also those of its earlier incarnations.
	Unanswered []UnansweredStart `cbor:"9,keyasint,omitempty"`
	// Recorded is for how long the agent has recorded its attempts at starts.
	Recorded time.Duration `cbor:"10,keyasint,omitempty"`
}

// UnansweredStart is a start of which an attempt had no answer, so that it may still be carried out.
type UnansweredStart struct {
	RunID
	// Age is how long ago the last of these attempts ended.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// StartOrder tells an agent to start a run.
type StartOrder struct {
	RunID
	// Spec is that of the job.
	Spec string `cbor:"3,keyasint,omitempty"`
	// Checkpoint is where the run resumes; empty means from the beginning.
	Checkpoint string `cbor:"4,keyasint,omitempty"`
	// Ticket permits the run on the worker; it is empty if the queue requires none.
	Ticket string `cbor:"5,keyasint,omitempty"`
}

// startOrderOverhead is the most that the encoding of a StartOrder adds to its texts, in bytes.
const startOrderOverhead = 64

// Size returns the size of the encoded order in bytes, or somewhat more.
func (o *StartOrder) Size() int {
	return len(o.Task.Job) + len(o.Spec) + len(o.Checkpoint) + len(o.Ticket) + startOrderOverhead
}

// Orders is a message from the owner to an agent.
type Orders struct {
	// Fence is the owner's fencing token. Orders with a lower token than one already received are refused.
	Fence uint64 `cbor:"1,keyasint"`
	// Sequence is that of the report which this message answers, 0 if none.
	Sequence uint64 `cbor:"2,keyasint,omitempty"`
	// Lease is how long the worker's runs may go on, from the sending of the answered report; 0 means no extension.
	Lease time.Duration `cbor:"3,keyasint,omitempty"`
	// Worker is the incarnation to which the fields below apply.
	Worker string `cbor:"4,keyasint,omitempty"`
	// AcknowledgedEnds acknowledges all ends up to this number.
	AcknowledgedEnds uint64       `cbor:"5,keyasint,omitempty"`
	Starts           []StartOrder `cbor:"6,keyasint,omitempty"`
	Stops            []RunID      `cbor:"7,keyasint,omitempty"`
}
