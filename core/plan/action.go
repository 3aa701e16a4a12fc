package plan

import (
	"fmt"
	"time"

	"wagtailhoist/core/model"
)

// Verb is the kind of an action.
type Verb uint8

// Verbs of actions.
const (
	// Start runs a gang on its slots.
	Start Verb = iota + 1
	// Checkpoint saves the work of a job, stops it and queues it again.
	Checkpoint
	// Stop ends a job; it is queued again unless it was cancelled.
	Stop
	// Move checkpoints a job that is then started on other slots.
	Move
	// Reserve keeps slots for a job that waits.
	Reserve
	// Anchored puts a guarantee on other workers.
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
	// Run is the number that a start gives the job, or that of the run that ends.
	Run   int    `cbor:"3,keyasint,omitempty" json:"run,omitempty"`
	Slots []Slot `cbor:"4,keyasint,omitempty" json:"slots,omitempty"`
	// Anchored says that the job starts on the anchors of its guarantee.
	Anchored bool `cbor:"5,keyasint,omitempty" json:"anchored,omitempty"`
	// Expected is the estimated run time of a start.
	Expected time.Duration `cbor:"6,keyasint,omitempty" json:"expected,omitempty"`
	// ForJob names the job that needs the accelerators.
	ForJob model.JobID `cbor:"7,keyasint,omitempty" json:"for,omitempty"`
	// Deadline is the time by which a stopped job has to have left, or a reserved job is expected to start.
	Deadline time.Time `cbor:"8,keyasint" json:"by,omitzero"`
	// Team and Guarantee name the guarantee that is put on other workers.
	Team      model.Team `cbor:"9,keyasint,omitempty" json:"team,omitempty"`
	Guarantee string     `cbor:"10,keyasint,omitempty" json:"guarantee,omitempty"`
	// Reason is set for a stop on account of the job's usage.
	Reason Reason `cbor:"11,keyasint,omitempty" json:"why,omitzero"`
}

// Waiting is a job that is not running, with the reason.
type Waiting struct {
	Job    model.JobID `cbor:"1,keyasint" json:"job"`
	Reason Reason      `cbor:"2,keyasint" json:"reason"`
}

// Decision is the result of Decide.
type Decision struct {
	Actions    []Action    `cbor:"1,keyasint" json:"actions"`
	Waiting    []Waiting   `cbor:"2,keyasint" json:"waiting"`
	Shortfalls []Shortfall `cbor:"3,keyasint" json:"shortfalls"`
	// NextDecision is the time at which to decide again without an event; zero means never.
	NextDecision time.Time `cbor:"4,keyasint" json:"wake,omitzero"`
}

// scheduleNext brings the next decision forward to at.
func (d *Decision) scheduleNext(at time.Time) {
	if d.NextDecision.IsZero() || at.Before(d.NextDecision) {
		d.NextDecision = at
	}
}

// Code is the kind of a reason.
type Code uint8

// Codes of reasons.
const (
	// NoRoom means that too few accelerators are free.
	NoRoom Code = iota + 1
	// Scattered means that enough accelerators are free, but not close enough together.
	Scattered
	// Quota means that the team uses its quota.
	Quota
	// Reserving means that accelerators are reserved and the job starts when they are free.
	Reserving
	// Reclaiming means that borrowers are being stopped for the job.
	Reclaiming
	// QueuedBehind means that the free accelerators are kept for another job.
	QueuedBehind
	// GuaranteeInUse means that other jobs use the guarantee.
	GuaranteeInUse
	// Short means that the guarantee has a shortfall.
	Short
	// BelowHeadroom means that too little would be left that urgent work can reclaim in time.
	BelowHeadroom
	// RackKeptFree means that only the rack has room that is kept free of work that can't be moved.
	RackKeptFree
	// BeingStopped means that the job is being stopped.
	BeingStopped
	// TooLarge means that no worker, rack or data centre can hold the shape.
	TooLarge
	// LargerThanQuota means that the job alone is larger than the quota of its team.
	LargerThanQuota
	// UnknownGuarantee means that the team has no guarantee of that name.
	UnknownGuarantee
	// ExceedsGuarantee means that the shape is larger than its guarantee.
	ExceedsGuarantee
	// InvalidShape means that the shape is not valid.
	InvalidShape
	// UnknownTeam means that the team is not declared.
	UnknownTeam
	// FailsEverywhere means that the job failed on several sound workers.
	FailsEverywhere
	// MemoryExceeded means that the job was stopped because it exceeded its declared memory and its worker was too
	// small for what ran there; Need and Have are the observed and the declared gigabytes of a task.
	MemoryExceeded
)

// String names the code.
func (c Code) String() string {
	names := [...]string{
		"none", "no room", "scattered", "quota", "reserving", "reclaiming", "behind", "guarantee in use",
		"shortfall", "headroom", "kept off the cleanest rack", "leaving", "too large", "over quota", "no guarantee", "not covered", "bad shape",
		"no team", "fails everywhere", "stopped for exceeding its declared memory",
	}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// Reason says why a job waits or can't run.
type Reason struct {
	Code Code `cbor:"1,keyasint" json:"code"`
	// Need and Have count accelerators, or workers that a job failed on.
	Need int `cbor:"2,keyasint,omitempty" json:"need,omitempty"`
	Have int `cbor:"3,keyasint,omitempty" json:"have,omitempty"`
	// Until is the expected end of the wait, if known.
	Until time.Time `cbor:"4,keyasint" json:"until,omitzero"`
	// Job names the job that is served first.
	Job model.JobID `cbor:"5,keyasint,omitempty" json:"job,omitempty"`
	// Guarantee names the guarantee concerned.
	Guarantee string `cbor:"6,keyasint,omitempty" json:"guarantee,omitempty"`
}

// Final reports whether the job can never run without a change of the job, the fleet or the declaration.
func (r Reason) Final() bool { return r.Code >= TooLarge && r.Code != MemoryExceeded }

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
	if !r.Until.IsZero() {
		s += ", until " + r.Until.UTC().Format(time.RFC3339)
	}
	return s
}

// Cause is the kind of a shortfall or conflict.
type Cause uint8

// Causes of shortfalls and conflicts.
const (
	// TooFewAccelerators means that the usable workers of the data centre are too few for all guarantees.
	TooFewAccelerators Cause = iota + 1
	// NoAdjacentBlock means that accelerators suffice, but not close enough together.
	NoAdjacentBlock
	// NotPreemptible means that running work can't be stopped within the grace.
	NotPreemptible
	// NoSuchCentre means that the data centre has no workers.
	NoSuchCentre
	// AboveQuota means that the guarantees of a team exceed its quota.
	AboveQuota
	// InvalidGuarantee means that the guarantee is malformed.
	InvalidGuarantee
	// WorkersLost means that workers are lost or set aside.
	WorkersLost
)

// String names the cause.
func (c Cause) String() string {
	names := [...]string{
		"none", "too few accelerators", "no adjacent block", "pinned work", "no such data centre", "above quota",
		"invalid guarantee", "workers lost",
	}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// Shortfall reports a guarantee that can't be reclaimed at present.
type Shortfall struct {
	Team      model.Team `cbor:"1,keyasint" json:"team"`
	Guarantee string     `cbor:"2,keyasint" json:"guarantee"`
	Cause     Cause      `cbor:"3,keyasint" json:"cause"`
	Since     time.Time  `cbor:"4,keyasint" json:"since"`
	// Workers names the workers whose loss caused the shortfall, if that was the cause.
	Workers []model.WorkerID `cbor:"5,keyasint,omitempty" json:"workers,omitempty"`
	// Jobs names the jobs that hold the accelerators, if that was the cause.
	Jobs []model.JobID `cbor:"6,keyasint,omitempty" json:"jobs,omitempty"`
}
