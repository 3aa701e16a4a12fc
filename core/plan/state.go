package plan

import (
	"maps"
	"slices"
	"time"

	"wagtailhoist/core/model"
)

// Phase is the stage of a job.
type Phase uint8

// The phases of a job. A finished or cancelled job is removed from the State.
const (
	// Queued jobs wait to be started.
	Queued Phase = iota
	// Starting jobs hold their accelerators and wait until every task is released to its worker.
	Starting
	// Running jobs have all their tasks released to the workers.
	Running
	// Stopping jobs hold their accelerators until every task has ended.
	Stopping
	// Refused jobs can't run; Job.Refusal holds the reason.
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
	// GPUs is the number of accelerators of all these tasks together.
	GPUs int `cbor:"3,keyasint" json:"gpus"`
}

// Usage is the measured usage of a job on one worker.
type Usage struct {
	Worker model.WorkerID `cbor:"1,keyasint" json:"worker"`
	Amount Amount         `cbor:"2,keyasint" json:"amount"`
	// Settled usage has been measured long enough after the start to replace the declared amount.
	Settled bool `cbor:"3,keyasint,omitempty" json:"settled,omitempty"`
}

// Job is a submitted job. A Job in a State is replaced by an edited copy and never changed in place.
type Job struct {
	Spec      model.JobSpec `cbor:"1,keyasint" json:"spec"`
	Phase     Phase         `cbor:"2,keyasint" json:"phase"`
	Sequence  uint64        `cbor:"3,keyasint" json:"sequence"`
	Submitted time.Time     `cbor:"4,keyasint" json:"submitted"`
	// Started is the time of the last start.
	Started time.Time `cbor:"5,keyasint" json:"started,omitzero"`
	// Run is the number of starts so far, and so the number of the current run.
	Run   int    `cbor:"6,keyasint" json:"run"`
	Slots []Slot `cbor:"7,keyasint,omitempty" json:"slots,omitempty"`
	// Anchored jobs run on the anchor of their guarantee; other running jobs are borrowers.
	Anchored bool `cbor:"8,keyasint,omitempty" json:"anchored,omitempty"`
	// SavedWork is the run time that checkpoints have preserved.
	SavedWork time.Duration `cbor:"9,keyasint,omitempty" json:"saved,omitempty"`
	// Expected is the run time estimated at the last start.
	Expected time.Duration `cbor:"10,keyasint,omitempty" json:"expected,omitempty"`
	// ReservedSlots holds the slots reserved for a queued job, or to which a stopping job moves.
	ReservedSlots []Slot `cbor:"11,keyasint,omitempty" json:"target,omitempty"`
	// ReservedStart is the expected start of the job on ReservedSlots.
	ReservedStart time.Time `cbor:"12,keyasint" json:"due,omitzero"`
	// BackfillAheadOf names the job with a reservation that this job was backfilled ahead of.
	BackfillAheadOf model.JobID `cbor:"13,keyasint,omitempty" json:"ahead,omitempty"`
	// Cancelled jobs are being stopped and aren't started again.
	Cancelled bool `cbor:"14,keyasint,omitempty" json:"cancelled,omitempty"`
	// StopBy is the time by which a stopping job must have ended.
	StopBy   time.Time `cbor:"15,keyasint" json:"gone,omitzero"`
	Observed []Usage   `cbor:"16,keyasint,omitempty" json:"observed,omitempty"`
	// Failed names the worker of each failure that is attributed to the job itself.
	Failed  []model.WorkerID `cbor:"17,keyasint,omitempty" json:"failed,omitempty"`
	Refusal Reason           `cbor:"18,keyasint" json:"refusal,omitzero"`
	// Preemptions counts how often a decision has stopped the job.
	Preemptions int `cbor:"19,keyasint,omitempty" json:"stops,omitempty"`
	// Failures counts all failures, including those attributed to workers.
	Failures int `cbor:"20,keyasint,omitempty" json:"failures,omitempty"`
	// Tasks holds the usage of the tasks of the current run by task index.
	Tasks map[int]TaskUsage `cbor:"21,keyasint,omitempty" json:"tasks,omitempty"`
	// SubmittedSize is the size of each task as submitted. It is set only if Spec holds a larger size, taken from
	// observed usage.
	SubmittedSize *Amount `cbor:"22,keyasint,omitempty" json:"submits,omitempty"`
	// PeakUsage is the peak of the largest task in earlier runs.
	PeakUsage Amount `cbor:"23,keyasint,omitempty" json:"peak,omitzero"`
	// LastStopReason holds the reason of the last stop, if the job was stopped because of its usage.
	LastStopReason Reason `cbor:"24,keyasint,omitempty" json:"last,omitzero"`
}

// placed reports whether the job holds accelerators.
func (j *Job) placed() bool {
	return j.Phase == Starting || j.Phase == Running || j.Phase == Stopping
}

// WorkerState is a worker with the failures attributed to it.
type WorkerState struct {
	Worker model.Worker `cbor:"1,keyasint" json:"worker"`
	// Failed names the jobs that have failed on this worker since its last success.
	Failed []model.JobID `cbor:"2,keyasint,omitempty" json:"failed,omitempty"`
	// QuarantinedUntil is the time until which the worker gets no work.
	QuarantinedUntil time.Time `cbor:"3,keyasint" json:"aside,omitzero"`
	// Quarantines counts the quarantines of the worker since its last success.
	Quarantines int `cbor:"4,keyasint,omitempty" json:"trials,omitempty"`
}

// Usable reports whether the worker can be given work at now.
func (w WorkerState) Usable(now time.Time) bool {
	return w.Worker.Up && !now.Before(w.QuarantinedUntil)
}

// Anchor assigns concrete workers to a guarantee.
type Anchor struct {
	Team      model.Team      `cbor:"1,keyasint" json:"team"`
	Guarantee model.Guarantee `cbor:"2,keyasint" json:"guarantee"`
	// Slots is empty while the guarantee has a shortfall.
	Slots []Slot `cbor:"3,keyasint,omitempty" json:"slots,omitempty"`
	// Shortfall says why the guarantee has no slots; nil if it has some.
	Shortfall *Shortfall `cbor:"4,keyasint,omitempty" json:"short,omitempty"`
}

// State holds everything that the decisions of one cell depend on. The zero value is an empty cell.
type State struct {
	Cell    model.CellID                   `cbor:"1,keyasint" json:"cell"`
	Policy  model.Policy                   `cbor:"2,keyasint" json:"policy"`
	Teams   []model.TeamSpec               `cbor:"3,keyasint" json:"teams"`
	Anchors []Anchor                       `cbor:"4,keyasint" json:"anchors"`
	Workers map[model.WorkerID]WorkerState `cbor:"5,keyasint" json:"hosts"`
	Jobs    map[model.JobID]*Job           `cbor:"6,keyasint" json:"jobs"`
	History map[string]RunHistory          `cbor:"7,keyasint" json:"history"`
	// Cancelled holds the times of cancellations, for an hour, so that a job that is submitted after its cancellation
	// isn't run.
	Cancelled map[model.JobID]time.Time `cbor:"8,keyasint" json:"cancelled"`
	// Sequence is the sequence number of the last submitted job.
	Sequence uint64 `cbor:"9,keyasint" json:"sequence"`
	// Sizes holds the peak usage of earlier jobs by team and class.
	Sizes map[string]UsageHistory `cbor:"10,keyasint,omitempty" json:"sizes,omitempty"`
	// Evacuated lists the data centres in which nothing more is started; jobs that run there go on.
	Evacuated []model.Centre `cbor:"11,keyasint,omitempty" json:"evacuated,omitempty"`

	idx *index
}

// Clone returns a copy of s. Both share the jobs, which are never changed in place.
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
	c.Evacuated = slices.Clone(s.Evacuated)
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

// slotsOf returns the slots of the tasks of a shape on the spots.
func slotsOf(v *view, shape model.Shape, spots []spot) []Slot {
	out := make([]Slot, len(spots))
	for i, p := range spots {
		out[i] = Slot{Worker: v.nodes[p.node].id, Tasks: p.tasks, GPUs: p.tasks * shape.GPUs}
	}
	return out
}
