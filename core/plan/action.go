package plan

import (
	"fmt"
	"time"

	"wagtailhoist/core/model"
)

// Verb is the kind of an action.
type Verb uint8

// The verbs of actions.
const (
	// Start runs a gang on the slots of the action.
	Start Verb = iota + 1
	// Checkpoint saves the work of a job, stops it and puts it back into the queue.
	Checkpoint
	// Stop ends a job and puts it back into the queue, unless it was cancelled.
	Stop
	// Move checkpoints a job, which is then started on other slots.
	Move
	// Reserve reserves slots for a queued job.
	Reserve
	// Anchored moves the anchor of a guarantee to other workers.
	Anchored
)

// String names the verb.
func (v Verb) String() string {
	names := [...]string{"none", "start", "checkpoint", "stop", "move", "reserve", "anchor"}
	if int(v) < len(names) {
		return names[v]
	}
	return "unknown"
}

// Action is one step of a decision.
type Action struct {
	Verb Verb        `cbor:"1,keyasint" json:"verb"`
	Job  model.JobID `cbor:"2,keyasint,omitempty" json:"job,omitempty"`
	// Run is the number of the run that a start begins or that a stop ends.
	Run   int    `cbor:"3,keyasint,omitempty" json:"run,omitempty"`
	Slots []Slot `cbor:"4,keyasint,omitempty" json:"slots,omitempty"`
	// Anchored says that the job starts on the anchors of its guarantee.
	Anchored bool `cbor:"5,keyasint,omitempty" json:"anchored,omitempty"`
	// Expected is the estimated run time of the job that is started.
	Expected time.Duration `cbor:"6,keyasint,omitempty" json:"expected,omitempty"`
	// ForJob names the job that needs the accelerators or, for a start as backfill, the reserved job that it runs ahead
	// of.
	ForJob model.JobID `cbor:"7,keyasint,omitempty" json:"for,omitempty"`
	// Deadline is the time by which a stopped job must have ended, or at which a reserved job is expected to start.
	Deadline time.Time `cbor:"8,keyasint" json:"by,omitzero"`
	// Team and Guarantee name the guarantee whose anchor moves.
	Team      model.Team `cbor:"9,keyasint,omitempty" json:"team,omitempty"`
	Guarantee string     `cbor:"10,keyasint,omitempty" json:"guarantee,omitempty"`
	// Reason is set if the job is stopped because of its memory usage or of an evacuation.
	Reason Reason `cbor:"11,keyasint,omitempty" json:"why,omitzero"`
}

// Waiting is a job that is not running and the reason for it.
type Waiting struct {
	Job    model.JobID `cbor:"1,keyasint" json:"job"`
	Reason Reason      `cbor:"2,keyasint" json:"reason"`
}

// Decision is the result of Decide: the actions to take and the reasons of the jobs that wait.
type Decision struct {
	Actions    []Action    `cbor:"1,keyasint" json:"actions"`
	Waiting    []Waiting   `cbor:"2,keyasint" json:"waiting"`
	Shortfalls []Shortfall `cbor:"3,keyasint" json:"shortfalls"`
	// NextDecision is the time at which to decide again even if no event occurs; zero means never.
	NextDecision time.Time `cbor:"4,keyasint" json:"wake,omitzero"`
}

// scheduleNext moves NextDecision forward to at, if at is earlier.
func (d *Decision) scheduleNext(at time.Time) {
	if d.NextDecision.IsZero() || at.Before(d.NextDecision) {
		d.NextDecision = at
	}
}

// Code is the kind of a reason.
type Code uint8

// The codes of reasons. Those from TooLarge on, except MemoryExceeded and StartEvacuated, are final.
const (
	// NoRoom means that too few accelerators are free.
	NoRoom Code = iota + 1
	// Scattered means that enough accelerators are free, but they don't satisfy the adjacency of the shape.
	Scattered
	// Quota means that the team already uses its quota.
	Quota
	// Reserving means that accelerators are reserved for the job, which starts when they become free.
	Reserving
	// Reclaiming means that borrowers are being stopped to make room for the job.
	Reclaiming
	// QueuedBehind means that the job is too far down the queue to be tried in this decision.
	QueuedBehind
	// GuaranteeInUse means that other jobs already use the guarantee.
	GuaranteeInUse
	// GuaranteeShortfall means that the guarantee has a shortfall.
	GuaranteeShortfall
	// BelowHeadroom means that the job would leave too few accelerators that can be reclaimed in time for urgent work.
	BelowHeadroom
	// RackKeptFree means that only the rack that is kept free of unmovable work has room for the job.
	RackKeptFree
	// BeingStopped means that the job is being stopped.
	BeingStopped
	// TooLarge means that no worker, rack or data centre can hold the shape.
	TooLarge
	// LargerThanQuota means that the job alone is larger than the quota of its team.
	LargerThanQuota
	// UnknownGuarantee means that the team has no guarantee of that name.
	UnknownGuarantee
	// ExceedsGuarantee means that the shape of the job is larger than its guarantee.
	ExceedsGuarantee
	// InvalidShape means that the shape is malformed.
	InvalidShape
	// UnknownTeam means that the team is not declared.
	UnknownTeam
	// FailsEverywhere means that the job has failed too often to be started again.
	FailsEverywhere
	// MemoryExceeded means that the job was stopped because it used more memory than it declared and its worker ran
	// short of memory. Need and Have are the observed and the declared gigabytes of a task.
	MemoryExceeded
	// StartEvacuated means that the job was stopped before it ran, because its data centre was evacuated.
	StartEvacuated
)

// String names the code.
func (c Code) String() string {
	names := [...]string{
		"none", "no room", "scattered", "quota", "reserving", "reclaiming", "behind", "guarantee in use",
		"shortfall", "headroom", "kept off the cleanest rack", "leaving", "too large", "over quota", "no guarantee", "not covered", "bad shape",
		"no team", "fails everywhere", "stopped for exceeding its declared memory", "not started",
	}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// Reason says why a job waits or can't run.
type Reason struct {
	Code Code `cbor:"1,keyasint" json:"code"`
	// Need and Have count accelerators; for FailsEverywhere they count workers that the job failed on.
	Need int `cbor:"2,keyasint,omitempty" json:"need,omitempty"`
	Have int `cbor:"3,keyasint,omitempty" json:"have,omitempty"`
	// Until is the expected end of the wait, if it can be estimated.
	Until time.Time `cbor:"4,keyasint" json:"until,omitzero"`
	// Job names the job that goes first.
	Job model.JobID `cbor:"5,keyasint,omitempty" json:"job,omitempty"`
	// Guarantee names the guarantee that the job asks for.
	Guarantee string `cbor:"6,keyasint,omitempty" json:"guarantee,omitempty"`
	// Evacuated names the evacuated data centres, separated by commas, that have room for the job.
	Evacuated string `cbor:"7,keyasint,omitempty" json:"evacuated,omitempty"`
}

// Permanent reports whether the job can never run unless the job, the fleet or the declaration changes.
func (r Reason) Permanent() bool {
	return r.Code >= TooLarge && r.Code != MemoryExceeded && r.Code != StartEvacuated
}

// String describes the reason for operators.
func (r Reason) String() string {
	s := r.Code.String()
	if r.Code == MemoryExceeded {
		return s + fmt.Sprintf(": used %d GB, declared %d GB", r.Need, r.Have)
	}
	if r.Need > 0 {
		s += fmt.Sprintf(": needs %d, has %d", r.Need, r.Have)
	}
	if r.Guarantee != "" {
		s += fmt.Sprintf(", guarantee %q", r.Guarantee)
	}
	if r.Job != "" {
		s += fmt.Sprintf(", after job %q", r.Job)
	}
	if r.Evacuated != "" {
		s += ", data centre evacuated: " + r.Evacuated
	}
	if !r.Until.IsZero() {
		s += ", until " + r.Until.UTC().Format(time.RFC3339)
	}
	return s
}

// Cause is the kind of a shortfall or conflict.
type Cause uint8

// The causes of shortfalls and conflicts.
const (
	// TooFewAccelerators means that the usable workers of the data centre have too few accelerators for all guarantees.
	TooFewAccelerators Cause = iota + 1
	// NoAdjacentBlock means that there are enough accelerators, but they don't satisfy the adjacency of the guarantee.
	NoAdjacentBlock
	// NotPreemptible means that running work on the accelerators can't be stopped within the grace of the guarantee.
	NotPreemptible
	// NoSuchCentre means that the data centre has no workers.
	NoSuchCentre
	// AboveQuota means that the guarantees of a team exceed its quota.
	AboveQuota
	// InvalidGuarantee means that the guarantee is malformed.
	InvalidGuarantee
	// WorkersLost means that workers are lost or quarantined.
	WorkersLost
	// CentreEvacuated means that only an evacuated data centre has room.
	CentreEvacuated
)

// String names the cause.
func (c Cause) String() string {
	names := [...]string{
		"none", "too few accelerators", "no adjacent block", "pinned work", "no such data centre", "above quota",
		"invalid guarantee", "workers lost", "data centre evacuated",
	}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// Shortfall reports a guarantee that currently has no anchor, so that it could not be claimed.
type Shortfall struct {
	Team      model.Team `cbor:"1,keyasint" json:"team"`
	Guarantee string     `cbor:"2,keyasint" json:"guarantee"`
	Cause     Cause      `cbor:"3,keyasint" json:"cause"`
	Since     time.Time  `cbor:"4,keyasint" json:"since"`
	// Workers names the lost or quarantined workers that caused the shortfall, if the cause is WorkersLost.
	Workers []model.WorkerID `cbor:"5,keyasint,omitempty" json:"workers,omitempty"`
	// Jobs names the jobs that hold the accelerators, if the cause is NotPreemptible.
	Jobs []model.JobID `cbor:"6,keyasint,omitempty" json:"jobs,omitempty"`
	// Centre is the evacuated data centre that has room, if the cause is CentreEvacuated.
	Centre model.Centre `cbor:"7,keyasint,omitempty" json:"centre,omitempty"`
}

// CauseText returns the cause, with the data centre if that is evacuated.
func (s *Shortfall) CauseText() string {
	if s.Centre == "" {
		return s.Cause.String()
	}
	return s.Cause.String() + ": " + string(s.Centre)
}
