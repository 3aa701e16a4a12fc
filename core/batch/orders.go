package batch

import (
	"strconv"
	"strings"
	"time"
)

// Readiness is what a worker says of itself.
type Readiness uint8

// Readiness of a worker.
const (
	WorkerReady Readiness = iota
	// WorkerDraining is a worker that finishes what it runs and takes nothing new.
	WorkerDraining
	// WorkerDeparted is a worker that has left; nothing runs there any more.
	WorkerDeparted
)

// Worker describes one incarnation of a worker.
type Worker struct {
	// ID names the incarnation by its node, the worker's own name and its birth (WorkerID); it is never used again.
	ID string `cbor:"1,keyasint"`
	// Node names the process beside the worker; two incarnations of a node don't live at a time.
	Node     string   `cbor:"2,keyasint"`
	Service  string   `cbor:"3,keyasint"`
	Centre   string   `cbor:"4,keyasint,omitempty"`
	Labels   []string `cbor:"5,keyasint,omitempty"`
	Capacity Amount   `cbor:"6,keyasint"`
	// Readiness and MinTimeLeft apply together: MinTimeLeft is the least time that a draining worker goes on.
	Readiness   Readiness     `cbor:"7,keyasint,omitempty"`
	MinTimeLeft time.Duration `cbor:"8,keyasint,omitempty"`
	// Born orders the incarnations of a node, in milliseconds since 1970.
	Born int64 `cbor:"9,keyasint,omitempty"`
}

// WorkerID returns the name of an incarnation. It carries the node and the birth, so that an owner that finds
// it in a record knows when a later incarnation has replaced it.
func WorkerID(node, name string, born int64) string {
	return node + "/" + name + "@" + strconv.FormatInt(born, 10)
}

// ParseWorkerID returns the node, the worker's own name and the birth of an incarnation, or empty values for another form.
func ParseWorkerID(id string) (node, name string, born int64) {
	node, rest, _ := strings.Cut(id, "/")
	name, birth, _ := strings.Cut(rest, "@")
	born, err := strconv.ParseInt(birth, 10, 64)
	if err != nil {
		return "", "", 0
	}
	return node, name, born
}

// RunID names a run of a task.
type RunID struct {
	Task TaskID `cbor:"1,keyasint"`
	Run  int    `cbor:"2,keyasint"`
}

// RunStatus is a run that a worker lists.
type RunStatus struct {
	RunID
	Checkpoint string `cbor:"3,keyasint,omitempty"`
	Percent    int    `cbor:"4,keyasint,omitempty"`
	// Load is the tail latency in ms of a long-running task, or the thousandths of a core in use.
	Load float64 `cbor:"5,keyasint,omitempty"`
}

// Cause says how a run ended.
type Cause string

// Causes of the end of a run.
const (
	EndDone    Cause = "done"
	EndFailed  Cause = "failed"
	EndStopped Cause = "stopped"
	// EndLeaseExpired runs were not kept alive by their owner.
	EndLeaseExpired Cause = "lapsed"
	// EndGangMemberEnded runs ended with another member of their gang, EndGangIncomplete runs waited too long for one.
	EndGangMemberEnded Cause = "broken"
	EndGangIncomplete  Cause = "alone"
	// EndWorkerLost runs were on a worker that is gone or whose lease has run out.
	EndWorkerLost Cause = "lost"
	// EndNeverStarted runs never began and never will.
	EndNeverStarted Cause = "absent"
)

// End is the end of a run that a worker lists until it is acknowledged.
type End struct {
	// Number counts the ends of a worker's incarnation from 1.
	Number uint64 `cbor:"6,keyasint"`
	RunID
	Cause      Cause  `cbor:"4,keyasint"`
	Checkpoint string `cbor:"5,keyasint,omitempty"`
}

// Refusal reasons that workers and agents give.
const (
	RefusedFence      = "fence"
	RefusedNoCapacity = "room"
	RefusedStaleRun   = "old"
	RefusedLate       = "late"
	RefusedTicket     = "ticket"
	RefusedDraining   = "draining"
	// RefusedBusy is the answer of a worker that is unhealthy.
	RefusedBusy = "busy"
	// RefusedStopped confirms the stop of a run that never began.
	RefusedStopped = "stopped"
	RefusedInvalid = "invalid"
)

// Refusal reports a run that isn't on the worker and never will be.
type Refusal struct {
	RunID
	Reason string `cbor:"3,keyasint"`
}

// Report is what an agent tells the owner of its worker.
type Report struct {
	// Sequence numbers the reports of a session; the lease that answers it counts from its sending.
	Sequence uint64 `cbor:"1,keyasint"`
	Worker   Worker `cbor:"2,keyasint"`
	// Listed says that the lists below are from the worker, under the owner's fence.
	Listed  bool        `cbor:"3,keyasint,omitempty"`
	Running []RunStatus `cbor:"4,keyasint,omitempty"`
	Ended   []End       `cbor:"5,keyasint,omitempty"`
	Refused []Refusal   `cbor:"6,keyasint,omitempty"`
}

// StartOrder orders a run.
type StartOrder struct {
	RunID
	Spec       string `cbor:"3,keyasint,omitempty"`
	Checkpoint string `cbor:"4,keyasint,omitempty"`
	Ticket     string `cbor:"5,keyasint,omitempty"`
}

// Orders are what the owner tells an agent.
type Orders struct {
	// Fence is the owner's fencing token; higher ones take precedence.
	Fence uint64 `cbor:"1,keyasint"`
	// Sequence is that of the report that the lease answers, 0 if none; Lease counts from the sending of that report.
	Sequence uint64        `cbor:"2,keyasint,omitempty"`
	Lease    time.Duration `cbor:"3,keyasint,omitempty"`
	// Worker is the incarnation that the rest is meant for.
	Worker string `cbor:"4,keyasint,omitempty"`
	// AcknowledgedEnds is the number up to which the ends are acknowledged.
	AcknowledgedEnds uint64       `cbor:"5,keyasint,omitempty"`
	Starts           []StartOrder `cbor:"6,keyasint,omitempty"`
	Stops            []RunID      `cbor:"7,keyasint,omitempty"`
}
