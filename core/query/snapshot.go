package query

import (
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
)

// Snapshot is what the system knows at one moment; queries are answered from it alone.
type Snapshot struct {
	Now time.Time
	// Revision is the configuration in force.
	Revision    model.Revision
	Declaration model.Declaration
	Workers     []Worker
	Jobs        []Job
	Anchors     []plan.Anchor
	Minions     []model.Record
	// Missing names parts of the system that the snapshot lacks, for example cells without an owner.
	Missing []string
	// Stops returns the jobs that a claim of the guarantee would stop. Nil means that it is not known.
	Stops func(team model.Team, guarantee string) []Stop
}

// Worker is a worker with what keeps it from taking work.
type Worker struct {
	model.Worker
	// Aside is the time until which the worker gets no work; zero means that it does.
	Aside time.Time
	// Failed counts the jobs that failed there since the last success.
	Failed int
}

// Job is a job with its place, or the reason why it has none.
type Job struct {
	Spec    model.JobSpec
	Phase   plan.Phase
	Since   time.Time
	Slots   []plan.Slot
	Reason  plan.Reason
	Due     time.Time
	Targets []plan.Slot
	// Anchored jobs run on their own guarantee.
	Anchored bool
	// Size is zero if nothing was observed, and Last zero if the job was not stopped for its usage.
	Size plan.Size
	Last plan.Reason
}

// Stop is a job that a claim would stop, with the time by which it has left.
type Stop struct {
	Job   model.JobID
	Slots []plan.Slot
	By    time.Time
}

// Answer is the result of a query as a table.
type Answer struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
	// Notes say what the table does not show.
	Notes []string `json:"notes,omitempty"`
}
