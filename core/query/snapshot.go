package query

import (
	"slices"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
)

// Snapshot is the state of the system at one moment, from which queries are answered.
type Snapshot struct {
	Now time.Time
	// Revision is the revision of the configuration in force.
	Revision    model.Revision
	Declaration model.Declaration
	Workers     []Worker
	Jobs        []Job
	Anchors     []plan.Anchor
	Minions     []model.Record
	// Missing describes the parts of the system that the snapshot lacks, and why.
	Missing []string
	// StoppedByClaim returns the jobs that a claim of a guarantee would stop; nil means that they are not known.
	StoppedByClaim func(team model.Team, guarantee string) []StoppedJob
}

// evacuated reports whether a data centre is evacuated.
func (s *Snapshot) evacuated(centre model.Centre) bool {
	return centre != "" && slices.Contains(s.Declaration.Evacuate, centre)
}

// Worker is a worker with its quarantine and the failures attributed to it.
type Worker struct {
	model.Worker
	// QuarantinedUntil is the end of the worker's quarantine, and zero if it is not in quarantine.
	QuarantinedUntil time.Time
	// Failed is the number of jobs that failed on the worker since the last one succeeded there.
	Failed int
}

// Job is a job with its slots, or the reason why it has none.
type Job struct {
	Spec  model.JobSpec
	Phase plan.Phase
	// Since is when the job started or, if it has no slots, when it was submitted.
	Since time.Time
	Slots []plan.Slot
	// Reason is why the job waits or was refused.
	Reason plan.Reason
	// ExpectedStart and Reserved are the start and the slots of the job's reservation, if it has one.
	ExpectedStart time.Time
	Reserved      []plan.Slot
	// Anchored says that the job runs under its own guarantee.
	Anchored bool
	// Size is the declared and observed size of the job's largest task; it is zero if no usage was reported.
	Size plan.Size
	// LastStop is why the job was last stopped for its usage; it is zero if it never was.
	LastStop plan.Reason
}

// StoppedJob is a job that a claim would stop, with its slots and the time by which it releases them.
type StoppedJob struct {
	Job   model.JobID
	Slots []plan.Slot
	By    time.Time
}

// Answer is the result of a query as a table.
type Answer struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
	// Notes hold remarks about the answer, such as what the rows don't include.
	Notes []string `json:"notes,omitempty"`
}
