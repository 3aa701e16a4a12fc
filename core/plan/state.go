package plan

import (
	"maps"
	"slices"
	"time"

	"wagtailhoist/core/model"
)

// Phase is the stage of a job.
type Phase uint8

// Phases of a job; a finished or cancelled job leaves the State.
const (
	// Queued jobs wait for a start.
	Queued Phase = iota
	// Starting jobs hold their accelerators until every task is released.
	Starting
	// Running jobs have all their tasks released.
	Running
	// Stopping jobs hold their accelerators until every task has gone.
	Stopping
	// Refused jobs can't run; Job.Refusal says why.
	Refused
)

// String names the phase.
func (p Phase) String() string {
	names := [...]string{"queued", "starting", "running", "stopping", "refused"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// Slot is a number of tasks of one job or guarantee on one worker.
type Slot struct {
	Worker model.WorkerID `cbor:"1,keyasint" json:"worker"`
	Tasks  int            `cbor:"2,keyasint" json:"tasks"`
	// GPUs is the number of accelerators of all these tasks.
	GPUs int `cbor:"3,keyasint" json:"gpus"`
}

// Usage is what the platform measured of a job on one worker.
type Usage struct {
	Worker model.WorkerID `cbor:"1,keyasint" json:"worker"`
	Amount Amount         `cbor:"2,keyasint" json:"amount"`
	// Settled measurements are final and replace the declared amount.
	Settled bool `cbor:"3,keyasint,omitempty" json:"settled,omitempty"`
}

// Job is a submitted job; a Job in a State is never changed in place.
type Job struct {
	Spec      model.JobSpec `cbor:"1,keyasint" json:"spec"`
	Phase     Phase         `cbor:"2,keyasint" json:"phase"`
	Sequence  uint64        `cbor:"3,keyasint" json:"sequence"`
	Submitted time.Time     `cbor:"4,keyasint" json:"submitted"`
	// Started is the time of the last start.
	Started time.Time `cbor:"5,keyasint" json:"started,omitzero"`
	// Run counts the starts.
	Run   int    `cbor:"6,keyasint" json:"run"`
	Slots []Slot `cbor:"7,keyasint,omitempty" json:"slots,omitempty"`
	// Anchored jobs run on the anchors of their guarantee and are no borrowers.
	Anchored bool `cbor:"8,keyasint,omitempty" json:"anchored,omitempty"`
	// SavedWork is the work that checkpoints have kept.
	SavedWork time.Duration `cbor:"9,keyasint,omitempty" json:"saved,omitempty"`
	// Expected is the run time estimated at the last start.
	Expected time.Duration `cbor:"10,keyasint,omitempty" json:"expected,omitempty"`
	// ReservedSlots holds the slots reserved for a queued job.
	ReservedSlots []Slot `cbor:"11,keyasint,omitempty" json:"target,omitempty"`
	// ReservedStart is the expected start on ReservedSlots.
	ReservedStart time.Time `cbor:"12,keyasint" json:"due,omitzero"`
	// BackfillAheadOf names the reserved job in front of which this job was started as backfill.
	BackfillAheadOf model.JobID `cbor:"13,keyasint,omitempty" json:"ahead,omitempty"`
	// Cancelled jobs are stopped and never started again.
	Cancelled bool `cbor:"14,keyasint,omitempty" json:"cancelled,omitempty"`
	// StopBy is the time by which a stopping job has to have left.
	StopBy   time.Time `cbor:"15,keyasint" json:"gone,omitzero"`
	Observed []Usage   `cbor:"16,keyasint,omitempty" json:"observed,omitempty"`
	// Failed names the worker of each failure that counts against the job.
	Failed  []model.WorkerID `cbor:"17,keyasint,omitempty" json:"failed,omitempty"`
	Refusal Reason           `cbor:"18,keyasint" json:"refusal,omitzero"`
	// Preemptions counts the preemptions.
	Preemptions int `cbor:"19,keyasint,omitempty" json:"stops,omitempty"`
	// Failures counts all failures, also those attributed to workers.
	Failures int `cbor:"20,keyasint,omitempty" json:"failures,omitempty"`
	// Tasks holds the usage of the tasks of the present run by their index.
	Tasks map[int]TaskUsage `cbor:"21,keyasint,omitempty" json:"tasks,omitempty"`
	// SubmittedSize is the size of each task as submitted, if Spec holds a larger one that was observed.
	SubmittedSize *Amount `cbor:"22,keyasint,omitempty" json:"submits,omitempty"`
	// PeakUsage is the largest usage of a task in earlier runs.
	PeakUsage Amount `cbor:"23,keyasint,omitempty" json:"peak,omitzero"`
	// LastStopReason says why the decision stopped the last run, if that was for its usage.
	LastStopReason Reason `cbor:"24,keyasint,omitempty" json:"last,omitzero"`
}

// placed reports whether the job holds accelerators.
func (j *Job) placed() bool {
	return j.Phase == Starting || j.Phase == Running || j.Phase == Stopping
}

// WorkerState is a worker with the failures attributed to it.
type WorkerState struct {
	Worker model.Worker `cbor:"1,keyasint" json:"worker"`
	// Failed names the jobs that failed here since the last success.
	Failed []model.JobID `cbor:"2,keyasint,omitempty" json:"failed,omitempty"`
	// QuarantinedUntil is the time until which the worker gets no work.
	QuarantinedUntil time.Time `cbor:"3,keyasint" json:"aside,omitzero"`
	// Quarantines counts how often the worker was quarantined without a success in between.
	Quarantines int `cbor:"4,keyasint,omitempty" json:"trials,omitempty"`
}

// Usable reports whether the worker takes work at now.
func (w WorkerState) Usable(now time.Time) bool {
	return w.Worker.Up && !now.Before(w.QuarantinedUntil)
}

// Anchor holds a guarantee on concrete workers.
type Anchor struct {
	Team      model.Team      `cbor:"1,keyasint" json:"team"`
	Guarantee model.Guarantee `cbor:"2,keyasint" json:"guarantee"`
	// Slots is empty while the guarantee has a shortfall.
	Slots []Slot `cbor:"3,keyasint,omitempty" json:"slots,omitempty"`
	// Shortfall describes the shortfall, if there is one.
	Shortfall *Shortfall `cbor:"4,keyasint,omitempty" json:"short,omitempty"`
}

// State is all that decisions of one cell depend on; the zero value is an empty cell.
type State struct {
	Cell    model.CellID                   `cbor:"1,keyasint" json:"cell"`
	Policy  model.Policy                   `cbor:"2,keyasint" json:"policy"`
	Teams   []model.TeamSpec               `cbor:"3,keyasint" json:"teams"`
	Anchors []Anchor                       `cbor:"4,keyasint" json:"anchors"`
	Workers map[model.WorkerID]WorkerState `cbor:"5,keyasint" json:"hosts"`
	Jobs    map[model.JobID]*Job           `cbor:"6,keyasint" json:"jobs"`
	History map[string]RunHistory          `cbor:"7,keyasint" json:"history"`
	// Cancelled remembers cancellations for jobs that were not known, for an hour.
	Cancelled map[model.JobID]time.Time `cbor:"8,keyasint" json:"cancelled"`
	// Sequence counts submitted jobs.
	Sequence uint64 `cbor:"9,keyasint" json:"sequence"`
	// Sizes holds the usage of earlier jobs by team and class.
	Sizes map[string]UsageHistory `cbor:"10,keyasint,omitempty" json:"sizes,omitempty"`

	idx *index
}

// Clone returns a copy that shares the jobs with s.
func (s *State) Clone() *State {
	c := *s
	c.idx = nil
	c.Teams = slices.Clone(s.Teams)
	c.Anchors = slices.Clone(s.Anchors)
	c.Workers = maps.Clone(s.Workers)
	c.Jobs = maps.Clone(s.Jobs)
	c.History = maps.Clone(s.History)
	c.Cancelled = maps.Clone(s.Cancelled)
	c.Sizes = maps.Clone(s.Sizes)
	return &c
}

// Team returns the declaration of a team, or nil.
func (s *State) Team(name model.Team) *model.TeamSpec {
	for i := range s.Teams {
		if s.Teams[i].Name == name {
			return &s.Teams[i]
		}
	}
	return nil
}

// anchor returns the anchor of a guarantee, or nil.
func (s *State) anchor(team model.Team, name string) *Anchor {
	for i := range s.Anchors {
		if s.Anchors[i].Team == team && s.Anchors[i].Guarantee.Name == name {
			return &s.Anchors[i]
		}
	}
	return nil
}

// slots returns the slots of n[i] tasks of shape on nodes.
func slotsOf(v *view, shape model.Shape, spots []spot) []Slot {
	out := make([]Slot, len(spots))
	for i, p := range spots {
		out[i] = Slot{Worker: v.nodes[p.node].id, Tasks: p.tasks, GPUs: p.tasks * shape.GPUs}
	}
	return out
}
